//! Outlier detection: endpoints that fail are ejected, and tried again after a growing backoff.
//!
//! Endpoints that crash or stall show in outcomes long before the endpoint list reports them. Nothing is
//! forwarded for at least as long as the failure took, as work that was given up still has to be finished
//! where cancellation does not stop it, and for longer with each consecutive failure. A reset connection says
//! little about its endpoint: idle connections go stale, and the network resets others. An endpoint that has
//! crashed refuses the next connection, which costs no request.

use crate::{Millis, Outcome};

/// An ejection lasts this fraction of the slow-start duration for each consecutive failure.
const EJECTION_FRACTION: f64 = 0.02;
/// The number of consecutive failures at which an ejection is logged.
const LOGGED_FAILURES: u32 = 2;
/// This many consecutive connection resets do not count as failures of the endpoint.
const TOLERATED_RESETS: u32 = 2;

/// A change of an endpoint's ejection that is to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EjectionChange {
    /// It failed repeatedly and gets no requests for some time.
    Ejected,
    /// It responds again.
    Recovered,
}

impl EjectionChange {
    /// Returns the log line for an endpoint.
    pub(crate) fn log_line(self, endpoint: &str) -> String {
        match self {
            Self::Ejected => format!("endpoint {endpoint} ejected: {LOGGED_FAILURES} consecutive failures"),
            Self::Recovered => format!("endpoint {endpoint} recovered: it responds again"),
        }
    }
}

/// The failures of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    consecutive_failures: u32,
    ejected_until: Millis,
    ejection_logged: bool,
}

impl OutlierDetector {
    /// Returns whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Records a response.
    pub(crate) fn record_success(&mut self) -> Option<EjectionChange> {
        self.consecutive_failures = 0;
        std::mem::take(&mut self.ejection_logged).then_some(EjectionChange::Recovered)
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(
        &mut self, now: Millis, outcome: Outcome, latency: Millis, slow_start_duration: Millis,
    ) -> Option<EjectionChange> {
        self.consecutive_failures += 1;
        let tolerated = if outcome == Outcome::ConnectionReset { TOLERATED_RESETS } else { 0 };
        let counted = self.consecutive_failures.saturating_sub(tolerated);
        if counted > 0 {
            let backoff = slow_start_duration * (EJECTION_FRACTION * f64::from(counted));
            self.ejected_until = now + latency.max(backoff);
        }
        let loggable = counted >= LOGGED_FAILURES;
        let newly_ejected = loggable && !std::mem::replace(&mut self.ejection_logged, true);
        newly_ejected.then_some(EjectionChange::Ejected)
    }
}
