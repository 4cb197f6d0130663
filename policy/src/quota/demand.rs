//! The request rate of one tenant at this gateway, as an exponentially weighted moving average. It determines
//! the size of lease blocks.

use crate::Millis;

/// The time constant of the moving average, as a fraction of a refill period.
const SMOOTHING_FRACTION: f64 = 0.5;

/// The smoothed demand of a tenant at this gateway.
#[derive(Debug)]
pub(crate) struct Demand {
    /// Units per millisecond.
    pub(crate) rate: f64,
    /// When the last request arrived.
    pub(crate) updated_at: Millis,
}

impl Demand {
    pub(crate) fn new(now: Millis) -> Self {
        Self { rate: 0.0, updated_at: now }
    }

    /// Records a request that arrived.
    pub(crate) fn record(&mut self, units: f64, refill_period: Millis, now: Millis) {
        let span = refill_period * SMOOTHING_FRACTION;
        self.rate = self.rate * (-(now - self.updated_at) / span).exp() + units / span;
        self.updated_at = now;
    }
}
