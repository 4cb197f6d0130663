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
    fn new(name: &'static str, value: f64, limit: f64) -> Self {
        Self { name, held: value <= limit, value, limit }
    }
}

/// All invariants of a simulation.
pub(super) fn invariants(
    metrics: &Metrics, worst_quota_usage: f64, worst_slow_start_ratio: f64,
) -> Vec<Invariant> {
    let none = |name, count: u64| Invariant::new(name, count as f64, 0.0);
    vec![
        none("every client attempt and every forwarded attempt is accounted for", metrics.unaccounted),
        none("no client attempt has two final answers", metrics.duplicate_answers),
        none("no action is invalid", metrics.invalid_actions),
        none("every client attempt is answered by its deadline", metrics.unanswered),
        none("no client attempt is open at the end", metrics.open_at_end),
        none("nothing is sent to a draining endpoint after its grace", metrics.sent_after_drain),
        Invariant::new(
            "no tenant with a unit for each gateway exceeds its quota",
            round(worst_quota_usage),
            1.0,
        ),
        Invariant::new(
            "no endpoint in slow start is sent more than its budget",
            round(worst_slow_start_ratio),
            1.0,
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
        // Each quota window grants a burst, and a run may begin and end inside of one; each gateway may admit
        // one request while the give-back of another is on its way.
        let in_transit = quota.burst + f64::from(tenant.gateway_count * experiment.load.units.high);
        tenant.used_units / (allowed + in_transit + fallback)
    };
    // A quota of less than a unit per gateway holds on average only.
    let is_bounded = |tenant: &&Tenant| tenants.quota(tenant).burst >= f64::from(tenant.gateway_count);
    tenants.iter().filter(is_bounded).map(usage).fold(0.0, f64::max)
}
