//! A simulation in virtual time: a fleet of policy engines, a counter, and endpoints in slow start.

use crate::common::{FakeCounter, Random, Schedule, arrival, endpoint};
use crate::scenario::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// A request that was forwarded to an endpoint in slow start.
#[derive(Clone, Copy)]
pub(crate) struct ForwardedRequest {
    at: Millis,
    /// Whether the gateway had learned of the start.
    start_known: bool,
}

enum Step {
    /// A gateway handles an event.
    Handle(usize, Event),
    /// A gateway learns of the start.
    LearnOfStart(usize),
}

pub(crate) struct Fleet {
    pub(crate) scenario: Scenario,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    schedule: Schedule<Step>,
    now: Millis,
    counter: FakeCounter,
    /// The number of the last attempt of each request, from 0.
    last_attempt: BTreeMap<RequestId, u32>,
    /// Whether each gateway has learned of the start.
    start_known: Vec<bool>,
    /// The number of requests waiting at each gateway.
    waiting: Vec<usize>,
    /// Whether each gateway's maintenance timer has expired and is not handled yet. It is handled on time
    /// while requests wait there, and otherwise before the next event, which saves most of the work of
    /// simulating hundreds of gateways.
    maintenance_due: Vec<bool>,
    /// The requests forwarded to each endpoint in slow start, in order of time.
    pub(crate) forwarded_by_endpoint: BTreeMap<Name, Vec<ForwardedRequest>>,
    /// The number of attempts forwarded to all endpoints together.
    pub(crate) total_forwarded: usize,
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let settings = scenario.settings();
        let mut seeds = Random(u64::from(scenario.gateways));
        let gateways = (0..scenario.gateways)
            .map(|number| {
                let settings = Settings { gateway_index: number, ..settings.clone() };
                PolicyEngine::new(settings, seeds.below(u64::MAX)).expect("usable settings")
            })
            .collect::<Vec<_>>();
        let starting = scenario.endpoint_names().starting.into_iter();
        Self {
            scenario,
            settings,
            random: Random(7),
            start_known: vec![false; gateways.len()],
            waiting: vec![0; gateways.len()],
            maintenance_due: vec![false; gateways.len()],
            gateways,
            schedule: Schedule::new(),
            now: 0.0,
            counter: FakeCounter::default(),
            last_attempt: BTreeMap::new(),
            forwarded_by_endpoint: starting.map(|name| (name, Vec::new())).collect(),
            total_forwarded: 0,
        }
    }

    /// Schedules the first endpoint list of each gateway, and the time at which it learns of the start.
    fn schedule_endpoint_lists(&mut self) {
        let names = self.scenario.endpoint_names();
        let mut listed = names.warm;
        if self.scenario.restarted {
            listed.extend(names.starting);
        }
        for gateway in 0..self.gateways.len() {
            let list = listed.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
            self.schedule.at(0.0, Step::Handle(gateway, Event::EndpointSnapshot(list)));
            let delay = self.random.unit() * self.scenario.max_discovery_delay;
            self.schedule.at(START + delay, Step::LearnOfStart(gateway));
        }
    }

    /// Schedules all requests, at random intervals (a Poisson process) and at random gateways.
    fn schedule_requests(&mut self) {
        let weights = self.scenario.traffic_weights();
        let total_weight: f64 = weights.iter().sum();
        let mean_interval = 1000.0 / (self.scenario.load * CAPACITY * self.scenario.endpoints as f64);
        let mut arrives_at = 0.0;
        let mut id = 0;
        while arrives_at < END {
            arrives_at -= self.random.unit().max(1e-12).ln() * mean_interval;
            id += 1;
            let gateway = index_by_weight(&weights, self.random.unit() * total_weight);
            let arrival = Event::RequestArrived(arrival_at(gateway, id));
            self.schedule.at(arrives_at, Step::Handle(gateway, arrival));
        }
    }

    pub(crate) fn run(&mut self) {
        self.schedule_endpoint_lists();
        self.schedule_requests();
        while let Some((now, step)) = self.schedule.next().filter(|(now, _)| *now <= END) {
            self.now = now;
            match step {
                Step::Handle(gateway, Event::Timer { token: 1 }) if self.waiting[gateway] == 0 => {
                    self.maintenance_due[gateway] = true;
                }
                Step::Handle(gateway, event) => {
                    if std::mem::take(&mut self.maintenance_due[gateway]) {
                        self.handle(gateway, Event::Timer { token: 1 });
                    }
                    self.handle(gateway, event);
                }
                Step::LearnOfStart(gateway) => self.learn_of_start(gateway),
            }
        }
    }

    fn learn_of_start(&mut self, gateway: usize) {
        self.start_known[gateway] = true;
        let starting =
            self.forwarded_by_endpoint.keys().map(|name| endpoint(name, EndpointState::Ready, Some(START)));
        let changes = Event::EndpointDelta(starting.collect());
        self.handle(gateway, changes);
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        self.waiting[gateway] += match &event {
            Event::RequestArrived(_) => 1,
            Event::AttemptEnded(end) => usize::from(!end.request_finished),
            _ => 0,
        };
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(gateway, action);
        }
    }

    fn perform(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                self.schedule.at(self.now + after, Step::Handle(gateway, Event::Timer { token }));
            }
            Action::IncrementCounter { key, amount, .. } => {
                let (latency, reply) = self.counter.increment(key, amount, self.scenario.counter_available);
                self.schedule.at(self.now + latency, Step::Handle(gateway, reply));
            }
            Action::ForwardAttempt { id, endpoint, .. } => {
                self.waiting[gateway] -= 1;
                self.forward(gateway, id, endpoint);
            }
            Action::Reject { .. } | Action::Fail { .. } => self.waiting[gateway] -= 1,
            _ => {}
        }
    }

    fn forward(&mut self, gateway: usize, id: RequestId, endpoint: Name) {
        self.total_forwarded += 1;
        if let Some(forwarded) = self.forwarded_by_endpoint.get_mut(&endpoint).filter(|_| self.now >= START) {
            forwarded.push(ForwardedRequest { at: self.now, start_known: self.start_known[gateway] });
        }
        let attempt = *self.last_attempt.entry(id).and_modify(|attempt| *attempt += 1).or_insert(0);
        let outcome = self.draw_outcome(&endpoint);
        let latency = match outcome {
            Outcome::Rejected => REJECTION_LATENCY,
            Outcome::TimedOut => TIMEOUT,
            _ => LATENCY,
        };
        let end = AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            latency,
            actual_units: None,
            request_finished: outcome == Outcome::Served,
            load_report: None,
        };
        self.schedule.at(self.now + latency, Step::Handle(gateway, Event::AttemptEnded(end)));
    }

    fn draw_outcome(&mut self, endpoint: &Name) -> Outcome {
        match self.scenario.failures {
            Failures::None => Outcome::Served,
            Failures::Fraction(fraction, failure) => {
                if self.random.unit() < fraction {
                    failure
                } else {
                    Outcome::Served
                }
            }
            Failures::AllOtherEndpoints(failure) => {
                let succeeds = self.now < START || self.forwarded_by_endpoint.contains_key(endpoint);
                if succeeds { Outcome::Served } else { failure }
            }
        }
    }

    /// Returns the highest load of an endpoint in slow start in any window, as a ratio to its budget there.
    pub(crate) fn max_budget_ratio(&self) -> f64 {
        let mut max_ratio: f64 = 0.0;
        for forwarded in self.forwarded_by_endpoint.values() {
            for (index, first) in forwarded.iter().enumerate() {
                max_ratio = max_ratio.max(counted_requests(&forwarded[index..]) / self.budget(first.at));
            }
        }
        max_ratio
    }

    /// Returns how many requests an endpoint in slow start may get in the window that begins at `from`.
    fn budget(&self, from: Millis) -> f64 {
        let settings = &self.settings;
        let progress = ((from - START) / settings.slow_start_duration).min(1.0);
        let initial = settings.slow_start_initial_fraction;
        let capacity_fraction = initial + (1.0 - initial) * progress;
        let mean =
            settings.overload_factor * capacity_fraction * CAPACITY * settings.overload_window / 1000.0;
        mean + 2.0 * mean.sqrt() + 2.0
    }
}

/// Returns how many requests count against the budget in the window that begins with the first of these.
///
/// If more than a third came from gateways that did not know of the start, only the requests of the other
/// gateways count.
fn counted_requests(forwarded: &[ForwardedRequest]) -> f64 {
    let from = forwarded[0].at;
    let window = forwarded.iter().take_while(|request| request.at - from < OVERLOAD_WINDOW);
    let mut all = 0.0;
    let mut with_known_start = 0.0;
    for request in window {
        all += 1.0;
        with_known_start += f64::from(u8::from(request.start_known));
    }
    if with_known_start * 1.5 >= all { all } else { with_known_start }
}

/// Returns the index at which the cumulative weight exceeds `draw`, or 0 if none does due to rounding.
fn index_by_weight(weights: &[f64], draw: f64) -> usize {
    let mut remaining = draw;
    let index = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    index.unwrap_or(0)
}

/// Returns a request of a tenant that is served by this gateway alone.
fn arrival_at(gateway: usize, id: RequestId) -> Arrival {
    Arrival {
        time_to_deadline: 3000.0,
        first_gateway: gateway as u32,
        gateways_per_tenant: 1,
        ..arrival(id, &format!("c{gateway}"), "plain", "idempotent")
    }
}
