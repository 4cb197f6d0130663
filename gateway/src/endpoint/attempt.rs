//! One attempt of a request: forwards it to an endpoint and classifies the result.

use crate::clock::millis;
use crate::endpoint::exchange::{EndpointRequest, exchange};
use crate::endpoint::load_report;
use crate::endpoint::registry::EndpointRegistry;
use crate::headers::{DEADLINE_MS, IDEMPOTENCY_KEY, LOAD_REPORT, REJECTED, REQUEST_ID};
use crate::socket::SharedStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, http};
use ryefront_policy::{Idempotency, LoadReport, LoadReportSource, Name, Outcome};
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

/// Response headers that are not forwarded to the client: hop-by-hop headers, which apply to the connection
/// to the endpoint only, and `content-length`, which the HTTP library sets anew.
const HOP_BY_HOP_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"];

/// The part of a client's request that is forwarded to endpoints.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: Method,
    /// The path and query, as received.
    pub(crate) target: PathAndQuery,
    /// The value of [`REQUEST_ID`].
    pub(crate) request_id: HeaderValue,
    /// The value of [`IDEMPOTENCY_KEY`].
    pub(crate) idempotency_key: Option<HeaderValue>,
    /// The value of `Content-Type`.
    pub(crate) content_type: Option<HeaderValue>,
    pub(crate) body: Bytes,
}

/// The deadlines of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// When the attempt ends at the latest. Nothing is written afterwards.
    pub(crate) deadline: Instant,
    /// When the attempt is abandoned unless the last byte of the request has been written.
    pub(crate) write_deadline: Option<Instant>,
}

/// An endpoint's response with status 200.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    /// The headers, without the [`HOP_BY_HOP_HEADERS`].
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// The response, if the request was served.
    pub(crate) response: Option<EndpointResponse>,
    /// The load report in the headers of the response.
    pub(crate) load_report: Option<LoadReport>,
    /// Whether the endpoint may have run the request, or may still be running it.
    pub(crate) may_have_run: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, response: None, load_report: None, may_have_run: outcome.may_have_run() }
    }
}

/// One attempt of a request at one endpoint.
pub(crate) struct Attempt<'a> {
    endpoint: &'a Name,
    request: ForwardedRequest,
    limits: AttemptLimits,
    cancellation: Cancellation,
    client: &'a SharedStream,
    /// Whether the request may have been written.
    write_began: Cell<bool>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt that is abandoned when `cancelled` resolves, and that writes nothing if the
    /// `client` has disconnected before.
    pub(crate) fn new(
        endpoint: &'a Name, request: ForwardedRequest, limits: AttemptLimits,
        cancelled: oneshot::Receiver<()>, client: &'a SharedStream,
    ) -> Self {
        let cancellation = Cancellation(RefCell::new(cancelled));
        Self { endpoint, request, limits, cancellation, client, write_began: Cell::new(false) }
    }

    /// Sends the request and returns the result once the connection is closed or idle again.
    pub(crate) async fn run(self, endpoints: &EndpointRegistry) -> AttemptResult {
        let started_at = Instant::now();
        // Cancellation and timeout drop the exchange, which closes its connection, before there is a result.
        let mut result: AttemptResult = tokio::select! {
            biased;
            response = exchange(endpoints, self.endpoint, &self) => match response {
                Ok(response) => attempt_result(response, endpoints.load_report_source()),
                Err(outcome) => outcome.into(),
            },
            () = self.cancellation.requested() => Outcome::Cancelled.into(),
            () = self.deadline_passed() => Outcome::TimedOut.into(),
        };
        if result.outcome == Outcome::TimedOut {
            endpoints.record_timeout(self.endpoint, started_at);
        }
        result.may_have_run &= self.write_began.get();
        result
    }

    /// Resolves at the deadline, after an iteration of the event loop that reports the bytes that arrived by
    /// then.
    async fn deadline_passed(&self) {
        sleep_until(self.limits.deadline).await;
        yield_now().await;
    }
}

impl EndpointRequest for Attempt<'_> {
    fn idempotency(&self) -> Idempotency {
        if self.request.idempotency_key.is_some() {
            Idempotency::WithKey
        } else if self.request.method.is_safe() {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        }
    }

    fn write_deadline(&self) -> Option<Instant> {
        self.limits.write_deadline
    }

    /// Checks for a possible disconnect of the client, a cancellation and the deadlines: each may have occurred
    /// in the iteration of the event loop in which the connection was established.
    async fn check_before_write(&self) -> Result<(), Outcome> {
        if self.client.may_be_closed_by_peer().await || self.cancellation.is_requested() {
            return Err(Outcome::Cancelled);
        }
        let now = Instant::now();
        if self.limits.write_deadline.is_some_and(|write_deadline| now >= write_deadline) {
            return Err(Outcome::NotSent);
        }
        if now >= self.limits.deadline {
            return Err(Outcome::TimedOut);
        }
        self.write_began.set(true);
        Ok(())
    }

    fn build(&self, address: SocketAddr) -> http::Result<Request<Full<Bytes>>> {
        let time_left = self.limits.deadline.saturating_duration_since(Instant::now());
        let request = self.request.clone();
        let mut builder = Request::builder()
            .method(request.method)
            .uri(request.target)
            .header(HOST, address.to_string())
            .header(REQUEST_ID, request.request_id)
            .header(DEADLINE_MS, millis(time_left).floor().to_string());
        if let Some(key) = request.idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        if let Some(content_type) = request.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        builder.body(Full::new(request.body))
    }
}

/// The receiver of the signal that cancels an attempt.
struct Cancellation(RefCell<oneshot::Receiver<()>>);

impl Cancellation {
    fn is_requested(&self) -> bool {
        self.0.borrow_mut().try_recv().is_ok()
    }

    /// Resolves when the attempt is cancelled, or can no longer be because the sender was dropped.
    async fn requested(&self) {
        let _ = poll_fn(|cx| Pin::new(&mut *self.0.borrow_mut()).poll(cx)).await;
    }
}

/// Converts a response to the result of the attempt.
fn attempt_result(response: Response<Bytes>, load_report_source: LoadReportSource) -> AttemptResult {
    let (head, body) = response.into_parts();
    let mut headers = head.headers;
    let is_marked_rejected = headers.get(REJECTED).is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_marked_rejected => {
            Outcome::Rejected
        }
        // With any other status the endpoint may have run the request, even if the header marks a rejection.
        _ => Outcome::Error,
    };
    let load_report = headers
        .remove(LOAD_REPORT)
        .filter(|_| load_report_source == LoadReportSource::Responses)
        .and_then(|report| report.to_str().ok().and_then(load_report::parse));
    let response = (outcome == Outcome::Served).then(|| {
        for name in HOP_BY_HOP_HEADERS {
            headers.remove(name);
        }
        EndpointResponse { headers, body }
    });
    AttemptResult { outcome, response, load_report, may_have_run: outcome.may_have_run() }
}
