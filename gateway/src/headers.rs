//! The headers, header tokens and paths of the gateway's HTTP interfaces.
//!
//! Header names are in lower case, the form in which the HTTP library compares them.

/// The ID of a request, unique among the requests in progress.
pub(crate) const REQUEST_ID: &str = "req-id";
/// How long the sender will wait for the response, in whole milliseconds.
pub(crate) const DEADLINE_MS: &str = "req-deadline-ms";
/// `1` if the request is a client's retry, `0` or absent otherwise.
pub(crate) const CLIENT_RETRY: &str = "req-retry";
/// The key by which endpoints deduplicate requests.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The tenant's quota plan.
pub(crate) const PLAN: &str = "api-plan";
/// The tenant: 16 hexadecimal digits below 2^33.
pub(crate) const TENANT: &str = "api-customer";
/// The units of a request and the gateways that serve its tenant, as `units=2,spread=3,first=1`.
pub(crate) const TERMS: &str = "api-terms";
/// The units of a request, in [`TERMS`].
pub(crate) const TERMS_UNITS: &str = "units";
/// How many gateways serve the tenant, in [`TERMS`].
pub(crate) const TERMS_GATEWAYS: &str = "spread";
/// The index of the first gateway that serves the tenant, in [`TERMS`].
pub(crate) const TERMS_FIRST_GATEWAY: &str = "first";

/// `1` in an endpoint's response to a request that it rejected without running it.
pub(crate) const REJECTED: &str = "srv-declined";
/// An endpoint's load report.
pub(crate) const LOAD_REPORT: &str = "srv-load";
/// The token before the values of a load report.
pub(crate) const LOAD_REPORT_PREFIX: &str = "TEXT";

/// The path of the gateway's readiness check.
pub(crate) const READINESS_PATH: &str = "/up";
/// The path of an endpoint's liveness check.
pub(crate) const LIVENESS_PATH: &str = "/alive";
/// The path at which an endpoint returns its load report as the response body.
pub(crate) const LOAD_REPORT_PATH: &str = "/metrics/load";
/// The path of the endpoint list at the discovery service.
pub(crate) const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// The end of the head of an HTTP/1.1 message: the end of its last line and an empty line.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";
