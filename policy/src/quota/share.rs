//! A tenant's quota and how its gateways share it: refill period, window schedule, and whether the quota is
//! too low for leases.

use super::MAX_RETENTION;
use super::decayed_count;
use super::window::{WindowNumber, WindowSchedule, counter_key};
use crate::{Millis, QuotaPlan};

/// The refill period of a plan without a rate.
const DEFAULT_REFILL_PERIOD: Millis = 1000.0;
/// A tenant has a low quota if its burst divided by its gateways is less than this: a block of less than one
/// unit admits no request.
const LOW_QUOTA_UNITS_PER_GATEWAY: f64 = 1.0;

/// A tenant's plan and the gateways that share its quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaShare<'a> {
    pub(crate) plan: &'a QuotaPlan,
    /// How many gateways serve the tenant.
    pub(crate) gateways: f64,
    name_hash: u64,
}

impl<'a> QuotaShare<'a> {
    pub(crate) fn new(plan: &'a QuotaPlan, gateways: f64, name_hash: u64) -> Self {
        Self { plan, gateways, name_hash }
    }

    /// Returns the time in which the rate refills a full burst.
    pub(crate) fn refill_period(&self) -> Millis {
        refill_period(self.plan)
    }

    /// Returns whether the quota is too low for a lease at each gateway. Under a ceiling leases are used
    /// regardless, as admit ratios enforce a quota only on average.
    pub(crate) fn is_low_quota(&self) -> bool {
        let plan = self.plan;
        let has_quota = plan.rate > 0.0 && plan.ceiling_rate <= 0.0;
        has_quota && plan.burst < LOW_QUOTA_UNITS_PER_GATEWAY * self.gateways
    }

    pub(crate) fn schedule(&self) -> WindowSchedule {
        let refill_period = self.refill_period();
        let length = if self.is_low_quota() {
            decayed_count::window_length(refill_period, MAX_RETENTION)
        } else {
            refill_period
        };
        WindowSchedule::new(length, self.name_hash)
    }

    pub(crate) fn counter_key(&self, window: WindowNumber) -> u64 {
        counter_key(self.name_hash, window)
    }
}

/// Returns the time in which a plan's rate refills a full burst.
pub(crate) fn refill_period(plan: &QuotaPlan) -> Millis {
    if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { DEFAULT_REFILL_PERIOD }
}
