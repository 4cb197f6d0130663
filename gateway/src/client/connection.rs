//! Serves one client connection until it is closed by the client, a timeout, an eviction or the shutdown.

use crate::client::connection_state::ConnectionState;
use crate::client::request_head::MAX_HEAD_BYTES;
use crate::client::response::HttpResponse;
use crate::client::shutdown::{CloseSignal, LATE_ARRIVAL_PERIOD};
use crate::instrumented_stream::InstrumentedStream;
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
use std::time::Duration;
use tokio::time::{timeout, timeout_at};

/// The time in which a request may still arrive on an evicted connection.
const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// Why a connection is no longer open for further requests.
enum CloseReason {
    /// The client or the HTTP library has closed it, or it broke.
    Closed,
    /// No complete request came in time. Clients that send nothing, or too slowly, would use up the
    /// connections.
    RequestTimeout,
    /// The shutdown has reached the phase that closes this connection.
    Shutdown,
    /// The connection is idle, and others are waiting for one.
    Evicted,
}

/// Serves one connection with `handle` and returns when it has ended.
pub(super) async fn serve<H, R>(state: &Rc<ConnectionState>, mut close_signal: CloseSignal, handle: H)
where
    H: Fn(Request<Incoming>) -> R,
    R: Future<Output = HttpResponse>,
{
    let service = service_fn(|request| {
        let response = handle(request);
        async { Ok::<_, Infallible>(response.await) }
    });
    let stream = InstrumentedStream::new(state.socket().clone(), state.clone());
    let http = http1::Builder::new()
        // `ConnectionState` limits the time for head and body together.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut http = pin!(http);
    match close_reason(http.as_mut(), state, &mut close_signal).await {
        CloseReason::Closed | CloseReason::RequestTimeout => {}
        CloseReason::Shutdown => close_for_shutdown(http, state).await,
        CloseReason::Evicted => close_evicted(http, state).await,
    }
}

/// Serves requests until there is a reason to close the connection.
async fn close_reason(
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

/// Closes a connection after the response in progress. An unused one may receive its first request for a
/// while: clients do not repeat a first request when its connection closes without a response.
async fn close_for_shutdown(mut http: Pin<&mut impl HttpConnection>, state: &ConnectionState) {
    let first_request_due = state.idle_since() + LATE_ARRIVAL_PERIOD;
    if state.is_unused() && timeout_at(first_request_due, http.as_mut()).await.is_ok() {
        return;
    }
    if !read_what_arrived(http.as_mut(), state).await {
        return;
    }
    http.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = http => {}
        () = state.request_timed_out() => {}
    }
}

/// Closes an evicted connection, after the response if a request has arrived on it meanwhile.
async fn close_evicted(mut http: Pin<&mut impl HttpConnection>, state: &ConnectionState) {
    if !read_what_arrived(http.as_mut(), state).await {
        return;
    }
    http.as_mut().graceful_shutdown();
    let closed = timeout(EVICTION_GRACE, http.as_mut()).await.is_ok();
    if !closed && !state.is_idle() {
        let _ = http.await;
    }
}

/// Reads what has arrived on a connection that is to be closed, as a request in it would be reset. Returns
/// whether the connection is still open.
async fn read_what_arrived(http: Pin<&mut impl HttpConnection>, state: &ConnectionState) -> bool {
    tokio::select! {
        biased;
        _ = http => false,
        () = state.socket().wait_for_pending_read() => true,
    }
}

/// The HTTP library's connection, whatever its service: a future that resolves when the connection has ended.
trait HttpConnection: Future {
    /// Closes the connection after the response in progress, or at once if there is none.
    fn graceful_shutdown(self: Pin<&mut Self>);
}

impl<S> HttpConnection for http1::Connection<TokioIo<InstrumentedStream<ConnectionState>>, S>
where
    S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
{
    fn graceful_shutdown(self: Pin<&mut Self>) {
        http1::Connection::graceful_shutdown(self);
    }
}
