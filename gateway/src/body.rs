//! Receives message bodies into one buffer each.
//!
//! The HTTP library passes a body on in frames. Each is a slice of the library's read buffer and keeps that
//! buffer alive, so a frame of one byte can hold 8 KiB. Frames are therefore copied and dropped at once: a body
//! holds at most twice its length, or 64 KiB while its length is unknown, however many frames it arrives in.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The capacity, in bytes, that a body of unknown length has at first. Growing from less leaves gaps in the heap, which the
/// allocator does not return; the part that is not written uses no memory of the machine.
const MIN_CAPACITY_OF_UNKNOWN_LENGTH: usize = 64 * 1024;

/// Why a body cannot be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body has more bytes than allowed.
    #[error("the body has more than {max_bytes} bytes")]
    TooLarge {
        /// The maximum number of bytes.
        max_bytes: usize,
    },
    /// The body is incomplete or malformed.
    #[error("the body is incomplete or malformed")]
    Unreadable,
}

/// A body that is being received.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    /// The number of bytes received, including discarded ones.
    received: usize,
    max_bytes: usize,
    is_discarded: bool,
}

impl BodyBuffer {
    /// An empty buffer for a body of at most `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { bytes: Vec::new(), received: 0, max_bytes, is_discarded: false }
    }

    /// Appends a copy of received bytes, after which `expected_later` bytes are expected, if their number is known.
    ///
    /// # Errors
    /// If the body has more bytes than allowed.
    pub(crate) fn append(&mut self, received: &[u8], expected_later: Option<usize>) -> Result<(), BodyError> {
        self.received += received.len();
        if self.received > self.max_bytes {
            return Err(BodyError::TooLarge { max_bytes: self.max_bytes });
        }
        if !self.is_discarded {
            self.reserve(received.len(), expected_later);
            self.bytes.extend_from_slice(received);
        }
        Ok(())
    }

    /// The memory that [`Self::discard`] would free.
    pub(crate) fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Frees the memory. Further bytes are counted, but not kept.
    pub(crate) fn discard(&mut self) {
        self.bytes = Vec::new();
        self.is_discarded = true;
    }

    /// Whether the body was discarded.
    pub(crate) fn is_discarded(&self) -> bool {
        self.is_discarded
    }

    /// Makes room for `additional` bytes and those that are expected later. If their number is not known, doubles the
    /// capacity from [`MIN_CAPACITY_OF_UNKNOWN_LENGTH`] on, but not beyond the maximum.
    fn reserve(&mut self, additional: usize, expected_later: Option<usize>) {
        let length = self.bytes.len() + additional;
        if length <= self.bytes.capacity() {
            return;
        }
        let capacity = match expected_later {
            None => length.max(2 * self.bytes.capacity()).max(MIN_CAPACITY_OF_UNKNOWN_LENGTH),
            Some(expected_later) => length.saturating_add(expected_later),
        };
        let capacity = capacity.min(self.max_bytes);
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }

    /// The received bytes, without spare capacity.
    pub(crate) fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes.into_boxed_slice())
    }
}

/// Receives a complete body of at most `max_bytes`.
///
/// # Errors
/// If the body is too large, incomplete or malformed.
pub(crate) async fn receive_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(max_bytes);
    while let Some(data) = next_data(&mut body).await? {
        buffer.append(&data, remaining_bytes(&body))?;
    }
    Ok(buffer.into_bytes())
}

/// The next data of a body, or `None` at its end. Empty for trailers.
///
/// # Errors
/// If the body is incomplete or malformed.
pub(crate) async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    match body.frame().await {
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(_)) => Err(BodyError::Unreadable),
        None => Ok(None),
    }
}

/// The number of bytes that a body still has, if that is known.
pub(crate) fn remaining_bytes(body: &Incoming) -> Option<usize> {
    let bytes = body.size_hint().exact()?;
    Some(usize::try_from(bytes).unwrap_or(usize::MAX))
}
