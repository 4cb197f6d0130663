//! The invariants of a simulation: upper limits that no run may exceed.

use super::metrics::Metrics;
use super::rounding::round;
use crate::counter::CounterStatistics;
use crate::experiment::Experiment;
use crate::tenants::{Tenant, Tenants};
use serde::Serialize;

/// An upper limit on a measured value, which every simulation must respect.
#[derive(Clone, Debug, Serialize)]
pub struct Invariant {
    /// A sentence that states the invariant.
    pub name: &'static str,
    /// Whether the measured value is within the limit.
    pub held: bool,
    /// The measured value.
    pub value: f64,
    /// The highest allowed value.
    pub limit: f64,
}

impl Invariant {
    fn at_most(limit: f64, name: &'static str, value: f64) -> Self {
        Self { name, held: value <= limit, value, limit }
    }

    fn must_be_zero(name: &'static str, count: u64) -> Self {
        Self::at_most(0.0, name, count as f64)
    }
}

/// The highest ratios of a value to its limit over all tenants and endpoints.
#[derive(Clone, Copy)]
pub(crate) struct WorstRatios {
    /// Units used by a tenant, relative to the maximum that its quota allows.
    pub(crate) quota_usage: f64,
    /// Attempts sent to an endpoint in slow start, relative to its budget.
    pub(crate) slow_start: f64,
}

/// Evaluates all invariants of a simulation.
pub(super) fn invariants(metrics: &Metrics, worst_ratios: WorstRatios) -> Vec<Invariant> {
    vec![
        Invariant::must_be_zero(
            "every client attempt and every forwarded attempt is accounted for",
            metrics.unaccounted,
        ),
        Invariant::must_be_zero("no client attempt has two final answers", metrics.duplicate_completions),
        Invariant::must_be_zero("no action is invalid", metrics.invalid_actions),
        Invariant::must_be_zero(
            "every client attempt is answered by its deadline",
            metrics.incomplete_at_deadline,
        ),
        Invariant::must_be_zero("no client attempt is open at the end", metrics.open_at_end),
        Invariant::must_be_zero(
            "nothing is sent to a draining endpoint after its grace",
            metrics.sent_after_drain,
        ),
        Invariant::at_most(
            1.0,
            "no tenant with a unit for each gateway exceeds its quota",
            round(worst_ratios.quota_usage),
        ),
        Invariant::at_most(
            1.0,
            "no endpoint in slow start is sent more than its budget",
            round(worst_ratios.slow_start),
        ),
    ]
}

/// The highest ratio, over all tenants, of the units used to the maximum that the quota allows.
pub(crate) fn worst_quota_usage(
    experiment: &Experiment, tenants: &Tenants, counter: CounterStatistics,
) -> f64 {
    let usage = |tenant: &Tenant| {
        let quota = tenants.quota(tenant);
        let allowed = quota.burst + quota.rate * experiment.duration_s;
        // While the counter is unavailable, each gateway also admits from its fallback allowance.
        let counter_failed = counter.timed_out + counter.rejected > 0;
        let fallback = if counter_failed { allowed } else { 0.0 };
        // Each quota window grants a burst, and the run need not start or end at a window boundary. Each
        // gateway may also admit one request while the refund of another is in transit.
        let boundary_allowance = quota.burst + f64::from(tenant.gateway_count * experiment.load.units.high);
        tenant.used_units / (allowed + boundary_allowance + fallback)
    };
    // A quota with a burst of less than one unit per gateway is enforced on average only.
    let is_bounded = |tenant: &&Tenant| tenants.quota(tenant).burst >= f64::from(tenant.gateway_count);
    tenants.iter().filter(is_bounded).map(usage).fold(0.0, f64::max)
}
