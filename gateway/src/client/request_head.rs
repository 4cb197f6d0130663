//! The raw bytes of the request head that is being received.
//!
//! The HTTP library drops a `Content-Length` that follows a `Transfer-Encoding`. A request with both could
//! hide another request in its body from a proxy that uses the length (request smuggling), so the raw bytes
//! are checked.

use crate::headers::HEAD_END;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// The maximum size of a request head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The bytes of a request head, up to and including the empty line that ends it.
#[derive(Debug, Default)]
pub(super) struct RequestHead {
    bytes: Vec<u8>,
    /// The length of a complete head whose bytes have been freed, or 0.
    released_bytes: usize,
}

impl RequestHead {
    /// Whether nothing of the head has been received.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.released_bytes == 0
    }

    /// The memory that the bytes and their copy in the HTTP library hold.
    pub(super) fn held_bytes(&self) -> usize {
        2 * self.bytes.capacity() + self.released_bytes
    }

    pub(super) fn is_complete(&self) -> bool {
        self.released_bytes > 0 || self.bytes.ends_with(HEAD_END)
    }

    /// Frees the bytes of a complete head, which is not checked any more.
    pub(super) fn release(&mut self) {
        if self.bytes.ends_with(HEAD_END) {
            self.released_bytes = self.bytes.len();
            self.bytes = Vec::new();
        }
    }

    /// Appends those of the received bytes that belong to the head.
    pub(super) fn append(&mut self, received: &[u8]) {
        let free = MAX_HEAD_BYTES - self.bytes.len();
        let received = &received[..received.len().min(free)];
        let end = self.end_in(received).unwrap_or(received.len());
        self.bytes.reserve_exact(end);
        self.bytes.extend_from_slice(&received[..end]);
    }

    /// Where the head ends in the received bytes, if it does. Its end may be split between two reads.
    fn end_in(&self, received: &[u8]) -> Option<usize> {
        let split = self.bytes.len().min(HEAD_END.len() - 1);
        let last_bytes = &self.bytes[self.bytes.len() - split..];
        let joined = [last_bytes, &received[..received.len().min(HEAD_END.len() - 1)]].concat();
        let position = |bytes: &[u8]| bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let end_across_reads = position(&joined).map(|start| start + HEAD_END.len() - split);
        end_across_reads.or_else(|| position(received).map(|start| start + HEAD_END.len()))
    }

    /// Whether this is the head of `request` and has `Transfer-Encoding: chunked` but no `Content-Length`.
    pub(super) fn is_chunked_without_length(&self, request: &Request<Incoming>) -> bool {
        self.belongs_to(request) && !self.has_content_length() && is_only_chunked(request)
    }

    fn belongs_to(&self, request: &Request<Incoming>) -> bool {
        let request_line = format!("{} {} HTTP/1.1\r\n", request.method(), request.uri());
        let start = self.bytes.get(..request_line.len());
        self.is_complete() && start.is_some_and(|s| s.eq_ignore_ascii_case(request_line.as_bytes()))
    }

    fn has_content_length(&self) -> bool {
        let name = CONTENT_LENGTH.as_str().as_bytes();
        let starts_with_name =
            |line: &[u8]| line.get(..name.len()).is_some_and(|start| start.eq_ignore_ascii_case(name));
        self.bytes.split(|b| *b == b'\n').any(starts_with_name)
    }
}

/// Whether `chunked` is the only transfer encoding.
fn is_only_chunked(request: &Request<Incoming>) -> bool {
    let mut encodings = request.headers().get_all(TRANSFER_ENCODING).iter();
    encodings.next().is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"chunked"))
        && encodings.next().is_none()
}
