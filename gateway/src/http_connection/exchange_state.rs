//! The progress of the current exchange on a connection.
//!
//! The HTTP library reports an error without saying how much of the request was written or whether a response
//! had begun. Both decide whether a request may be retried, so they are recorded from the bytes
//! themselves.

use crate::headers::HEAD_END;
use crate::http_connection::error::ExchangeError;
use crate::instrumented_stream::StreamObserver;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The longest head of a response, in bytes. Bounds the memory for heads that do not end.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// How the head of an interim (1xx) response begins.
const INTERIM_PREFIX: &[u8] = b"HTTP/1.1 1";

/// How much of a request has been written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WriteProgress {
    /// Nothing.
    #[default]
    NotStarted,
    /// At least a byte, but not its last.
    Partial,
    /// All of it.
    Complete,
}

/// The progress of the current exchange, recorded by the stream.
#[derive(Default)]
pub(super) struct ExchangeState {
    write_progress: Cell<WriteProgress>,
    /// When the response began, or the interim response that has not ended yet. Interim responses may precede
    /// the final one by any time.
    response_began_at: Cell<Option<Instant>>,
    /// The bytes received of a head that may be that of an interim response; it may arrive in several reads.
    interim_head: RefCell<Vec<u8>>,
    /// Whether the final response has begun.
    is_final: Cell<bool>,
    response_began: Notify,
}

impl ExchangeState {
    /// Begins another exchange.
    pub(super) fn reset(&self) {
        self.write_progress.set(WriteProgress::NotStarted);
        self.response_began_at.set(None);
        self.interim_head.borrow_mut().clear();
        self.is_final.set(false);
    }

    /// How the exchange fails if its connection ends now.
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

    /// Resolves once a response, or an interim response, has not ended within `timeout` of its first byte.
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

    /// Resolves at the deadline if the request has not been written completely by then.
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
        if bytes.is_empty() || self.is_final.get() {
            return;
        }
        let mut head = self.interim_head.borrow_mut();
        head.extend_from_slice(bytes);
        while let Some(end) = interim_end(&head) {
            head.drain(..end);
            self.response_began_at.set(None);
        }
        if head.is_empty() {
            return;
        }
        if !may_be_interim(&head) {
            self.is_final.set(true);
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

    /// The HTTP library flushes once everything it holds has been written, and it holds complete requests, as
    /// their bodies are in memory. It does so in the same poll as the last write, so nothing comes between
    /// the two.
    fn on_flush(&self) {
        if self.write_progress.get() == WriteProgress::Partial {
            self.write_progress.set(WriteProgress::Complete);
        }
    }
}

/// The length of the interim response that the bytes begin with, if they hold it completely.
fn interim_end(bytes: &[u8]) -> Option<usize> {
    if !bytes.starts_with(INTERIM_PREFIX) {
        return None;
    }
    let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// Whether the bytes may be the beginning of an interim response.
fn may_be_interim(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(INTERIM_PREFIX.len());
    bytes[..compared] == INTERIM_PREFIX[..compared] && bytes.len() <= MAX_HEAD_BYTES
}
