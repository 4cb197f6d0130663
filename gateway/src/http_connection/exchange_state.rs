//! The progress of the current exchange on a connection.
//!
//! The HTTP library's errors do not show how much of the request was written or whether a response had begun.
//! Both decide whether a request may be retried, so they are tracked by observing the reads and writes.

use crate::headers::HEAD_END;
use crate::http_connection::error::ExchangeError;
use crate::instrumented_stream::StreamObserver;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The maximum size of a response head, in bytes. Bounds the memory for heads that never end.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The start of the head of an interim (1xx) response.
const INTERIM_PREFIX: &[u8] = b"HTTP/1.1 1";

/// How much of a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteProgress {
    /// No byte.
    #[default]
    NotStarted,
    /// Some bytes, but not the last.
    Partial,
    /// All bytes.
    Complete,
}

/// The progress of the current exchange, updated by the stream's reads, writes and flushes.
#[derive(Default)]
pub(super) struct ExchangeState {
    write_progress: Cell<WriteProgress>,
    /// When the final response, or the interim response that is being received, began. `None` between them,
    /// as any time may pass between an interim response and the final one.
    response_began_at: Cell<Option<Instant>>,
    /// The bytes received of a head that may be that of an interim response. They may arrive in several
    /// reads.
    interim_head: RefCell<Vec<u8>>,
    final_response_began: Cell<bool>,
    response_began: Notify,
}

impl ExchangeState {
    /// Resets the progress for another exchange.
    pub(super) fn reset(&self) {
        self.write_progress.set(WriteProgress::NotStarted);
        self.response_began_at.set(None);
        self.interim_head.borrow_mut().clear();
        self.final_response_began.set(false);
    }

    /// The error of the exchange if it fails now.
    pub(super) fn error(&self) -> ExchangeError {
        if self.response_began_at.get().is_some() {
            return ExchangeError::InvalidResponse;
        }
        match self.write_progress.get() {
            WriteProgress::NotStarted => ExchangeError::NotSent,
            WriteProgress::Partial => ExchangeError::PartiallySent,
            WriteProgress::Complete => ExchangeError::NoResponse,
        }
    }

    /// Resolves when an interim or final response is incomplete `timeout` after its first byte.
    pub(super) async fn response_overdue(&self, timeout: Duration) {
        loop {
            let Some(began_at) = self.response_began_at.get() else {
                self.response_began.notified().await;
                continue;
            };
            sleep_until(began_at + timeout).await;
            if self.response_began_at.get() == Some(began_at) {
                return;
            }
        }
    }

    /// Resolves at the deadline unless the request has been written completely by then.
    pub(super) async fn write_overdue(&self, deadline: Option<Instant>) {
        let Some(deadline) = deadline else { return std::future::pending().await };
        sleep_until(deadline).await;
        if self.write_progress.get() == WriteProgress::Complete {
            std::future::pending().await
        }
    }
}

impl StreamObserver for ExchangeState {
    fn on_read(&self, bytes: &[u8]) {
        if bytes.is_empty() || self.final_response_began.get() {
            return;
        }
        let mut head = self.interim_head.borrow_mut();
        head.extend_from_slice(bytes);
        while let Some(length) = interim_response_length(&head) {
            head.drain(..length);
            self.response_began_at.set(None);
        }
        if head.is_empty() {
            return;
        }
        if !may_be_interim(&head) {
            self.final_response_began.set(true);
            *head = Vec::new();
        }
        if self.response_began_at.get().is_none() {
            self.response_began_at.set(Some(Instant::now()));
            self.response_began.notify_one();
        }
    }

    fn on_write(&self, count: usize) {
        if count > 0 {
            self.write_progress.set(WriteProgress::Partial);
        }
    }

    /// Marks the request as written. The HTTP library flushes after it has written its whole buffer, which
    /// holds the complete request, as the body is in memory. It flushes in the same poll as the last write,
    /// so nothing can happen between the two.
    fn on_flush(&self) {
        if self.write_progress.get() == WriteProgress::Partial {
            self.write_progress.set(WriteProgress::Complete);
        }
    }
}

/// The length of the interim response at the start of the bytes, if it is there and complete.
fn interim_response_length(bytes: &[u8]) -> Option<usize> {
    if !bytes.starts_with(INTERIM_PREFIX) {
        return None;
    }
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// Whether the bytes may be the start of an interim response.
fn may_be_interim(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(INTERIM_PREFIX.len());
    bytes[..compared] == INTERIM_PREFIX[..compared] && bytes.len() <= MAX_HEAD_BYTES
}
