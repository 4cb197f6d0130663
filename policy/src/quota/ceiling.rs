//! Hard ceilings: bounds on a tenant's use that must not be exceeded, whatever happens to counter and
//! gateways.
//!
//! A ceiling is held by a quota that stays well below it. Windows of half the burst, back to back, fit the
//! ceiling, and so does a burst that is granted again because the counter lost its counts.

use crate::QuotaPlan;

/// Quotas stay below the ceiling by this factor, in rate and burst.
const CEILING_HEADROOM: f64 = 1.6;
/// Under a ceiling, a tenant without a reading starts with this fraction of its burst.
const INITIAL_BURST_FRACTION: f64 = 0.5;

/// Returns the plan that is granted: under a ceiling no more than holds it, even if the plan itself grants
/// more or names no rate.
pub(crate) fn effective_plan(plan: &QuotaPlan) -> QuotaPlan {
    let mut plan = plan.clone();
    let rate = plan.ceiling_rate / CEILING_HEADROOM;
    let burst = plan.ceiling_burst / CEILING_HEADROOM;
    if rate > 0.0 && burst > 0.0 {
        let has_quota = plan.rate > 0.0;
        plan.rate = if has_quota { plan.rate.min(rate) } else { rate };
        plan.burst = if has_quota { plan.burst.min(burst) } else { burst };
    }
    plan
}

/// Returns the quota that a tenant without a reading is taken to have left.
///
/// Under a ceiling that is half of the burst: a gateway may restart and find an empty count while the others
/// have just granted a full burst, and one and a half bursts are within the ceiling.
pub(crate) fn initial_quota(plan: &QuotaPlan) -> f64 {
    if plan.ceiling_rate > 0.0 { plan.burst * INITIAL_BURST_FRACTION } else { plan.burst }
}
