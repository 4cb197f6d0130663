//! Health checks: requests for an endpoint's load report or, where endpoints have none, for its liveness.

use crate::endpoint::exchange::{EndpointRequest, exchange};
use crate::endpoint::load_report;
use crate::endpoint::registry::EndpointRegistry;
use crate::headers::{LIVENESS_PATH, LOAD_REPORT_PATH};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http;
use hyper::{Request, StatusCode};
use ryefront_policy::{Idempotency, LoadReport, LoadReportSource, Name, Outcome};
use std::net::SocketAddr;
use tokio::time::{Instant, timeout};

/// The result of a health check.
#[derive(Debug)]
pub(crate) struct HealthCheckResult {
    pub(crate) outcome: Outcome,
    /// The load report in the response body.
    pub(crate) load_report: Option<LoadReport>,
}

impl From<Outcome> for HealthCheckResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, load_report: None }
    }
}

/// Checks an endpoint's health, within the connect timeout.
pub(crate) async fn check_health(endpoints: &EndpointRegistry, endpoint: &Name) -> HealthCheckResult {
    let path = match endpoints.load_report_source() {
        LoadReportSource::None => LIVENESS_PATH,
        LoadReportSource::Responses | LoadReportSource::HealthChecks => LOAD_REPORT_PATH,
    };
    let request = HealthCheckRequest { path };
    let check_timeout = endpoints.connections().connect_timeout();
    match timeout(check_timeout, exchange(endpoints, endpoint, &request)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => {
            let load_report = std::str::from_utf8(response.body()).ok().and_then(load_report::parse);
            HealthCheckResult { outcome: Outcome::Served, load_report }
        }
        Ok(Ok(_)) => Outcome::Error.into(),
        Ok(Err(outcome)) => outcome.into(),
        Err(_) => Outcome::TimedOut.into(),
    }
}

/// The request of a health check.
struct HealthCheckRequest {
    path: &'static str,
}

impl EndpointRequest for HealthCheckRequest {
    fn idempotency(&self) -> Idempotency {
        Idempotency::Idempotent
    }

    fn write_deadline(&self) -> Option<Instant> {
        None
    }

    async fn check_before_write(&self) -> Result<(), Outcome> {
        Ok(())
    }

    fn build(&self, address: SocketAddr) -> http::Result<Request<Full<Bytes>>> {
        Request::get(self.path).header(HOST, address.to_string()).body(Full::default())
    }
}
