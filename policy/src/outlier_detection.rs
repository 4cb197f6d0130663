//! Outlier detection: ejects an endpoint after failed attempts, for a time that grows with their number.
//!
//! Crashed or stalled endpoints show in the outcomes of attempts long before the endpoint list reports them.
//! An ejection lasts at least as long as the failed attempt took, because an endpoint that does not stop
//! cancelled work still has to finish it, and longer with each consecutive failure.
//!
//! An attempt that timed out sooner than responses take on average does not count: its client's deadline was
//! too short ([`response_latency`](crate::response_latency)).
//!
//! The first consecutive connection resets do not count, as they say little about the endpoint: idle
//! connections go stale, and the network resets others. An endpoint that has crashed refuses the next
//! connection, which does not lose a request.

use crate::{Millis, Outcome};

/// The duration of an ejection per consecutive failure, as a fraction of the slow-start duration.
const EJECTION_FRACTION: f64 = 0.02;
/// The number of consecutive failures at which an ejection is logged.
const FAILURES_TO_LOG: u32 = 2;
/// This many consecutive connection resets do not count as failures of the endpoint.
const TOLERATED_RESETS: u32 = 2;

/// A change of an endpoint's ejection that is logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EjectionChange {
    /// Attempts failed repeatedly, and the endpoint gets no requests for some time.
    Ejected,
    /// The endpoint responds again.
    Recovered,
}

impl EjectionChange {
    /// Returns the log line for an endpoint.
    pub(crate) fn log_line(self, endpoint: &str) -> String {
        match self {
            Self::Ejected => format!("endpoint {endpoint} ejected: {FAILURES_TO_LOG} consecutive failures"),
            Self::Recovered => format!("endpoint {endpoint} recovered: it responds again"),
        }
    }
}

/// The consecutive failures and the ejection of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    consecutive_failures: u32,
    ejected_until: Millis,
    ejection_logged: bool,
}

impl OutlierDetector {
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a served attempt. Returns a change that is to be logged.
    pub(crate) fn record_success(&mut self) -> Option<EjectionChange> {
        self.consecutive_failures = 0;
        std::mem::take(&mut self.ejection_logged).then_some(EjectionChange::Recovered)
    }

    /// Records a failed attempt. Returns a change that is to be logged.
    pub(crate) fn record_failure(
        &mut self, now: Millis, outcome: Outcome, latency: Millis, slow_start_duration: Millis,
    ) -> Option<EjectionChange> {
        self.consecutive_failures += 1;
        let tolerated = if outcome == Outcome::ConnectionReset { TOLERATED_RESETS } else { 0 };
        let counted_failures = self.consecutive_failures.saturating_sub(tolerated);
        if counted_failures > 0 {
            let backoff = slow_start_duration * (EJECTION_FRACTION * f64::from(counted_failures));
            self.ejected_until = now + latency.max(backoff);
        }
        let loggable = counted_failures >= FAILURES_TO_LOG;
        let newly_ejected = loggable && !std::mem::replace(&mut self.ejection_logged, true);
        newly_ejected.then_some(EjectionChange::Ejected)
    }
}
