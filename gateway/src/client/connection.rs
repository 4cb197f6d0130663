//! Serves one client connection until the client, a timeout, an eviction or the shutdown closes it.

use crate::client::connection_state::ConnectionState;
use crate::client::lingering_close::{self, EVICTION_GRACE};
use crate::client::overload::MemoryOverload;
use crate::client::request::RequestError;
use crate::client::request_head::MAX_HEAD_BYTES;
use crate::client::response::HttpResponse;
use crate::client::shutdown::CloseSignal;
use crate::instrumented_stream::{InstrumentedStream, StreamObserver};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::time::{timeout, timeout_at};

/// What is left to do once the HTTP library's connection has been dropped.
enum ServeResult {
    /// Nothing.
    Ended,
    /// The last response was sent before its request was received completely, so more of it may arrive.
    RespondedEarly,
    /// A part of a request was received and has no response yet. It is to be rejected.
    Incomplete(RequestError),
}

/// Why a connection accepts no further requests.
enum CloseReason {
    /// The client or the HTTP library has closed it, or it failed.
    Closed,
    /// No complete request arrived in time. Without a timeout, clients that send nothing or send too slowly
    /// would use up the connections.
    RequestTimeout,
    /// The shutdown has reached the phase that closes this connection.
    Shutdown,
    /// The connection is idle, and its place is needed for a new one.
    Evicted,
}

/// Passes what is read on to the state of the connection, and then lets requests give way if memory is short.
struct ReadObserver {
    state: Rc<ConnectionState>,
    overload: Rc<MemoryOverload>,
}

impl StreamObserver for ReadObserver {
    fn on_read(&self, bytes: &[u8]) {
        self.state.record_read(bytes);
        self.overload.relieve();
    }

    fn on_write(&self, _count: usize) {
        self.state.record_write();
    }

    fn on_flush(&self) {
        self.state.record_flush();
    }
}

/// Serves one connection, whose requests `handle` responds to. Returns when the connection has ended.
pub(super) async fn serve<H, R>(
    state: &Rc<ConnectionState>, overload: Rc<MemoryOverload>, mut close_signal: CloseSignal, handle: H,
) where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = HttpResponse>,
{
    let service = service_fn(|request| {
        // Boxed, as most connections are idle, and would hold as much memory as those with a request.
        let response = Box::pin(handle(request));
        async { Ok::<_, Infallible>(response.await) }
    });
    let observer = ReadObserver { state: state.clone(), overload };
    let stream = InstrumentedStream::new(state.socket().clone(), Rc::new(observer));
    let result = {
        let http = http1::Builder::new()
            // `ConnectionState` has a timeout for head and body together instead.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let http = pin!(http);
        tokio::select! {
            biased;
            result = serve_and_close(http, state, &mut close_signal) => result,
            () = state.rejected() => ServeResult::Incomplete(RequestError::MemoryExceeded),
        }
    };
    match result {
        ServeResult::Ended => {}
        ServeResult::RespondedEarly => {
            state.begin_lingering();
            lingering_close::linger(state).await;
        }
        ServeResult::Incomplete(error) => {
            state.begin_lingering();
            lingering_close::reject(state, error).await;
        }
    }
}

/// Serves requests until the connection has ended or is to be closed, and closes it.
async fn serve_and_close(
    mut http: Pin<&mut impl HttpConnection>, state: &ConnectionState, close_signal: &mut CloseSignal,
) -> ServeResult {
    match serve_until_close(http.as_mut(), state, close_signal).await {
        CloseReason::Closed => {}
        CloseReason::RequestTimeout => return ServeResult::Ended,
        CloseReason::Shutdown => close_for_shutdown(http, state, close_signal).await,
        CloseReason::Evicted => {
            if !close_evicted(http, state).await {
                return ServeResult::Incomplete(RequestError::Evicted);
            }
        }
    }
    if state.has_responded_early() { ServeResult::RespondedEarly } else { ServeResult::Ended }
}

/// Serves requests until the connection has ended or is to be closed.
async fn serve_until_close(
    http: Pin<&mut impl HttpConnection>, state: &ConnectionState, close_signal: &mut CloseSignal,
) -> CloseReason {
    tokio::select! {
        biased;
        _ = http => CloseReason::Closed,
        () = state.request_timed_out() => CloseReason::RequestTimeout,
        () = close_signal.received() => CloseReason::Shutdown,
        () = state.evicted() => CloseReason::Evicted,
    }
}

/// Closes a connection after the response in progress. On an unused connection, a first request is awaited
/// for a while, as clients do not retry a first request whose connection closes without a response.
async fn close_for_shutdown(
    mut http: Pin<&mut impl HttpConnection>, state: &ConnectionState, close_signal: &CloseSignal,
) {
    let first_request_deadline = close_signal.first_request_deadline();
    if state.is_unused() && timeout_at(first_request_deadline, http.as_mut()).await.is_ok() {
        return;
    }
    if !read_pending_bytes(http.as_mut(), state).await {
        return;
    }
    http.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = http => {}
        () = state.request_timed_out() => {}
    }
}

/// Closes an evicted connection; if a request has arrived on it in the meantime, after the response. Returns false
/// if a request is incomplete and the connection still open.
async fn close_evicted(mut http: Pin<&mut impl HttpConnection>, state: &ConnectionState) -> bool {
    if !read_pending_bytes(http.as_mut(), state).await {
        return true;
    }
    http.as_mut().graceful_shutdown();
    if timeout(EVICTION_GRACE, http.as_mut()).await.is_ok() {
        return true;
    }
    if state.is_idle() {
        return false;
    }
    let _ = http.await;
    true
}

/// Reads the bytes that have already arrived on a connection that is to be closed: closing it with unread
/// bytes would reset it and lose a request among them. Returns whether the connection is still open.
async fn read_pending_bytes(http: Pin<&mut impl HttpConnection>, state: &ConnectionState) -> bool {
    tokio::select! {
        biased;
        _ = http => false,
        () = state.socket().wait_for_pending_read() => true,
    }
}

/// The HTTP library's connection with any service: a future that resolves when the connection has ended.
trait HttpConnection: Future {
    /// Closes the connection after the response in progress, or at once if there is none.
    fn graceful_shutdown(self: Pin<&mut Self>);
}

impl<S> HttpConnection for http1::Connection<TokioIo<InstrumentedStream<ReadObserver>>, S>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    fn graceful_shutdown(self: Pin<&mut Self>) {
        http1::Connection::graceful_shutdown(self);
    }
}
