//! Endpoints: their addresses, the connections to them, forwarded attempts and health checks.
//!
//! In reading order: `settings` configures them; `registry` has each endpoint's address and readiness by the
//! endpoint list; `connections` provides connections: idle ones from the [`pool`] where `stale_connections`
//! allows their reuse, new ones within the `connection_limit`; `exchange` sends one request on one of them;
//! `attempt` and `health_check` run an exchange and classify how it ended; `load_report` reads the endpoint's
//! load.

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
