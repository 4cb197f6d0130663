//! A simulation of whole gateways without sockets in virtual time: the policy engine and the fleet clock of
//! each, one tenant whose clients request far more than its quota, and the shared counter.

use crate::common::*;
use ryefront_policy::fleet_clock::{ClockChange, FleetClock};
use ryefront_policy::*;
use std::collections::HashMap;

/// The start of virtual time; each gateway's wall clock is ahead of it by its skew.
const START_TIME: Millis = 1_796_000_000_000.0;
/// The one-way network delay between a gateway and the counter.
const COUNTER_DELAY: Millis = 0.2;
/// How long an attempt takes.
const ATTEMPT_LATENCY: Millis = 5.0;
/// How long a client waits between a response and its next request.
const CLIENT_PAUSE: Millis = 20.0;
/// The number of clients of each gateway.
const CLIENTS: u64 = 2;
/// A host polls the fleet clock at this interval, and after each reply.
const POLL_INTERVAL: Millis = 20.0;
/// The longest time to live that the counter allows.
const MAX_TTL: Millis = 60_000.0;
const TENANT: &str = "c";

/// The quota of the one tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    /// Units per second.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

impl Quota {
    /// The length of a window: the time in which the whole burst is refilled.
    pub(crate) fn window(self) -> Millis {
        self.burst / self.rate * 1000.0
    }
}

enum Step {
    ExpireRegister,
    Start(usize),
    Event(usize, Event),
    PollClock(usize),
    ClockReply(usize, CounterResult),
    Request { gateway: usize, client: u64 },
}

struct Gateway {
    engine: PolicyEngine,
    clock: FleetClock,
    /// How far its wall clock is ahead of virtual time.
    skew: Millis,
    last_event_at: Millis,
    /// The earliest time at which its clients send requests.
    clients_start_at: Millis,
    client_of_request: HashMap<RequestId, u64>,
}

/// A time in which a gateway's process does not run.
struct Stop {
    gateway: usize,
    from: Millis,
    until: Millis,
}

impl Stop {
    fn includes(&self, now: Millis) -> bool {
        (self.from..self.until).contains(&now)
    }
}

struct CounterEntry {
    value: f64,
    expires_at: Millis,
}

/// The gateways and the counter that they share.
pub(crate) struct Simulation {
    quota: Quota,
    gateways: Vec<Gateway>,
    schedule: Schedule<Step>,
    counter_entries: HashMap<u64, CounterEntry>,
    next_request: RequestId,
    stops: Vec<Stop>,
    /// What the tenant was served, in units.
    pub(crate) served: f64,
    /// When the first request was served at each gateway.
    pub(crate) first_served_at: Vec<Option<Millis>>,
    /// The calls to the counter for the tenant's quota, and for the fleet clock.
    pub(crate) tenant_calls: usize,
    pub(crate) clock_calls: usize,
}

impl Simulation {
    /// Returns a fleet of gateways that serve one tenant together; none has started.
    pub(crate) fn new(gateway_count: u32, quota: Quota, skew: impl Fn(usize) -> Millis) -> Self {
        let gateways = (0..gateway_count).map(|index| Gateway::new(index, gateway_count, quota, &skew));
        Self {
            quota,
            gateways: gateways.collect(),
            schedule: Schedule::new(),
            counter_entries: HashMap::new(),
            next_request: 0,
            stops: Vec::new(),
            served: 0.0,
            first_served_at: vec![None; gateway_count as usize],
            tenant_calls: 0,
            clock_calls: 0,
        }
    }

    /// Starts a gateway and its clients at a time.
    pub(crate) fn start(&mut self, gateway: usize, at: Millis) {
        self.schedule.at(at, Step::Start(gateway));
    }

    /// Delays the clients of a gateway beyond its start.
    pub(crate) fn delay_clients(&mut self, gateway: usize, until: Millis) {
        self.gateways[gateway].clients_start_at = until;
    }

    /// Stops a gateway's process for some time, as SIGSTOP and SIGCONT do.
    pub(crate) fn stop(&mut self, gateway: usize, from: Millis, duration: Millis) {
        self.stops.push(Stop { gateway, from, until: from + duration });
    }

    /// Expires the register of the fleet's clock at a time.
    pub(crate) fn expire_register(&mut self, at: Millis) {
        self.schedule.at(at, Step::ExpireRegister);
    }

    /// Runs until a time, and returns what was served since the beginning as a fraction of the quota.
    pub(crate) fn run(&mut self, until: Millis) -> f64 {
        while let Some((now, step)) = self.schedule.next() {
            if now > until {
                self.schedule.at(now, step);
                break;
            }
            self.run_step(now, step);
        }
        self.served / (self.quota.burst + self.quota.rate * until / 1000.0)
    }

    fn run_step(&mut self, now: Millis, step: Step) {
        let index = match &step {
            Step::ExpireRegister => {
                self.counter_entries.remove(&FleetClock::register_key());
                return;
            }
            Step::Start(index)
            | Step::Event(index, _)
            | Step::PollClock(index)
            | Step::ClockReply(index, _)
            | Step::Request { gateway: index, .. } => *index,
        };
        let stopped = self.stops.iter().find(|stop| stop.gateway == index && stop.includes(now));
        if let Some(stop) = stopped {
            return self.schedule.at(stop.until, step);
        }
        match step {
            Step::ExpireRegister => {}
            Step::Start(_) => self.on_start(index, now),
            Step::Event(_, event) => self.handle(index, event, now),
            Step::PollClock(_) => {
                self.poll_clock(index, now);
                self.schedule.at(now + POLL_INTERVAL, Step::PollClock(index));
            }
            Step::ClockReply(_, result) => {
                let gateway = &mut self.gateways[index];
                let change = gateway.clock.record_reply(gateway.local_time(now), result);
                let time = gateway.clock.time();
                self.handle(index, Event::FleetClock { time }, now);
                if change.is_some_and(ClockChange::loses_counts) {
                    self.handle(index, Event::CountsLost, now);
                }
                self.poll_clock(index, now);
            }
            Step::Request { client, .. } => self.on_request(index, client, now),
        }
    }

    fn on_start(&mut self, index: usize, now: Millis) {
        let gateway_count = self.gateways.len() as u32;
        let gateway = &mut self.gateways[index];
        gateway.last_event_at = now;
        gateway.clock = FleetClock::new(gateway_count, index as u64, gateway.local_time(now));
        let clients_start_at = gateway.clients_start_at;
        let time = gateway.clock.time();
        let list = vec![endpoint("a1", EndpointState::Ready, None)];
        self.handle(index, Event::FleetClock { time }, now);
        self.handle(index, Event::EndpointSnapshot(list), now);
        self.schedule.at(now, Step::PollClock(index));
        self.start_clients(index, now.max(clients_start_at));
    }

    fn start_clients(&mut self, index: usize, from: Millis) {
        for client in 0..CLIENTS {
            // The first requests are spread over CLIENT_PAUSE.
            let at = from + 1.0 + CLIENT_PAUSE * client as f64 / CLIENTS as f64;
            self.schedule.at(at, Step::Request { gateway: index, client });
        }
    }

    fn poll_clock(&mut self, index: usize, now: Millis) {
        let gateway = &mut self.gateways[index];
        let Some(call) = gateway.clock.poll(gateway.local_time(now)) else { return };
        self.clock_calls += 1;
        let total = self.add_to_counter(call.key, call.amount, call.ttl, now + COUNTER_DELAY);
        let reply = Step::ClockReply(index, CounterResult::Total(total));
        self.schedule.at(now + 2.0 * COUNTER_DELAY, reply);
    }

    fn on_request(&mut self, index: usize, client: u64, now: Millis) {
        self.next_request += 1;
        let id = self.next_request;
        self.gateways[index].client_of_request.insert(id, client);
        let arrival = Arrival {
            gateways_per_tenant: self.gateways.len() as u32,
            ..arrival(id, TENANT, "plain", "idempotent")
        };
        self.handle(index, Event::RequestArrived(arrival), now);
    }

    /// Passes an event to a gateway's engine. As a host does, reports a pause of the process before it.
    fn handle(&mut self, index: usize, event: Event, now: Millis) {
        let gateway = &mut self.gateways[index];
        let pause = now - std::mem::replace(&mut gateway.last_event_at, now);
        if pause >= MIN_REPORTED_PAUSE {
            self.pass_to_engine(index, Event::ProcessResumed, now);
        }
        self.pass_to_engine(index, event, now);
    }

    fn pass_to_engine(&mut self, index: usize, event: Event, now: Millis) {
        let gateway = &mut self.gateways[index];
        let mut actions = Vec::new();
        gateway.engine.handle(gateway.local_time(now), event, &mut actions);
        for action in actions {
            self.perform(index, action, now);
        }
    }

    fn perform(&mut self, index: usize, action: Action, now: Millis) {
        match action {
            Action::ForwardAttempt { id, endpoint, .. } => {
                self.served += 1.0;
                self.first_served_at[index].get_or_insert(now);
                let end = attempt_end(id, endpoint);
                self.schedule.at(now + ATTEMPT_LATENCY, Step::Event(index, Event::AttemptEnded(end)));
                self.schedule_next_request(index, id, now + ATTEMPT_LATENCY);
            }
            Action::Reject { id, .. } | Action::Fail { id } => self.schedule_next_request(index, id, now),
            Action::SetTimer { after, token } => {
                self.schedule.at(now + after, Step::Event(index, Event::Timer { token }));
            }
            Action::IncrementCounter { key, amount, ttl } => {
                self.tenant_calls += 1;
                let total = self.add_to_counter(key, amount, ttl, now + COUNTER_DELAY);
                let latency = 2.0 * COUNTER_DELAY;
                let event = Event::CounterReply { key, result: CounterResult::Total(total), latency };
                self.schedule.at(now + latency, Step::Event(index, event));
            }
            Action::CancelAttempt { .. }
            | Action::HealthCheck { .. }
            | Action::Gossip { .. }
            | Action::WatchEndpoints
            | Action::Log(_) => {}
        }
    }

    fn schedule_next_request(&mut self, index: usize, id: RequestId, now: Millis) {
        if let Some(client) = self.gateways[index].client_of_request.remove(&id) {
            self.schedule.at(now + CLIENT_PAUSE, Step::Request { gateway: index, client });
        }
    }

    /// Adds to a counter key at a time, and returns its total.
    fn add_to_counter(&mut self, key: u64, amount: f64, ttl: Millis, now: Millis) -> f64 {
        let entry = self.counter_entries.entry(key).or_insert(CounterEntry { value: 0.0, expires_at: 0.0 });
        if entry.expires_at <= now {
            *entry = CounterEntry { value: 0.0, expires_at: now + ttl.min(MAX_TTL) };
        }
        entry.value += amount;
        entry.value
    }
}

impl Gateway {
    fn new(index: u32, gateway_count: u32, quota: Quota, skew: impl Fn(usize) -> Millis) -> Self {
        let mut settings = Settings { gateway_count, gateway_index: index, ..settings() };
        settings.plans[0].rate = quota.rate;
        settings.plans[0].burst = quota.burst;
        Self {
            engine: PolicyEngine::new(settings, u64::from(index)).expect("usable settings"),
            clock: FleetClock::new(gateway_count, 0, 0.0),
            skew: skew(index as usize),
            last_event_at: 0.0,
            clients_start_at: 0.0,
            client_of_request: HashMap::new(),
        }
    }

    fn local_time(&self, now: Millis) -> Millis {
        START_TIME + now + self.skew
    }
}

fn attempt_end(id: RequestId, endpoint: Name) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        latency: ATTEMPT_LATENCY,
        actual_units: None,
        request_finished: true,
        load_report: None,
    }
}
