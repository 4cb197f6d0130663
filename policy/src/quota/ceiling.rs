//! Hard ceilings: limits on a tenant's usage that hold through failures of the counter and of gateways.
//!
//! A ceiling is enforced by granting a quota well below it. Consecutive windows of half the burst each stay
//! under the ceiling, and so does a burst that is granted twice because the counter lost its counts.

use crate::QuotaPlan;

/// The granted rate and burst are at most those of the ceiling, divided by this factor.
const CEILING_HEADROOM: f64 = 1.6;
/// Under a ceiling, a tenant without a reading starts with this fraction of its burst.
const INITIAL_BURST_FRACTION: f64 = 0.5;

/// Returns the plan to enforce: under a ceiling, rate and burst are limited to what keeps usage below it,
/// even if the plan allows more or has no rate.
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

/// Returns the remaining quota that is assumed for a tenant without a reading.
///
/// Under a ceiling this is half of the burst: a gateway may restart and find an empty count just after the
/// other gateways granted a full burst, and one and a half bursts are within the ceiling.
pub(crate) fn initial_quota(plan: &QuotaPlan) -> f64 {
    if plan.ceiling_rate > 0.0 { plan.burst * INITIAL_BURST_FRACTION } else { plan.burst }
}
