//! Settings with room to change, and a gateway driven by scripted events.
#![allow(dead_code)]

use ryefront_policy::*;
use std::collections::BTreeMap;

/// One safe, one keyed and one unsafe class; a small plan, one under a ceiling and one with an open cap.
pub fn settings() -> Settings {
    let class = |name: &str, effect, group| RequestClass {
        name: name.into(),
        latency_objective: 800.0,
        idempotency: effect,
        dedup_scope: group,
        dedup_window: 4000.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    };
    let plan = |name: &str, open, ceiling: f64| QuotaPlan {
        name: name.into(),
        rate: 5.0,
        burst: 10.0,
        max_in_flight: open,
        ceiling_rate: 5.0 * ceiling,
        ceiling_burst: 10.0 * ceiling,
        ceiling_slack: ceiling,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: 2,
        zone: "z1".into(),
        tick: 4.0,
        classes: vec![
            class("safe", Idempotency::Idempotent, DedupScope::All),
            class("keyed", Idempotency::WithKey, DedupScope::Cell),
            class("unsafe", Idempotency::NonIdempotent, DedupScope::All),
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

/// A list line; endpoints named `a…` are in cell 0, all others in cell 1.
pub fn endpoint(name: &str, state: EndpointState, started: Option<Millis>) -> EndpointEntry {
    let cell = u64::from(!name.starts_with('a'));
    EndpointEntry { name: name.into(), zone: "z1".into(), cell, state, started_at: started }
}

/// Chance from a seed.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    /// A number in [0, 1).
    pub fn share(&mut self) -> f64 {
        self.below(1 << 30) as f64 / f64::from(1u32 << 30)
    }
}

/// What is to happen, by time; what comes at one time comes in the order it was planned in.
pub struct Agenda<T> {
    steps: BTreeMap<(u64, u64), T>,
    order: u64,
}

impl<T> Agenda<T> {
    pub fn new() -> Self {
        Self { steps: BTreeMap::new(), order: 0 }
    }

    /// Plans a step, to the microsecond and never early.
    pub fn at(&mut self, when: Millis, step: T) {
        self.order += 1;
        self.steps.insert(((when * 1000.0).ceil() as u64, self.order), step);
    }

    pub fn next(&mut self) -> Option<(Millis, T)> {
        self.steps.pop_first().map(|((at, _), step)| (at as f64 / 1000.0, step))
    }
}

/// A gateway, its clock and what it did at the last event.
pub struct Door {
    pub gateway: PolicyEngine,
    pub now: Millis,
    pub did: Vec<Action>,
}

impl Door {
    pub fn new(settings: Settings, endpoints: &[&str]) -> Self {
        Self::seeded(settings, 1, endpoints)
    }

    pub fn seeded(settings: Settings, seed: u64, endpoints: &[&str]) -> Self {
        let gateway = PolicyEngine::new(settings, seed).expect("usable settings");
        let mut door = Self { gateway, now: 1000.0, did: Vec::new() };
        let list = endpoints.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
        door.tell(Event::EndpointSnapshot(list));
        door
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        self.did.clear();
        self.gateway.handle(self.now, event, &mut self.did);
        self.did.clone()
    }

    /// Lets time pass and runs the housekeeping timer and the hold timers of the requests named.
    pub fn pass(&mut self, span: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += span;
        let mut all = self.tell(Event::Timer { token: 1 });
        for id in requests {
            all.extend(self.tell(Event::Timer { token: id * 2 }));
        }
        all
    }

    pub fn ask(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Vec<Action> {
        self.ask_of(id, tenant, plan, class, false, 2)
    }

    /// The same for a tenant of so many gateways, as a first try or as the client's repeat.
    pub fn ask_of(
        &mut self, id: RequestId, tenant: &str, plan: &str, class: &str, repeat: bool, spread: u32,
    ) -> Vec<Action> {
        self.tell(Event::RequestArrived(Arrival {
            id,
            tenant: tenant.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            client_retry: repeat,
            time_to_deadline: 2000.0,
            first_gateway: 0,
            gateways_per_tenant: spread,
        }))
    }

    pub fn end(&mut self, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome) -> Vec<Action> {
        self.end_after(100.0, id, attempt, endpoint, outcome)
    }

    pub fn end_after(
        &mut self, latency: Millis, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint: endpoint.clone(),
            outcome,
            latency,
            actual_units: None,
            request_finished: outcome == Outcome::Served,
            load_report: None,
        }))
    }

    /// Answers a counter call with a total.
    pub fn total(&mut self, name: u64, total: f64) -> Vec<Action> {
        self.tell(Event::CounterReply { key: name, result: CounterResult::Total(total), latency: 2.0 })
    }

    /// A request that finds the counter answering `others` + what this gateway adds; gives where it was sent.
    pub fn served(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Name {
        let mut did = self.ask(id, tenant, plan, class);
        if let Some((name, amount)) = count(&did) {
            did = self.total(name, amount);
        }
        sent(&did).expect("sent on").1
    }
}

/// The first counter call among actions: its name and amount.
pub fn count(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::IncrementCounter { key: name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

/// The first send among actions.
pub fn sent(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|a| match a {
        Action::ForwardAttempt { id, endpoint, .. } => Some((*id, endpoint.clone())),
        _ => None,
    })
}

/// How many requests were sent on.
pub fn sends(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::ForwardAttempt { .. })).count()
}

/// Whether a request got a refusal.
pub fn refused(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id, .. } if *id == which))
}

/// Whether a request got a failure.
pub fn failed(actions: &[Action], which: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id } if *id == which))
}
