//! The state of one client connection while it is open.

use crate::body::{BodyBuffer, BodyError};
use crate::client::request_head::RequestHead;
use crate::endpoint::MAX_BODY_BYTES;
use crate::socket::SharedStream;
use bytes::Bytes;
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

/// The size of the HTTP library's buffers for reading and writing, at least.
const LIBRARY_BUFFER_BYTES: usize = 16 * 1024;

/// Whether the connection is being closed although more of a request may arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseState {
    /// It is not.
    Open,
    /// Its incomplete request is to be rejected for lack of memory once the connection is polled.
    RejectionPending,
    /// The HTTP library's connection has been dropped. The client has its response, and has to close.
    Lingering,
}

/// The state of one client connection.
pub(super) struct ConnectionState {
    socket: SharedStream,
    /// Whether a complete request has no response yet.
    has_pending_request: Cell<bool>,
    /// The latest of the accept, the last response and the first byte of the request after that response.
    idle_since: Cell<Instant>,
    last_read_at: Cell<Instant>,
    responded: Cell<bool>,
    responded_early: Cell<bool>,
    evicted: Cell<bool>,
    head: RefCell<RequestHead>,
    /// The body of the request that is being received.
    body: RefCell<BodyBuffer>,
    eviction: Notify,
    close_state: Cell<CloseState>,
    rejection_requested: Notify,
    /// Whether a response, or a part of it, has not been passed to the socket yet.
    has_unsent_output: Cell<bool>,
}

impl ConnectionState {
    pub(super) fn new(socket: SharedStream) -> Self {
        Self {
            socket,
            has_pending_request: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            last_read_at: Cell::new(Instant::now()),
            responded: Cell::new(false),
            responded_early: Cell::new(false),
            evicted: Cell::new(false),
            head: RefCell::default(),
            body: RefCell::new(BodyBuffer::new(MAX_BODY_BYTES)),
            eviction: Notify::new(),
            close_state: Cell::new(CloseState::Open),
            rejection_requested: Notify::new(),
            has_unsent_output: Cell::new(false),
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
        self.close_state.set(CloseState::Open);
        self.has_pending_request.set(true);
    }

    /// Appends received bytes to the body of the request that is being received, as [`BodyBuffer::append`] does.
    pub(super) fn append_to_body(
        &self, received: &[u8], expected_later: Option<usize>,
    ) -> Result<(), BodyError> {
        self.body.borrow_mut().append(received, expected_later)
    }

    /// Takes the body of the request, now that it is complete. `None` if it was discarded for lack of memory.
    pub(super) fn take_body(&self) -> Option<Bytes> {
        self.close_state.set(CloseState::Open);
        let body = self.body.replace(BodyBuffer::new(MAX_BODY_BYTES));
        (!body.is_discarded()).then(|| body.into_bytes())
    }

    /// Since when an incomplete request has been waiting for its next bytes. `None` once it is complete, or is to be
    /// rejected.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        (self.incomplete_request_bytes() > 0).then(|| self.last_read_at.get())
    }

    /// The memory that an incomplete request holds, apart from the buffers that each connection has. None once
    /// the request is complete, or is to be rejected.
    pub(super) fn incomplete_request_bytes(&self) -> usize {
        let is_incomplete = self.is_idle() && self.close_state.get() == CloseState::Open;
        if is_incomplete { self.request_bytes() } else { 0 }
    }

    /// The memory that will be free as soon as the connection is polled, if its request is to be rejected.
    pub(super) fn bytes_freed_by_rejection(&self) -> usize {
        let is_pending = self.close_state.get() == CloseState::RejectionPending;
        if is_pending { self.request_bytes() + LIBRARY_BUFFER_BYTES } else { 0 }
    }

    /// The memory of the body, and of the head and its copy in the HTTP library.
    fn request_bytes(&self) -> usize {
        self.body.borrow().held_bytes() + self.head.borrow().held_bytes()
    }

    /// Rejects the request for lack of memory, and discards what has been received of its body. The other memory
    /// of the request is freed when the connection is polled.
    pub(super) fn reject_incomplete_request(&self) {
        self.body.borrow_mut().discard();
        self.close_state.set(CloseState::RejectionPending);
        self.rejection_requested.notify_one();
    }

    /// Resolves when the request is to be rejected for lack of memory and is still incomplete.
    pub(super) async fn rejected(&self) {
        while self.close_state.get() != CloseState::RejectionPending {
            self.rejection_requested.notified().await;
        }
    }

    /// Whether the connection is being closed although more of a request may arrive.
    pub(super) fn is_closing(&self) -> bool {
        self.close_state.get() != CloseState::Open
    }

    /// Records that the HTTP library's connection has been dropped while more of a request may arrive, and frees
    /// what is left of its memory. From now on the connection may be evicted, again if need be.
    pub(super) fn begin_lingering(&self) {
        self.close_state.set(CloseState::Lingering);
        self.evicted.set(false);
        self.head.take();
        self.body.borrow_mut().discard();
    }

    /// Whether a response, or a part of it, has not been passed to the socket yet.
    pub(super) fn has_unsent_output(&self) -> bool {
        self.has_unsent_output.get()
    }

    /// Records that bytes, but not necessarily all of a response, were passed to the socket.
    pub(super) fn record_write(&self) {
        self.has_unsent_output.set(true);
    }

    /// Records that all output was passed to the socket.
    pub(super) fn record_flush(&self) {
        self.has_unsent_output.set(false);
    }

    /// Whether the last response was sent before its request was received completely.
    ///
    /// The HTTP library itself responds to a head that it cannot read, and leaves the rest unread.
    pub(super) fn has_responded_early(&self) -> bool {
        let has_unreadable_head = self.is_idle() && !self.head.borrow().is_empty();
        self.responded_early.get() || has_unreadable_head
    }

    /// Records that the response which is ready was made before the body of its request was received.
    pub(super) fn record_early_response(&self) {
        self.responded_early.set(true);
    }

    /// Records that a response is ready.
    pub(super) fn record_response(&self) {
        self.close_state.set(CloseState::Open);
        self.has_pending_request.set(false);
        self.responded.set(true);
        self.has_unsent_output.set(true);
        self.idle_since.set(Instant::now());
        self.head.take();
        self.body.replace(BodyBuffer::new(MAX_BODY_BYTES));
    }

    /// Records received bytes, and appends them to the head, as far as they belong to that of the next request.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        self.last_read_at.set(Instant::now());
        let mut head = self.head.borrow_mut();
        if !self.is_idle() || bytes.is_empty() || head.is_complete() {
            return;
        }
        if head.is_empty() && self.has_responded() {
            self.idle_since.set(Instant::now());
        }
        head.append(bytes);
        if head.is_complete() {
            self.close_state.set(CloseState::Open);
        }
    }

    /// Whether the received head is that of `request` and has `Transfer-Encoding: chunked` but no
    /// `Content-Length`.
    pub(super) fn is_chunked_without_length(&self, request: &Request<Incoming>) -> bool {
        self.head.borrow().is_chunked_without_length(request)
    }

    /// Frees the bytes of the received head. Called once its request has been checked, before its body is read.
    pub(super) fn release_head(&self) {
        self.head.borrow_mut().release();
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
