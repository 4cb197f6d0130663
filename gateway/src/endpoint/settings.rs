//! The settings of the endpoint side.

use crate::memory::MemoryMonitor;
use ryefront_policy::LoadReportSource;
use std::rc::Rc;
use std::time::Duration;

/// The timeouts and limits of connections to endpoints, and the source of load reports.
#[derive(Clone, Debug)]
pub struct EndpointSettings {
    /// The time after which an attempt to connect fails.
    pub connect_timeout: Duration,
    /// The time after which endpoints close idle connections.
    pub endpoint_idle_timeout: Duration,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// The maximum number of connections, to all endpoints together.
    pub max_connections: usize,
    /// The memory in which responses are received.
    pub memory: Rc<MemoryMonitor>,
}
