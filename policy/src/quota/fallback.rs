//! The allowance that a gateway admits requests from while the counter is unavailable: an equal part of the
//! tenant's quota at each gateway.

use super::share::QuotaShare;
use crate::Millis;

/// This gateway's equal part of a tenant's quota, refilled at an equal part of its rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FallbackAllowance {
    /// Units that may be spent.
    pub(crate) units: f64,
    updated_at: Millis,
}

/// The initial units of an allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FallbackStart {
    /// An equal part of the quota that remained at the last reading.
    LastReading,
    /// None: other gateways may have used the quota without this gateway's knowledge.
    Empty,
}

impl FallbackAllowance {
    /// Returns a new allowance. `remaining` is the quota that remained at the last reading.
    pub(crate) fn new(start: FallbackStart, remaining: f64, share: QuotaShare<'_>, now: Millis) -> Self {
        let units = match start {
            FallbackStart::LastReading => remaining.max(0.0) / share.gateways,
            FallbackStart::Empty => 0.0,
        };
        Self { units, updated_at: now }
    }

    /// Refills the allowance and spends `units` if it has as many. Returns whether they were spent.
    pub(crate) fn spend(&mut self, units: f64, share: QuotaShare<'_>, now: Millis) -> bool {
        let plan = share.plan;
        let refilled = self.units + plan.rate * (now - self.updated_at) / 1000.0 / share.gateways;
        let available = refilled.min((plan.burst / share.gateways).max(units));
        let fits = available >= units;
        self.units = if fits { available - units } else { available };
        self.updated_at = now;
        fits
    }
}
