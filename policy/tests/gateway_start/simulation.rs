//! Whole gateways without sockets in virtual time: the policy engine and the fleet clock of each, one tenant
//! whose clients request far more than its quota, and the shared counter.

use crate::common::*;
use ryefront_policy::fleet_clock::{ClockChange, FleetClock};
use ryefront_policy::*;
use std::collections::HashMap;

/// The start of virtual time; each gateway's wall clock is ahead of it by its skew.
const BEGIN: Millis = 1_796_000_000_000.0;
/// From a gateway to the counter, and back.
const COUNTER_DELAY: Millis = 0.2;
/// How long an attempt is in flight.
const ATTEMPT_TIME: Millis = 5.0;
/// How long a client waits between an answer and its next request.
const CLIENT_PAUSE: Millis = 20.0;
/// The clients of each gateway.
const CLIENTS: u64 = 2;
/// A host polls the fleet clock this often at most.
const POLL_INTERVAL: Millis = 20.0;
/// The counter keeps no key for longer.
const MAX_TIME_TO_LIVE: Millis = 60_000.0;
const TENANT: &str = "c";

/// The quota of the one tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quota {
    /// Units per second.
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

impl Quota {
    /// How long a window lasts.
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
    /// Its clients send requests from this time on.
    clients_from: Millis,
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

struct Total {
    value: f64,
    expires_at: Millis,
}

/// Gateways and their counter.
pub(crate) struct Simulation {
    quota: Quota,
    gateways: Vec<Gateway>,
    schedule: Schedule<Step>,
    totals: HashMap<u64, Total>,
    next_request: RequestId,
    stops: Vec<Stop>,
    /// What the tenant was served, in units.
    pub(crate) served: f64,
    /// When the first request was served at each gateway.
    pub(crate) first_served_at: Vec<Option<Millis>>,
    /// Calls that were made to the counter, of the tenant and of the fleet clock.
    pub(crate) tenant_calls: usize,
    pub(crate) clock_calls: usize,
}

impl Simulation {
    /// A fleet of gateways that serve one tenant together; none has started.
    pub(crate) fn new(gateway_count: u32, quota: Quota, skew: impl Fn(usize) -> Millis) -> Self {
        let gateways = (0..gateway_count).map(|index| Gateway::new(index, gateway_count, quota, &skew));
        Self {
            quota,
            gateways: gateways.collect(),
            schedule: Schedule::new(),
            totals: HashMap::new(),
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

    /// Has the clients of a gateway begin later than the gateway.
    pub(crate) fn delay_clients(&mut self, gateway: usize, until: Millis) {
        self.gateways[gateway].clients_from = until;
    }

    /// Stops a gateway's process for a while, as SIGSTOP and SIGCONT do.
    pub(crate) fn stop(&mut self, gateway: usize, from: Millis, time: Millis) {
        self.stops.push(Stop { gateway, from, until: from + time });
    }

    /// Expires the register of the fleet's clock at a time.
    pub(crate) fn expire_register(&mut self, at: Millis) {
        self.schedule.at(at, Step::ExpireRegister);
    }

    /// Plays until a time, and returns what was served since the beginning as a fraction of the quota.
    pub(crate) fn play(&mut self, until: Millis) -> f64 {
        while let Some((now, step)) = self.schedule.next() {
            if now > until {
                self.schedule.at(now, step);
                break;
            }
            self.take_step(now, step);
        }
        self.served / (self.quota.burst + self.quota.rate * until / 1000.0)
    }

    fn take_step(&mut self, now: Millis, step: Step) {
        let number = match &step {
            Step::ExpireRegister => {
                self.totals.remove(&FleetClock::register_key());
                return;
            }
            Step::Start(number)
            | Step::Event(number, _)
            | Step::PollClock(number)
            | Step::ClockReply(number, _)
            | Step::Request { gateway: number, .. } => *number,
        };
        let stopped = self.stops.iter().find(|stop| stop.gateway == number && stop.includes(now));
        if let Some(stop) = stopped {
            return self.schedule.at(stop.until, step);
        }
        match step {
            Step::ExpireRegister => {}
            Step::Start(_) => self.on_start(number, now),
            Step::Event(_, event) => self.handle(number, event, now),
            Step::PollClock(_) => {
                self.poll_clock(number, now);
                self.schedule.at(now + POLL_INTERVAL, Step::PollClock(number));
            }
            Step::ClockReply(_, result) => {
                let gateway = &mut self.gateways[number];
                let change = gateway.clock.record_reply(gateway.local(now), result);
                let time = gateway.clock.time();
                self.handle(number, Event::FleetClock { time }, now);
                if change.is_some_and(ClockChange::loses_counts) {
                    self.handle(number, Event::CountsLost, now);
                }
                self.poll_clock(number, now);
            }
            Step::Request { client, .. } => self.on_request(number, client, now),
        }
    }

    fn on_start(&mut self, number: usize, now: Millis) {
        let gateway_count = self.gateways.len() as u32;
        let gateway = &mut self.gateways[number];
        gateway.last_event_at = now;
        gateway.clock = FleetClock::new(gateway_count, number as u64, gateway.local(now));
        let gateway_clients_from = gateway.clients_from;
        let time = gateway.clock.time();
        let list = vec![endpoint("a1", EndpointState::Ready, None)];
        self.handle(number, Event::FleetClock { time }, now);
        self.handle(number, Event::EndpointSnapshot(list), now);
        self.schedule.at(now, Step::PollClock(number));
        self.start_clients(number, now.max(gateway_clients_from));
    }

    fn start_clients(&mut self, number: usize, from: Millis) {
        for client in 0..CLIENTS {
            // The clients are spread over their pause.
            let at = from + 1.0 + CLIENT_PAUSE * client as f64 / CLIENTS as f64;
            self.schedule.at(at, Step::Request { gateway: number, client });
        }
    }

    fn poll_clock(&mut self, number: usize, now: Millis) {
        let gateway = &mut self.gateways[number];
        let Some(call) = gateway.clock.poll(gateway.local(now)) else { return };
        self.clock_calls += 1;
        let total = self.add(call.key, call.amount, call.ttl, now + COUNTER_DELAY);
        let reply = Step::ClockReply(number, CounterResult::Total(total));
        self.schedule.at(now + 2.0 * COUNTER_DELAY, reply);
    }

    fn on_request(&mut self, number: usize, client: u64, now: Millis) {
        self.next_request += 1;
        let id = self.next_request;
        self.gateways[number].client_of_request.insert(id, client);
        let arrival = Arrival {
            gateways_per_tenant: self.gateways.len() as u32,
            ..arrival(id, TENANT, "plain", "idempotent")
        };
        self.handle(number, Event::RequestArrived(arrival), now);
    }

    /// Passes an event to a gateway, after the report of a pause as its host makes it.
    fn handle(&mut self, number: usize, event: Event, now: Millis) {
        let gateway = &mut self.gateways[number];
        let pause = now - std::mem::replace(&mut gateway.last_event_at, now);
        if pause >= MIN_REPORTED_PAUSE {
            self.pass(number, Event::ProcessResumed, now);
        }
        self.pass(number, event, now);
    }

    fn pass(&mut self, number: usize, event: Event, now: Millis) {
        let gateway = &mut self.gateways[number];
        let mut actions = Vec::new();
        gateway.engine.handle(gateway.local(now), event, &mut actions);
        for action in actions {
            self.perform(number, action, now);
        }
    }

    fn perform(&mut self, number: usize, action: Action, now: Millis) {
        match action {
            Action::ForwardAttempt { id, endpoint, .. } => {
                self.served += 1.0;
                self.first_served_at[number].get_or_insert(now);
                let end = attempt_end(id, endpoint);
                self.schedule.at(now + ATTEMPT_TIME, Step::Event(number, Event::AttemptEnded(end)));
                self.schedule_next_request(number, id, now + ATTEMPT_TIME);
            }
            Action::Reject { id, .. } | Action::Fail { id } => self.schedule_next_request(number, id, now),
            Action::SetTimer { after, token } => {
                self.schedule.at(now + after, Step::Event(number, Event::Timer { token }));
            }
            Action::IncrementCounter { key, amount, ttl } => {
                self.tenant_calls += 1;
                let total = self.add(key, amount, ttl, now + COUNTER_DELAY);
                let latency = 2.0 * COUNTER_DELAY;
                let event = Event::CounterReply { key, result: CounterResult::Total(total), latency };
                self.schedule.at(now + latency, Step::Event(number, event));
            }
            Action::CancelAttempt { .. }
            | Action::HealthCheck { .. }
            | Action::Gossip { .. }
            | Action::WatchEndpoints
            | Action::Log(_) => {}
        }
    }

    fn schedule_next_request(&mut self, number: usize, id: RequestId, now: Millis) {
        if let Some(client) = self.gateways[number].client_of_request.remove(&id) {
            self.schedule.at(now + CLIENT_PAUSE, Step::Request { gateway: number, client });
        }
    }

    /// Adds to a key of the counter at a time.
    fn add(&mut self, key: u64, amount: f64, ttl: Millis, now: Millis) -> f64 {
        let total = self.totals.entry(key).or_insert(Total { value: 0.0, expires_at: 0.0 });
        if total.expires_at <= now {
            *total = Total { value: 0.0, expires_at: now + ttl.min(MAX_TIME_TO_LIVE) };
        }
        total.value += amount;
        total.value
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
            clients_from: 0.0,
            client_of_request: HashMap::new(),
        }
    }

    fn local(&self, now: Millis) -> Millis {
        BEGIN + now + self.skew
    }
}

fn attempt_end(id: RequestId, endpoint: Name) -> AttemptEnd {
    AttemptEnd {
        id,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        latency: ATTEMPT_TIME,
        actual_units: None,
        request_finished: true,
        load_report: None,
    }
}
