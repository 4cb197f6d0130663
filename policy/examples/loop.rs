//! The event loop of a host with one policy engine: timers, a counter, an endpoint, and a restart.
//!
//! The example simulates time. A real host uses a clock that agrees with those of the other gateways.

use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, DedupScope, EndpointEntry, EndpointState, Event, Idempotency,
    Millis, Name, Outcome, PolicyEngine, QuotaPlan, RequestClass, RequestId, Settings, SettingsError,
};
use std::collections::BTreeMap;

const RESTART_AT: Millis = 60.0;
const END_AT: Millis = 500.0;
const COUNTER_LATENCY: Millis = 2.0;
const ENDPOINT_LATENCY: Millis = 40.0;

fn main() -> Result<(), SettingsError> {
    let mut host = Host::new(42)?;
    host.schedule_endpoint_list();
    (1..=8).for_each(|id| host.schedule_request(id));
    let mut restarted = false;
    while let Some((now, event)) = host.next_event().filter(|(now, _)| *now <= END_AT) {
        host.now = now;
        if now > RESTART_AT && !std::mem::replace(&mut restarted, true) {
            host.restart(43)?;
        }
        host.handle(event);
    }
    Ok(())
}

/// A host with its engine, its scheduled events, and the state of a simulated counter and endpoint.
struct Host {
    engine: PolicyEngine,
    now: Millis,
    /// By time in whole milliseconds, then by sequence number.
    events: BTreeMap<(u64, u64), Event>,
    /// The sequence number of the event that was scheduled last.
    last_sequence: u64,
    /// The total of each counter key.
    counter_totals: BTreeMap<u64, f64>,
    /// The number of the last attempt of each request, from 0.
    last_attempts: BTreeMap<RequestId, u32>,
}

impl Host {
    fn new(seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            engine: PolicyEngine::new(settings(), seed)?,
            now: 0.0,
            events: BTreeMap::new(),
            last_sequence: 0,
            counter_totals: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
        })
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at.ceil() as u64, self.last_sequence), event);
    }

    fn schedule_endpoint_list(&mut self) {
        let endpoint = EndpointEntry {
            name: "endpoint-1".into(),
            zone: "a".into(),
            cell: 0,
            state: EndpointState::Ready,
            started_at: None,
        };
        self.schedule(self.now, Event::EndpointSnapshot(vec![endpoint]));
    }

    fn schedule_request(&mut self, id: RequestId) {
        let arrival = Arrival {
            id,
            tenant: "tenant-1".into(),
            plan: "basic".into(),
            class: "read".into(),
            units: 1.0,
            client_retry: false,
            time_to_deadline: 900.0,
            first_gateway: 0,
            gateways_per_tenant: 1,
        };
        self.schedule(id as Millis * 10.0, Event::RequestArrived(arrival));
    }

    fn next_event(&mut self) -> Option<(Millis, Event)> {
        self.events.pop_first().map(|((at, _), event)| (at as Millis, event))
    }

    /// Replaces the engine by a new one with a fresh seed, and schedules the last endpoint list for it.
    /// Requests in progress are lost; their clients retry.
    fn restart(&mut self, seed: u64) -> Result<(), SettingsError> {
        self.engine = PolicyEngine::new(settings(), seed)?;
        self.events.retain(|_, event| matches!(event, Event::RequestArrived(_)));
        self.schedule_endpoint_list();
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.engine.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn perform(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::SetTimer { after, token } => self.schedule(now + after, Event::Timer { token }),
            Action::IncrementCounter { key, amount, .. } => self.increment_counter(key, amount),
            Action::ForwardAttempt { id, endpoint, .. } => self.forward(id, endpoint),
            Action::Reject { id, retry_after } => {
                println!("{now:>5} ms  request {id} rejected, Retry-After {retry_after:.0} ms");
            }
            Action::Fail { id } => println!("{now:>5} ms  request {id} failed"),
            Action::Log(line) => println!("{now:>5} ms  log: {line}"),
            Action::CancelAttempt { .. }
            | Action::HealthCheck { .. }
            | Action::Gossip { .. }
            | Action::WatchEndpoints => {}
        }
    }

    fn increment_counter(&mut self, key: u64, amount: f64) {
        let total = self.counter_totals.entry(key).or_default();
        *total += amount;
        let result = CounterResult::Total(*total);
        let reply = Event::CounterReply { key, result, latency: COUNTER_LATENCY };
        self.schedule(self.now + COUNTER_LATENCY, reply);
    }

    fn forward(&mut self, id: RequestId, endpoint: Name) {
        println!("{:>5} ms  request {id} forwarded to {endpoint}", self.now);
        let attempt = *self.last_attempts.entry(id).and_modify(|attempt| *attempt += 1).or_insert(0);
        let end = AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome: Outcome::Served,
            latency: ENDPOINT_LATENCY,
            actual_units: None,
            request_finished: true,
            load_report: None,
        };
        self.schedule(self.now + ENDPOINT_LATENCY, Event::AttemptEnded(end));
    }
}

fn settings() -> Settings {
    let class = RequestClass {
        name: "read".into(),
        latency_objective: 500.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    };
    Settings {
        gateway_count: 1,
        zone: "a".into(),
        tick: 1.0,
        classes: vec![class],
        plans: vec![QuotaPlan::new("basic", 5.0, 4.0)],
        has_counter: true,
        counter_timeout: 50.0,
        max_attempts: 3,
        max_retry_after: 1000.0,
        slow_start_initial_fraction: 0.2,
        slow_start_duration: 10_000.0,
        ..Settings::default()
    }
}
