//! The names that the gateway's HTTP protocols give to headers, their tokens, and paths.
//!
//! Header names are in lower case, as the HTTP library compares them.

/// The number of a request, unique among those in progress.
pub(crate) const REQUEST_ID: &str = "req-id";
/// How long the sender waits for the response, in whole milliseconds.
pub(crate) const DEADLINE_MS: &str = "req-deadline-ms";
/// `1` on a client's retry.
pub(crate) const CLIENT_RETRY: &str = "req-retry";
/// The key by which endpoints recognize a repeated request.
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

/// `1` on the response of an endpoint that rejects a request it has not run.
pub(crate) const REJECTED: &str = "srv-declined";
/// An endpoint's load report.
pub(crate) const LOAD_REPORT: &str = "srv-load";
/// The prefix of the values of a load report.
pub(crate) const LOAD_REPORT_PREFIX: &str = "TEXT";

/// The gateway's readiness, for clients.
pub(crate) const READINESS_PATH: &str = "/up";
/// An endpoint's liveness.
pub(crate) const LIVENESS_PATH: &str = "/alive";
/// An endpoint's load report as a response body.
pub(crate) const LOAD_REPORT_PATH: &str = "/metrics/load";
/// The endpoint list, at the discovery service.
pub(crate) const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// The bytes that end the head of an HTTP/1.1 message.
pub(crate) const HEAD_END: &[u8] = b"\r\n\r\n";
