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

/// The time for a complete request, from the start of the connection, its last response, or the first byte of
/// its next request. Further bytes do not extend it: clients that send head or body byte by byte are closed
/// as well.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// The state of one client connection.
pub(super) struct ConnectionState {
    socket: SharedStream,
    /// A complete request has no response yet.
    busy: Cell<bool>,
    /// When it was accepted, had its last response or the first byte of its next request.
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
            busy: Cell::new(false),
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

    /// Whether no complete request waits for its response.
    pub(super) fn is_idle(&self) -> bool {
        !self.busy.get()
    }

    /// When it was accepted, had its last response or the first byte of its next request.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since.get()
    }

    /// Whether it has had a response.
    pub(super) fn has_responded(&self) -> bool {
        self.responded.get()
    }

    /// Whether nothing has been received on it.
    pub(super) fn is_unused(&self) -> bool {
        !self.has_responded() && self.is_idle() && self.head.borrow().is_empty()
    }

    /// Resolves once the time for a complete request is over, and what had arrived by then has been read.
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

    /// Records that a request is complete and valid.
    pub(super) fn record_request(&self) {
        self.busy.set(true);
    }

    /// Records that a response is ready.
    pub(super) fn record_response(&self) {
        self.busy.set(false);
        self.responded.set(true);
        self.idle_since.set(Instant::now());
        self.head.take();
    }

    /// Whether the head that was received is that of `request` and has `Transfer-Encoding: chunked` and no
    /// length.
    pub(super) fn is_plainly_chunked(&self, request: &Request<Incoming>) -> bool {
        self.head.borrow().is_plainly_chunked(request)
    }

    /// Requests that the connection be closed.
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
