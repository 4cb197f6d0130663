//! The code that is measured: a policy engine and an endpoint registry, with a private clock and
//! counter.

use super::error::SlopesError;
use super::fit::Dimension;
use crate::discovery::{ListEntry, ListKind, list_text};
use crate::endpoint_list::{EndpointList, EndpointListError, Registry};
use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, DedupScope, EndpointState, Event, Idempotency,
    LoadReportSource, Millis, Name, Outcome, PolicyEngine, QuotaPlan, RequestClass, Settings, SettingsError,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Gateways at the target.
const TARGET_GATEWAYS: u32 = 3_100;
/// The fewest gateways of any size.
pub(super) const MIN_GATEWAYS: u32 = 300;
/// The time between two requests at one gateway, of 490,000 requests per second over 3,100 gateways.
const REQUEST_INTERVAL: Millis = 1000.0 / 158.0;
/// The token of the policy engine's maintenance timer.
const MAINTENANCE_TOKEN: u64 = 1;
/// Endpoints that one delta changes.
const DELTA_SIZE: usize = 10;
/// Between the endpoints that a delta changes, so that they belong to different cells and zones.
const DELTA_STRIDE: usize = 7;
const ZONES: u32 = 6;
const CELL_SIZE: u64 = 24;
const SEED: u64 = 7;
const START: Millis = 1e9;
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The number of gateways for so many endpoints: in proportion to the target.
pub(super) fn gateway_count(endpoints: usize) -> u32 {
    let target_endpoints = Dimension::Endpoints.target() as f64;
    let proportional = endpoints as f64 * f64::from(TARGET_GATEWAYS) / target_endpoints;
    MIN_GATEWAYS.max(proportional as u32)
}

/// Settings with so many routes and with a quota of many units per gateway.
pub(super) fn settings(gateways: u32, routes: usize) -> Settings {
    let plan = QuotaPlan {
        name: "plan".into(),
        rate: 1000.0,
        burst: 10_000.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: gateways,
        zone: "zone-0".into(),
        tick: 1.0,
        classes: (0..routes).map(request_class).collect(),
        plans: vec![plan],
        has_counter: true,
        counter_timeout: 30.0,
        load_report_source: LoadReportSource::Responses,
        connect_timeout: 250.0,
        max_attempts: 6,
        max_retry_after: 1000.0,
        slow_start_initial_fraction: 0.35,
        slow_start_duration: 10_000.0,
        overload_factor: 2.5,
        overload_window: 1000.0,
        cross_zone_cost: 0.01,
        ..Settings::default()
    }
}

fn request_class(route: usize) -> RequestClass {
    RequestClass {
        name: route_name(route),
        latency_objective: 1000.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

pub(super) fn route_name(number: usize) -> Name {
    format!("route-{number:05}").into()
}

pub(super) fn tenant_name(number: usize) -> Name {
    format!("{number:016x}").into()
}

fn list_entry(endpoint: usize, state: EndpointState) -> ListEntry {
    let number = endpoint as u32;
    ListEntry {
        endpoint: number,
        zone: number % ZONES,
        cell: endpoint as u64 / CELL_SIZE,
        state,
        started_at: 0.0,
    }
}

/// The text of a complete list.
pub(super) fn snapshot(endpoints: usize) -> String {
    let entries: Vec<_> = (0..endpoints).map(|n| list_entry(n, EndpointState::Ready)).collect();
    list_text(1, ListKind::Snapshot, &entries)
}

/// The text of a list that changes ten endpoints: five drain, and the five that drained before are ready
/// again.
pub(super) fn delta(round: usize) -> String {
    let half = DELTA_SIZE / 2;
    let entry = |n: usize| {
        let drains = n / half == round % 2;
        list_entry(n * DELTA_STRIDE, if drains { EndpointState::Draining } else { EndpointState::Ready })
    };
    let entries: Vec<_> = (0..DELTA_SIZE).map(entry).collect();
    list_text(round as u64 + 2, ListKind::Delta, &entries)
}

/// What a request took.
pub(super) struct RequestCost {
    /// The time in the policy engine.
    pub(super) time: Duration,
    pub(super) counter_calls: usize,
}

/// The gateway code that is measured.
pub(super) struct Subject {
    engine: PolicyEngine,
    registry: Registry,
    now: Millis,
    last_request: u64,
    /// The totals of the counter.
    totals: HashMap<u64, f64>,
}

impl Subject {
    pub(super) fn new(gateways: u32, routes: usize) -> Result<Self, SettingsError> {
        Ok(Self {
            engine: PolicyEngine::new(settings(gateways, routes), SEED)?,
            registry: Registry::new(IDLE_TIMEOUT),
            now: START,
            last_request: 0,
            totals: HashMap::new(),
        })
    }

    /// A subject that knows so many endpoints.
    pub(super) fn with_endpoints(
        endpoints: usize, gateways: u32, routes: usize,
    ) -> Result<Self, SlopesError> {
        let mut subject = Self::new(gateways, routes)?;
        subject.apply(&snapshot(endpoints))?;
        Ok(subject)
    }

    /// A subject that has had one request of each of so many tenants.
    pub(super) fn with_tenants(tenants: usize) -> Result<Self, SlopesError> {
        let mut subject = Self::with_endpoints(1, 1, 1)?;
        subject.add_tenants(tenants)?;
        Ok(subject)
    }

    pub(super) fn add_tenants(&mut self, tenants: usize) -> Result<(), SlopesError> {
        for n in 0..tenants {
            self.request(&tenant_name(n), &route_name(0))?;
            // The totals are not needed again, and would be measured with the tenants.
            self.totals.clear();
        }
        Ok(())
    }

    /// Advances the clock to the next request.
    pub(super) fn advance(&mut self) {
        self.now += REQUEST_INTERVAL;
    }

    /// Reads and applies a list, as a real gateway does: how long that took.
    pub(super) fn apply(&mut self, text: &str) -> Result<Duration, EndpointListError> {
        let start = Instant::now();
        let list = EndpointList::parse(text.as_bytes())?;
        self.registry.apply(&list);
        self.engine.handle(self.now, list.into_event(), &mut Vec::new());
        Ok(start.elapsed())
    }

    /// Plays one request from its arrival to its end, whose counter calls and attempt are answered at once.
    /// It must be forwarded once, as other requests are not to be measured.
    pub(super) fn request(&mut self, tenant: &Name, class: &Name) -> Result<RequestCost, SlopesError> {
        let mut cost = RequestCost { time: Duration::ZERO, counter_calls: 0 };
        let mut forwarded = 0;
        let mut events = vec![self.arrival(tenant, class)];
        let mut actions = Vec::new();
        while let Some(event) = events.pop() {
            let start = Instant::now();
            self.engine.handle(self.now, event, &mut actions);
            cost.time += start.elapsed();
            for action in actions.drain(..) {
                match action {
                    Action::ForwardAttempt { id, endpoint, .. } => {
                        forwarded += 1;
                        events.push(served(id, endpoint));
                    }
                    Action::IncrementCounter { key, amount, .. } => {
                        cost.counter_calls += 1;
                        events.push(self.increment(key, amount));
                    }
                    _ => {}
                }
            }
        }
        if forwarded == 1 { Ok(cost) } else { Err(SlopesError::NotForwarded) }
    }

    fn arrival(&mut self, tenant: &Name, class: &Name) -> Event {
        self.last_request += 1;
        Event::RequestArrived(Arrival {
            id: self.last_request,
            tenant: tenant.clone(),
            plan: "plan".into(),
            class: class.clone(),
            units: 1.0,
            client_retry: false,
            time_to_deadline: 3000.0,
            first_gateway: 0,
            gateways_per_tenant: 1,
        })
    }

    fn increment(&mut self, key: u64, amount: f64) -> Event {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        Event::CounterReply { key, result: CounterResult::Total(*total), latency: 1.0 }
    }

    /// Runs the policy engine's maintenance: how long that took.
    pub(super) fn maintain(&mut self) -> Duration {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.engine.handle(self.now, Event::Timer { token: MAINTENANCE_TOKEN }, &mut actions);
        start.elapsed()
    }
}

fn served(id: u64, endpoint: Name) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        latency: 80.0,
        actual_units: None,
        request_finished: true,
        load_report: None,
    })
}
