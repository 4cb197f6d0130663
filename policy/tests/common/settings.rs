//! Default settings, requests and endpoint list entries, which tests modify.

use ryefront_policy::*;

/// Returns settings with an idempotent class, one with idempotency keys and a non-idempotent one, and with a
/// plan that has only a quota, one with a ceiling and one with a limit of attempts in flight.
pub(crate) fn settings() -> Settings {
    Settings {
        gateway_count: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("idempotent", Idempotency::Idempotent, DedupScope::All),
            class("keyed", Idempotency::WithKey, DedupScope::Cell),
            class("non_idempotent", Idempotency::NonIdempotent, DedupScope::All),
        ],
        plans: vec![plan("plain", 0, 0.0), plan("ceiling", 0, 1.6), plan("capped", 2, 0.0)],
        has_counter: true,
        counter_timeout: 50.0,
        max_units: 1.0,
        health_checks: true,
        cancellation: true,
        max_attempts: 4,
        max_retry_after: 2000.0,
        slow_start_initial_fraction: 0.2,
        slow_start_duration: 18_000.0,
        overload_factor: 2.0,
        overload_window: 3000.0,
        ..Settings::default()
    }
}

fn class(name: &str, idempotency: Idempotency, dedup_scope: DedupScope) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective: 800.0,
        idempotency,
        dedup_scope,
        dedup_window: 4000.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

/// Returns a plan of 5 units per second and a burst of 10, with a ceiling of `ceiling_factor` times as much.
fn plan(name: &str, max_in_flight: u32, ceiling_factor: f64) -> QuotaPlan {
    QuotaPlan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        max_in_flight,
        ceiling_rate: 5.0 * ceiling_factor,
        ceiling_burst: 10.0 * ceiling_factor,
        ceiling_slack: ceiling_factor,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    }
}

/// Returns an endpoint list entry; endpoints named `a…` are in cell 0, all others in cell 1.
pub(crate) fn endpoint(name: &str, state: EndpointState, started_at: Option<Millis>) -> EndpointEntry {
    let cell = u64::from(!name.starts_with('a'));
    EndpointEntry { name: name.into(), zone: "z1".into(), cell, state, started_at }
}

/// Returns the arrival of a request of one unit, from a tenant that two gateways serve.
pub(crate) fn arrival(id: RequestId, tenant: &str, plan: &str, class: &str) -> Arrival {
    Arrival {
        id,
        tenant: tenant.into(),
        plan: plan.into(),
        class: class.into(),
        units: 1.0,
        client_retry: false,
        time_to_deadline: 2000.0,
        first_gateway: 0,
        gateways_per_tenant: 2,
    }
}
