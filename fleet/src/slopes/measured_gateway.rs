//! The gateway code that is measured: a policy engine and an endpoint registry, with a clock and counter
//! totals that the benchmark controls.

use super::error::MeasurementError;
use super::fit::Dimension;
use crate::endpoint_list::{CONNECT_TIMEOUT_MS, EndpointList, EndpointListError, Registry};
use crate::gateway_process::{CROSS_ZONE_COST, MAX_ATTEMPTS};
use crate::list_format::{ListEntry, ListKind, format_list};
use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, DedupScope, EndpointState, Event, Idempotency,
    LoadReportSource, MAINTENANCE_TOKEN, Millis, Name, Outcome, PolicyEngine, QuotaPlan, RequestClass,
    Settings, SettingsError,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of gateways at the target size of the fleet.
const TARGET_GATEWAYS: u32 = 3_100;
/// The lower bound on the number of gateways at any size.
pub(super) const MIN_GATEWAYS: u32 = 300;
/// The time between two requests at one gateway: 490,000 requests per second, divided by 3,100 gateways, are
/// 158 per second.
const REQUEST_INTERVAL: Millis = 1000.0 / 158.0;
/// The version of a snapshot; those of deltas follow.
pub(super) const FIRST_VERSION: u64 = 1;
/// The number of endpoints that a delta changes.
const DELTA_SIZE: usize = 10;
/// The distance between the numbers of the endpoints that a delta changes, so that they are in different
/// cells and zones.
const DELTA_STRIDE: usize = 7;
const ZONES: u32 = 6;
const CELL_SIZE: u64 = 24;
const SEED: u64 = 7;
/// The initial time of the gateway's clock.
const EPOCH: Millis = 1e9;
const TICK: Millis = 1.0;
const PLAN_NAME: &str = "plan";
/// Units per second; high enough that no gateway rejects a request.
const PLAN_RATE: f64 = 1000.0;
const PLAN_BURST: f64 = 10_000.0;
const COUNTER_TIMEOUT: Millis = 30.0;
const MAX_RETRY_AFTER: Millis = 1000.0;
const SLOW_START_INITIAL_FRACTION: f64 = 0.35;
const SLOW_START_DURATION: Millis = 10_000.0;
const OVERLOAD_FACTOR: f64 = 2.5;
const OVERLOAD_WINDOW: Millis = 1000.0;
const LATENCY_OBJECTIVE: Millis = 1000.0;
const TIME_TO_DEADLINE: Millis = 3000.0;
const ATTEMPT_LATENCY: Millis = 80.0;
const COUNTER_LATENCY: Millis = 1.0;
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The size of a gateway's fleet, and the number of routes in its settings.
#[derive(Clone, Copy)]
pub(super) struct FleetSize {
    pub(super) endpoints: usize,
    pub(super) gateways: u32,
    pub(super) routes: usize,
}

impl FleetSize {
    pub(super) const MINIMAL: Self = Self { endpoints: 1, gateways: 1, routes: 1 };

    /// A fleet with one route whose ratio of gateways to endpoints is that of the target, but with at least
    /// [`MIN_GATEWAYS`] gateways.
    pub(super) fn proportional(endpoints: usize) -> Self {
        let target_endpoints = Dimension::Endpoints.target_size() as f64;
        let gateways = endpoints as f64 * f64::from(TARGET_GATEWAYS) / target_endpoints;
        Self { endpoints, gateways: MIN_GATEWAYS.max(gateways as u32), routes: 1 }
    }
}

/// The settings of a gateway in a fleet of a size.
pub(super) fn settings(size: FleetSize) -> Settings {
    Settings {
        gateway_count: size.gateways,
        zone: "zone-0".into(),
        tick: TICK,
        classes: (0..size.routes).map(request_class).collect(),
        plans: vec![QuotaPlan::new(PLAN_NAME, PLAN_RATE, PLAN_BURST)],
        has_counter: true,
        counter_timeout: COUNTER_TIMEOUT,
        load_report_source: LoadReportSource::Responses,
        connect_timeout: CONNECT_TIMEOUT_MS,
        max_attempts: MAX_ATTEMPTS,
        max_retry_after: MAX_RETRY_AFTER,
        slow_start_initial_fraction: SLOW_START_INITIAL_FRACTION,
        slow_start_duration: SLOW_START_DURATION,
        overload_factor: OVERLOAD_FACTOR,
        overload_window: OVERLOAD_WINDOW,
        cross_zone_cost: CROSS_ZONE_COST,
        ..Settings::default()
    }
}

fn request_class(route: usize) -> RequestClass {
    RequestClass {
        name: route_name(route),
        latency_objective: LATENCY_OBJECTIVE,
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

/// The text of a snapshot whose endpoints are all ready.
pub(super) fn snapshot(endpoints: usize) -> String {
    let entries: Vec<_> = (0..endpoints).map(|n| list_entry(n, EndpointState::Ready)).collect();
    format_list(FIRST_VERSION, ListKind::Snapshot, &entries)
}

/// The text of a delta of ten endpoints: five start to drain, and the five that drained in the round before
/// are ready again.
pub(super) fn delta(round: usize) -> String {
    let half = DELTA_SIZE / 2;
    let entry = |n: usize| {
        let drains = n / half == round % 2;
        list_entry(n * DELTA_STRIDE, if drains { EndpointState::Draining } else { EndpointState::Ready })
    };
    let entries: Vec<_> = (0..DELTA_SIZE).map(entry).collect();
    format_list(FIRST_VERSION + 1 + round as u64, ListKind::Delta, &entries)
}

/// The cost of a request.
pub(super) struct RequestCost {
    /// The time spent in the policy engine.
    pub(super) time: Duration,
    pub(super) counter_calls: usize,
}

/// The gateway code that is measured.
pub(super) struct MeasuredGateway {
    engine: PolicyEngine,
    registry: Registry,
    now: Millis,
    last_request: u64,
    /// The totals of the counter, by key.
    counter_totals: HashMap<u64, f64>,
}

impl MeasuredGateway {
    /// Creates a gateway that has no endpoint list.
    pub(super) fn without_list(size: FleetSize) -> Result<Self, SettingsError> {
        Ok(Self {
            engine: PolicyEngine::new(settings(size), SEED)?,
            registry: Registry::new(IDLE_TIMEOUT),
            now: EPOCH,
            last_request: 0,
            counter_totals: HashMap::new(),
        })
    }

    /// Creates a gateway that has applied a snapshot of all endpoints.
    pub(super) fn with_list(size: FleetSize) -> Result<Self, MeasurementError> {
        let mut gateway = Self::without_list(size)?;
        gateway.apply_list(&snapshot(size.endpoints))?;
        Ok(gateway)
    }

    /// Creates a gateway with one endpoint that has processed a request from each of `tenants` tenants.
    pub(super) fn with_tenants(tenants: usize) -> Result<Self, MeasurementError> {
        let mut gateway = Self::with_list(FleetSize::MINIMAL)?;
        gateway.add_tenants(tenants)?;
        Ok(gateway)
    }

    /// Processes a request from each of `tenants` tenants.
    pub(super) fn add_tenants(&mut self, tenants: usize) -> Result<(), MeasurementError> {
        for n in 0..tenants {
            self.run_request(&tenant_name(n), &route_name(0))?;
            // Counter totals are not needed again, and their memory must not be measured with the tenants'.
            self.counter_totals.clear();
        }
        Ok(())
    }

    /// Advances the clock to the time of the next request.
    pub(super) fn advance_clock(&mut self) {
        self.now += REQUEST_INTERVAL;
    }

    /// Parses and applies an endpoint list as a gateway does, and returns the time that this took.
    pub(super) fn apply_list(&mut self, text: &str) -> Result<Duration, EndpointListError> {
        let start = Instant::now();
        let list = EndpointList::parse(text.as_bytes())?;
        self.registry.apply(&list);
        self.engine.handle(self.now, list.into_event(), &mut Vec::new());
        Ok(start.elapsed())
    }

    /// Processes a request until no event is left. The counter and the endpoint respond immediately.
    ///
    /// # Errors
    /// When the request was not forwarded exactly once.
    pub(super) fn run_request(
        &mut self, tenant: &Name, class: &Name,
    ) -> Result<RequestCost, MeasurementError> {
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
                        events.push(self.counter_reply(key, amount));
                    }
                    _ => {}
                }
            }
        }
        if forwarded == 1 { Ok(cost) } else { Err(MeasurementError::NotForwardedOnce) }
    }

    fn arrival(&mut self, tenant: &Name, class: &Name) -> Event {
        self.last_request += 1;
        Event::RequestArrived(Arrival {
            id: self.last_request,
            tenant: tenant.clone(),
            plan: PLAN_NAME.into(),
            class: class.clone(),
            units: 1.0,
            client_retry: false,
            time_to_deadline: TIME_TO_DEADLINE,
            first_gateway: 0,
            gateways_per_tenant: 1,
        })
    }

    fn counter_reply(&mut self, key: u64, amount: f64) -> Event {
        let total = self.counter_totals.entry(key).or_default();
        *total += amount;
        Event::CounterReply { key, result: CounterResult::Total(*total), latency: COUNTER_LATENCY }
    }

    /// Runs a maintenance tick of the policy engine and returns the time that this took.
    pub(super) fn run_maintenance(&mut self) -> Duration {
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
        latency: ATTEMPT_LATENCY,
        actual_units: None,
        request_finished: true,
        load_report: None,
    })
}
