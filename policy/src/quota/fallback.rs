//! What is admitted while the counter is unavailable: an even part of the quota at each gateway.

use super::share::QuotaShare;
use crate::Millis;

/// This gateway's even part of a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FallbackAllowance {
    /// Units that may be spent.
    pub(crate) units: f64,
    updated_at: Millis,
}

/// What is known of the quota that a new allowance is a part of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FallbackStart {
    /// An even part of the quota that was left by the last reading.
    LastReading,
    /// Nothing: other gateways have used the quota without this one knowing.
    Empty,
}

impl FallbackAllowance {
    /// Returns a new allowance, where `remaining` is the quota left by the last reading.
    pub(crate) fn new(start: FallbackStart, remaining: f64, share: QuotaShare<'_>, now: Millis) -> Self {
        let units = match start {
            FallbackStart::LastReading => remaining.max(0.0) / share.gateways,
            FallbackStart::Empty => 0.0,
        };
        Self { units, updated_at: now }
    }

    /// Refills the allowance, and spends `units` of it if they fit. Returns whether they did.
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
