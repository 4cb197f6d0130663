//! Endpoints: their addresses, the connections to them, forwarded attempts and health checks.
//!
//! In reading order: `settings` configures the connections; `registry` holds each endpoint's address and
//! readiness from the endpoint list; `connections` acquires connections, idle ones from the [`pool`] where
//! `stale_connections` allows their reuse and new ones within the `connection_limit`; `exchange` sends one
//! request on an acquired connection; `attempt` and `health_check` run an exchange and classify its result;
//! `load_report` parses the load that endpoints report.

mod attempt;
mod connection_limit;
mod connections;
mod exchange;
mod health_check;
mod load_report;
pub mod pool;
mod registry;
mod settings;
mod stale_connections;

pub(crate) use attempt::{Attempt, AttemptLimits, AttemptResult, EndpointResponse, ForwardedRequest};
pub(crate) use exchange::MAX_BODY_BYTES;
pub(crate) use health_check::check_health;
pub use registry::EndpointRegistry;
pub use settings::EndpointSettings;
