//! How endpoints are connected to.

use ryefront_policy::LoadReportSource;
use std::time::Duration;

/// How endpoints are connected to, and where their load reports come from.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSettings {
    /// A connection that takes longer to be established has failed.
    pub connect_timeout: Duration,
    /// Endpoints close connections that are idle for this long.
    pub endpoint_idle_timeout: Duration,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// The most connections to all endpoints together.
    pub max_connections: usize,
}
