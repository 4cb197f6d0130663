//! What must hold in every simulation.

use super::metrics::Metrics;
use super::rounding::round;
use crate::counter::CounterStatistics;
use crate::experiment::Experiment;
use crate::tenants::{Tenant, Tenants};
use serde::Serialize;

/// Something that must hold in every simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Invariant {
    /// What must hold.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// The measured value.
    pub value: f64,
    /// The most that the value may be.
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

/// The highest values relative to their limits.
#[derive(Clone, Copy)]
pub(crate) struct WorstRatios {
    /// The usage of a tenant to the most that its quota allows.
    pub(crate) quota_usage: f64,
    /// The attempts sent to an endpoint in slow start to its budget.
    pub(crate) slow_start: f64,
}

/// All invariants of a simulation.
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

/// The highest usage of a tenant, relative to the most that its quota allows.
pub(crate) fn worst_quota_usage(
    experiment: &Experiment, tenants: &Tenants, counter: CounterStatistics,
) -> f64 {
    let usage = |tenant: &Tenant| {
        let quota = tenants.quota(tenant);
        let allowed = quota.burst + quota.rate * experiment.duration_s;
        // While the counter is unavailable, each gateway also admits from its fallback allowance.
        let counter_failed = counter.timed_out + counter.rejected > 0;
        let fallback = if counter_failed { allowed } else { 0.0 };
        // Each quota window grants a burst, and a run may begin and end within a window; each gateway may
        // admit one request while the refund of another is in transit.
        let boundary_allowance = quota.burst + f64::from(tenant.gateway_count * experiment.load.units.high);
        tenant.used_units / (allowed + boundary_allowance + fallback)
    };
    // A quota of less than a unit per gateway holds on average only.
    let is_bounded = |tenant: &&Tenant| tenants.quota(tenant).burst >= f64::from(tenant.gateway_count);
    tenants.iter().filter(is_bounded).map(usage).fold(0.0, f64::max)
}
