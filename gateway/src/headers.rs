//! The names that the gateway's HTTP protocols give to headers, their tokens, and paths.
//!
//! Header names are in lower case, as the HTTP library compares them.

/// The number of a request, unique among those in progress.
pub const REQUEST_ID: &str = "req-id";
/// How long the sender waits for the response, in whole milliseconds.
pub const DEADLINE_MS: &str = "req-deadline-ms";
/// `1` on a client's retry.
pub const CLIENT_RETRY: &str = "req-retry";
/// The key by which endpoints recognize a repeated request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The tenant's quota plan.
pub const PLAN: &str = "api-plan";
/// The tenant: 16 hexadecimal digits below 2^33.
pub const TENANT: &str = "api-customer";
/// The units of a request and the gateways that serve its tenant, as `units=2,spread=3,first=1`.
pub const TERMS: &str = "api-terms";
/// The units of a request, in [`TERMS`].
pub const TERMS_UNITS: &str = "units";
/// How many gateways serve the tenant, in [`TERMS`].
pub const TERMS_GATEWAYS: &str = "spread";
/// The index of the first gateway that serves the tenant, in [`TERMS`].
pub const TERMS_FIRST_GATEWAY: &str = "first";

/// `1` on the response of an endpoint that rejects a request it has not run.
pub const REJECTED: &str = "srv-declined";
/// An endpoint's load report.
pub const LOAD_REPORT: &str = "srv-load";
/// The word before the values of a load report.
pub const LOAD_REPORT_PREFIX: &str = "TEXT";

/// The gateway's readiness, for clients.
pub const READINESS_PATH: &str = "/up";
/// An endpoint's liveness.
pub const LIVENESS_PATH: &str = "/alive";
/// An endpoint's load report as a response body.
pub const LOAD_REPORT_PATH: &str = "/metrics/load";
/// The endpoint list, at the discovery service.
pub const ENDPOINT_LIST_PATH: &str = "/discovery/hosts";

/// The bytes that end the head of an HTTP/1.1 message.
pub const HEAD_END: &[u8] = b"\r\n\r\n";
