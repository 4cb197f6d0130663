//! When the steps of a graceful shutdown happen, all derived from the time of SIGKILL.
//!
//! SIGKILL may come as soon as the longest deadline of a request, counted as 3 s at most, plus 0.7 s have passed
//! since SIGTERM. Until 0.4 s after SIGTERM clients open connections, and until SIGKILL they send requests on
//! those that are open. A request that arrives later than 0.7 s after SIGTERM must be answered before SIGKILL.

use std::time::Duration;

/// A longer deadline counts as this long in the time until SIGKILL; also assumed if no deadline is known.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// SIGKILL follows SIGTERM no sooner than the longest deadline and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long before SIGKILL the remaining requests get their final responses. Covers a pause of the process of
/// 150 ms and the time for writing them.
const FINAL_RESPONSES_MARGIN: Duration = Duration::from_millis(200);
/// How long before SIGKILL the process ends, whatever connections are open.
const EXIT_MARGIN: Duration = Duration::from_millis(50);
/// How long new connections are accepted after SIGTERM, if the time until the final responses allows it.
const MAX_ACCEPT_PERIOD: Duration = Duration::from_millis(700);
/// How long before the final responses the listener is closed at the latest.
const ACCEPT_MARGIN: Duration = Duration::from_millis(50);
/// The time for returning the units of leases to the quotas, before the listener is closed.
const LEASE_RETURN_TIME: Duration = Duration::from_millis(200);
/// How long idle connections are kept after SIGTERM, while clients learn that the gateway is not ready.
const IDLE_PERIOD: Duration = Duration::from_millis(250);

/// The steps of a graceful shutdown, as times since SIGTERM, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Idle connections are closed.
    pub close_idle: Duration,
    /// Leased units are returned.
    pub return_leases: Duration,
    /// The listener is closed, after the connections in its queue are accepted. Connections without a request
    /// are closed from now on.
    pub close_listener: Duration,
    /// The remaining requests are timed out; later ones are answered at once.
    pub final_responses: Duration,
    /// The process ends.
    pub exit: Duration,
    /// The process may be killed.
    pub kill: Duration,
}

impl ShutdownSchedule {
    /// The schedule for requests with at most this deadline; `None` if it is not known.
    pub fn new(longest_deadline: Option<Duration>) -> Self {
        let deadline = longest_deadline.unwrap_or(MAX_COUNTED_DEADLINE).min(MAX_COUNTED_DEADLINE);
        let kill = deadline + KILL_MARGIN;
        let final_responses = kill - FINAL_RESPONSES_MARGIN;
        let close_listener = MAX_ACCEPT_PERIOD.min(final_responses - ACCEPT_MARGIN);
        Self {
            close_idle: IDLE_PERIOD,
            return_leases: close_listener - LEASE_RETURN_TIME,
            close_listener,
            final_responses,
            exit: kill - EXIT_MARGIN,
            kill,
        }
    }
}
