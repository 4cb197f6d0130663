//! The HTTP responses to clients: submits requests to the engine and converts their final responses.

use crate::client::request::{ParsedRequest, RequestError};
use crate::client::shutdown::Shutdown;
use crate::clock::millis;
use crate::engine::{Engine, FinalResponse, SubmittedRequest};
use crate::request_ids::IdReservation;
use crate::socket::SharedStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use ryefront_policy::{Arrival, Millis, RequestId};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A response with a complete body.
pub(super) type HttpResponse = Response<Full<Bytes>>;

/// The time between the policy's deadline and the client's, for writing the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// The margin is at most this fraction of the time to the client's deadline.
const DEADLINE_MARGIN_FRACTION: f64 = 0.25;
/// A request that the policy has not ended this long after its deadline is timed out without the policy.
const FORCED_TIMEOUT_DELAY: Duration = Duration::from_millis(10);

/// The deadlines of one request.
struct Deadlines {
    /// The time that the policy has to end the request.
    time_for_policy: Duration,
    /// When that time ends.
    policy_deadline: Instant,
    /// When the request is timed out without the policy.
    forced_timeout: Instant,
}

impl Deadlines {
    fn new(time_to_deadline: Duration) -> Self {
        let margin = DEADLINE_MARGIN.min(time_to_deadline.mul_f64(DEADLINE_MARGIN_FRACTION));
        let time_for_policy = time_to_deadline - margin;
        let policy_deadline = Instant::now() + time_for_policy;
        let forced_timeout = policy_deadline + FORCED_TIMEOUT_DELAY.min(margin / 2);
        Self { time_for_policy, policy_deadline, forced_timeout }
    }
}

/// Submits requests to the engine and returns their responses.
pub(super) struct Responder {
    engine: Rc<Engine>,
    shutdown: Rc<Shutdown>,
}

impl Responder {
    pub(super) fn new(engine: Rc<Engine>, shutdown: Rc<Shutdown>) -> Self {
        Self { engine, shutdown }
    }

    /// Submits a request and returns its response by the client's deadline, even if the engine has no final
    /// response.
    pub(super) async fn respond(
        &self, request: ParsedRequest, id_reservation: IdReservation, client: SharedStream,
    ) -> HttpResponse {
        let deadlines = Deadlines::new(request.time_to_deadline);
        let SubmittedRequest { id, final_response } =
            self.submit(request, id_reservation, client, &deadlines);
        let guard = DisconnectOnDrop { engine: &self.engine, id };
        let response = tokio::select! {
            biased;
            response = timeout_at(deadlines.forced_timeout, final_response) => response.ok(),
            () = self.shutdown.final_responses_due() => None,
        };
        drop(guard);
        match response {
            Some(Ok(response)) => http_response(response),
            Some(Err(_)) => failed(),
            None => timed_out(),
        }
    }

    fn submit(
        &self, request: ParsedRequest, id_reservation: IdReservation, client: SharedStream,
        deadlines: &Deadlines,
    ) -> SubmittedRequest {
        let ParsedRequest { class, plan, tenant, terms, client_retry, forwarded, .. } = request;
        let time_to_deadline = millis(deadlines.time_for_policy);
        let arrival = |id| Arrival {
            id,
            tenant,
            plan,
            class,
            units: terms.units,
            client_retry,
            time_to_deadline,
            first_gateway: terms.first_gateway,
            gateways_per_tenant: terms.gateways_per_tenant,
        };
        self.engine.submit(arrival, forwarded, id_reservation, client, deadlines.policy_deadline)
    }
}

/// Reports to the engine that the client has disconnected, if it is dropped before the final response. After
/// the final response this has no effect, as the engine no longer has the request.
struct DisconnectOnDrop<'a> {
    engine: &'a Engine,
    id: RequestId,
}

impl Drop for DisconnectOnDrop<'_> {
    fn drop(&mut self) {
        self.engine.client_disconnected(self.id);
    }
}

fn http_response(final_response: FinalResponse) -> HttpResponse {
    match final_response {
        FinalResponse::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            *response.headers_mut() = served.headers;
            response
        }
        FinalResponse::Rejected { retry_after } => rejected(retry_after),
        FinalResponse::Failed => failed(),
        FinalResponse::TimedOut => timed_out(),
    }
}

fn rejected(retry_after: Millis) -> HttpResponse {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "rejected, retry later");
    let seconds = format!("{:.3}", retry_after / 1000.0);
    if retry_after > 0.0
        && let Ok(seconds) = HeaderValue::from_str(&seconds)
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn failed() -> HttpResponse {
    text_response(StatusCode::BAD_GATEWAY, "failed")
}

fn timed_out() -> HttpResponse {
    text_response(StatusCode::GATEWAY_TIMEOUT, "no response in time")
}

/// The response to a readiness check: whether new clients should use this gateway.
pub(super) fn readiness(method: &Method, is_draining: bool) -> HttpResponse {
    match *method {
        Method::GET | Method::HEAD if is_draining => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "draining")
        }
        Method::GET | Method::HEAD => text_response(StatusCode::OK, "up"),
        _ => invalid_request(RequestError::WrongMethod { expected: "GET or HEAD" }),
    }
}

/// The response to an invalid request.
pub(super) fn invalid_request(error: RequestError) -> HttpResponse {
    text_response(error.status(), &error.to_string())
}

/// The response when the client has disconnected. Clients receive it only if they have closed just their
/// sending side.
pub(super) fn client_disconnected() -> HttpResponse {
    text_response(StatusCode::BAD_REQUEST, "the client disconnected before its final answer")
}

fn text_response(status: StatusCode, line: &str) -> HttpResponse {
    let mut response = Response::new(Full::from(format!("{line}\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
