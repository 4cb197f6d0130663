//! The state of one client connection while it is open.

use crate::client::request_head::RequestHead;
use crate::instrumented_stream::StreamObserver;
use crate::socket::SharedStream;
use hyper::Request;
use hyper::body::Incoming;
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The time for a complete request, from the latest of the accept, the last response and the first byte of
/// the request after that response. Further bytes do not extend it, so that connections on which head or body
/// arrive byte by byte time out as well.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// The state of one client connection.
pub(super) struct ConnectionState {
    socket: SharedStream,
    /// Whether a complete request has no response yet.
    has_pending_request: Cell<bool>,
    /// The latest of the accept, the last response and the first byte of the request after that response.
    idle_since: Cell<Instant>,
    responded: Cell<bool>,
    evicted: Cell<bool>,
    head: RefCell<RequestHead>,
    eviction: Notify,
}

impl ConnectionState {
    pub(super) fn new(socket: SharedStream) -> Self {
        Self {
            socket,
            has_pending_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            responded: Cell::new(false),
            evicted: Cell::new(false),
            head: RefCell::default(),
            eviction: Notify::new(),
        }
    }

    pub(super) fn socket(&self) -> &SharedStream {
        &self.socket
    }

    /// Whether no complete request is waiting for its response.
    pub(super) fn is_idle(&self) -> bool {
        !self.has_pending_request.get()
    }

    /// The latest of the accept, the last response and the first byte of the request after that response.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Whether a response has been sent on the connection.
    pub(super) fn has_responded(&self) -> bool {
        self.responded.get()
    }

    /// Whether nothing has been received on the connection.
    pub(super) fn is_unused(&self) -> bool {
        !self.has_responded() && self.is_idle() && self.head.borrow().is_empty()
    }

    /// Resolves when no complete request has arrived in time. Bytes that arrived before the timeout are read
    /// first, as they may complete the request.
    pub(super) async fn request_timed_out(&self) {
        loop {
            self.request_deadline_passed().await;
            self.socket.wait_for_pending_read().await;
            if Instant::now() >= self.request_deadline() {
                return;
            }
        }
    }

    async fn request_deadline_passed(&self) {
        while Instant::now() < self.request_deadline() {
            sleep_until(self.request_deadline()).await;
        }
    }

    fn request_deadline(&self) -> Instant {
        let start = if self.is_idle() { self.idle_since.get() } else { Instant::now() };
        start + REQUEST_TIMEOUT
    }

    /// Records that a complete, valid request was received.
    pub(super) fn record_request(&self) {
        self.has_pending_request.set(true);
    }

    /// Records that a response is ready.
    pub(super) fn record_response(&self) {
        self.has_pending_request.set(false);
        self.responded.set(true);
        self.idle_since.set(Instant::now());
        self.head.take();
    }

    /// Whether the received head is that of `request` and has `Transfer-Encoding: chunked` but no
    /// `Content-Length`.
    pub(super) fn is_chunked_without_length(&self, request: &Request<Incoming>) -> bool {
        self.head.borrow().is_chunked_without_length(request)
    }

    /// Requests that the connection be closed to make room for another.
    pub(super) fn evict(&self) {
        self.evicted.set(true);
        self.eviction.notify_one();
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Resolves when the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl StreamObserver for ConnectionState {
    fn on_read(&self, bytes: &[u8]) {
        let mut head = self.head.borrow_mut();
        if !self.is_idle() || bytes.is_empty() || head.is_complete() {
            return;
        }
        if head.is_empty() && self.has_responded() {
            self.idle_since.set(Instant::now());
        }
        head.append(bytes);
    }
}
