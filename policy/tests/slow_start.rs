//! What all gateways together forward to endpoints in slow start, over many gateways in virtual time.
//!
//! An endpoint in slow start fails when it gets more requests within `overload_window` than its budget:
//! N + 2 * sqrt(N) + 2, where N is the overload factor times its capacity at the window's start times the
//! window. `--nocapture` prints the worst ratio of each case.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// Requests of mean work per second that one endpoint with all its capacity can do.
const CAPACITY: f64 = 40.0;
/// How long an attempt takes that is served, rejected, or times out.
const LATENCY: Millis = 50.0;
const REJECTION_LATENCY: Millis = 2.0;
const TIMEOUT: Millis = 2000.0;
const OVERLOAD_WINDOW: Millis = 1000.0;
const OVERLOAD_FACTOR: f64 = 2.0;
/// When the endpoints in slow start have started, and when the last request arrives: slow start is over by
/// then.
const START: Millis = 1000.0;
const SLOW_START_DURATION: Millis = 5000.0;
const END: Millis = START + SLOW_START_DURATION;

/// How the requests are spread over the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Even,
    /// A tenth of the gateways, at least one, get eight times the requests of the others.
    Eightfold,
    /// One gateway gets half of all requests.
    Half,
}

/// Which attempts fail, and how.
#[derive(Clone, Copy, Debug)]
enum Failures {
    None,
    /// This fraction of all attempts.
    Fraction(f64, Outcome),
    /// All attempts at endpoints that are not in slow start, from the start on.
    AllOtherEndpoints(Outcome),
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    endpoints: usize,
    /// The fraction of the endpoints that start; at least one.
    starting: f64,
    /// Requests made, as a fraction of what all endpoints could do with all their capacity.
    load: f64,
    traffic: Traffic,
    failures: Failures,
    /// Gateways learn of the start up to this much later.
    max_delay: Millis,
    /// The starting endpoints ran before, and gateways that have not learned of the start use them as before.
    restarted: bool,
    /// Whether the counter replies.
    counter: bool,
}

const CASE: Case = Case {
    gateways: 0,
    endpoints: 0,
    starting: 0.0,
    load: 1.0,
    traffic: Traffic::Even,
    failures: Failures::None,
    max_delay: 0.0,
    restarted: false,
    counter: true,
};

/// The names of the endpoints of a case.
struct EndpointNames {
    /// Those with all their capacity.
    warm: Vec<Name>,
    /// Those that start.
    starting: Vec<Name>,
}

impl Case {
    fn endpoint_names(&self) -> EndpointNames {
        let starting_count = ((self.endpoints as f64 * self.starting) as usize).max(1);
        let mut warm: Vec<Name> =
            (0..self.endpoints).map(|index| format!("a{index}").as_str().into()).collect();
        let starting = warm.split_off(self.endpoints - starting_count);
        EndpointNames { warm, starting }
    }

    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.gateway_count = self.gateways;
        settings.slow_start_duration = SLOW_START_DURATION;
        settings.overload_window = OVERLOAD_WINDOW;
        settings.overload_factor = OVERLOAD_FACTOR;
        settings.plans[0].rate = 500.0;
        settings.plans[0].burst = 1000.0;
        settings
    }

    /// Returns the relative number of requests that each gateway gets.
    fn traffic_weights(&self) -> Vec<f64> {
        (0..self.gateways)
            .map(|gateway| match self.traffic {
                Traffic::Eightfold if gateway % 10 == 0 => 8.0,
                Traffic::Half if gateway == 0 => f64::from(self.gateways - 1),
                _ => 1.0,
            })
            .collect()
    }
}

/// A request that was forwarded to an endpoint in slow start.
#[derive(Clone, Copy)]
struct ForwardedRequest {
    at: Millis,
    /// Whether the gateway had learned of the start.
    informed: bool,
}

enum Step {
    Handle(usize, Event),
    /// A gateway learns of the start.
    LearnStart(usize),
}

struct Fleet {
    case: Case,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    schedule: Schedule<Step>,
    now: Millis,
    counter: CounterStandIn,
    /// The number of the last attempt of each request.
    attempts: BTreeMap<RequestId, u32>,
    /// Whether each gateway has learned of the start.
    learned: Vec<bool>,
    /// The number of requests that wait at each gateway.
    waiting: Vec<usize>,
    /// Whether the maintenance of each gateway is due. It runs in time while requests wait there, else with
    /// the next event, which saves most of the work of hundreds of gateways.
    maintenance_due: Vec<bool>,
    /// The requests that were forwarded to each endpoint in slow start.
    forwarded: BTreeMap<Name, Vec<ForwardedRequest>>,
    /// The number of attempts forwarded to all endpoints.
    all_forwarded: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let settings = case.settings();
        let mut seeds = Random(u64::from(case.gateways));
        let gateways = (0..case.gateways)
            .map(|number| {
                let settings = Settings { gateway_index: number, ..settings.clone() };
                PolicyEngine::new(settings, seeds.below(u64::MAX)).expect("usable settings")
            })
            .collect::<Vec<_>>();
        let starting = case.endpoint_names().starting.into_iter();
        Self {
            case,
            settings,
            random: Random(7),
            learned: vec![false; gateways.len()],
            waiting: vec![0; gateways.len()],
            maintenance_due: vec![false; gateways.len()],
            gateways,
            schedule: Schedule::new(),
            now: 0.0,
            counter: CounterStandIn::default(),
            attempts: BTreeMap::new(),
            forwarded: starting.map(|name| (name, Vec::new())).collect(),
            all_forwarded: 0,
        }
    }

    /// Schedules the first endpoint list, and the start as each gateway learns of it.
    fn schedule_endpoint_lists(&mut self) {
        let names = self.case.endpoint_names();
        let mut listed = names.warm;
        if self.case.restarted {
            listed.extend(names.starting);
        }
        for gateway in 0..self.gateways.len() {
            let list = listed.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
            self.schedule.at(0.0, Step::Handle(gateway, Event::EndpointSnapshot(list)));
            let delay = self.random.share() * self.case.max_delay;
            self.schedule.at(START + delay, Step::LearnStart(gateway));
        }
    }

    /// Schedules all requests, at random intervals and gateways.
    fn schedule_requests(&mut self) {
        let weights = self.case.traffic_weights();
        let total_weight: f64 = weights.iter().sum();
        let mean_interval = 1000.0 / (self.case.load * CAPACITY * self.case.endpoints as f64);
        let mut arrives_at = 0.0;
        let mut id = 0;
        while arrives_at < END {
            arrives_at -= self.random.share().max(1e-12).ln() * mean_interval;
            id += 1;
            let gateway = index_by_weight(&weights, self.random.share() * total_weight);
            let arrival = Event::RequestArrived(arrival_at(gateway, id));
            self.schedule.at(arrives_at, Step::Handle(gateway, arrival));
        }
    }

    fn play(&mut self) {
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
                Step::LearnStart(gateway) => self.learn_start(gateway),
            }
        }
    }

    fn learn_start(&mut self, gateway: usize) {
        self.learned[gateway] = true;
        let starting = self.forwarded.keys().map(|name| endpoint(name, EndpointState::Ready, Some(START)));
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
                let (latency, reply) = self.counter.call(key, amount, self.case.counter);
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
        self.all_forwarded += 1;
        if let Some(forwarded) = self.forwarded.get_mut(&endpoint).filter(|_| self.now >= START) {
            forwarded.push(ForwardedRequest { at: self.now, informed: self.learned[gateway] });
        }
        let attempt = *self.attempts.entry(id).and_modify(|attempt| *attempt += 1).or_insert(0);
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
        match self.case.failures {
            Failures::None => Outcome::Served,
            Failures::Fraction(fraction, failure) => {
                if self.random.share() < fraction {
                    failure
                } else {
                    Outcome::Served
                }
            }
            Failures::AllOtherEndpoints(failure) => {
                let spared = self.now < START || self.forwarded.contains_key(endpoint);
                if spared { Outcome::Served } else { failure }
            }
        }
    }

    /// Returns the worst window of all endpoints in slow start, as a ratio to its budget.
    fn worst(&self) -> f64 {
        let mut worst: f64 = 0.0;
        for forwarded in self.forwarded.values() {
            for (index, first) in forwarded.iter().enumerate() {
                worst = worst.max(counted_requests(&forwarded[index..]) / self.budget(first.at));
            }
        }
        worst
    }

    /// Returns the most requests that an endpoint in slow start may get in the window that begins at `from`.
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

/// Returns how many requests count in the window that begins with the first of these. A window of which a
/// third or more came from gateways that did not know of the start counts with what the others forwarded.
fn counted_requests(forwarded: &[ForwardedRequest]) -> f64 {
    let from = forwarded[0].at;
    let window = forwarded.iter().take_while(|request| request.at - from < OVERLOAD_WINDOW);
    let mut all = 0.0;
    let mut informed = 0.0;
    for request in window {
        all += 1.0;
        informed += f64::from(u8::from(request.informed));
    }
    if informed * 1.5 >= all { all } else { informed }
}

/// Returns the index at which the sum of the weights exceeds `drawn`, or 0 if none does by rounding.
fn index_by_weight(weights: &[f64], drawn: f64) -> usize {
    let mut remaining = drawn;
    let index = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    index.unwrap_or(0)
}

/// Returns a request of a tenant that one gateway serves.
fn arrival_at(gateway: usize, id: RequestId) -> Arrival {
    Arrival {
        time_to_deadline: 3000.0,
        first_gateway: gateway as u32,
        gateways_per_tenant: 1,
        ..arrival(id, &format!("c{gateway}"), "plain", "idempotent")
    }
}

/// Plays cases with few gateways and with hundreds.
fn assert_held(cases: &[Case]) {
    assert_held_at(&[(2, 10), (5, 10), (20, 20), (30, 20), (300, 30)], cases);
}

/// Plays cases with so many gateways and endpoints, prints the worst ratio of each and asserts that it is
/// below 1.
fn assert_held_at(sizes: &[(u32, usize)], cases: &[Case]) {
    let mut violations = Vec::new();
    for case in cases {
        for &(gateways, endpoints) in sizes {
            let mut fleet = Fleet::new(Case { gateways, endpoints, ..*case });
            fleet.play();
            let worst = fleet.worst();
            let to_starting: usize = fleet.forwarded.values().map(Vec::len).sum();
            let line = format!(
                "{worst:.2} of the budget, {to_starting} of {} forwarded to slow start: {:?}",
                fleet.all_forwarded, fleet.case
            );
            println!("{line}");
            if worst >= 1.0 || to_starting == 0 {
                violations.push(line);
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn one_endpoint_in_slow_start_stays_within_its_budget_under_uneven_traffic() {
    let traffic = [Traffic::Even, Traffic::Eightfold, Traffic::Half];
    assert_held(&traffic.map(|traffic| Case { traffic, ..CASE }));
}

#[test]
fn many_endpoints_in_slow_start_stay_within_their_budgets() {
    let half = Case { starting: 0.5, ..CASE };
    assert_held(&[Case { starting: 0.1, ..CASE }, half, Case { traffic: Traffic::Eightfold, ..half }]);
}

#[test]
fn fleet_entirely_in_slow_start_stays_within_its_budgets() {
    let all_starting = Case { starting: 1.0, restarted: true, ..CASE };
    assert_held(&[Case { load: 0.65, ..all_starting }, all_starting]);
}

#[test]
fn endpoints_in_slow_start_get_no_more_when_all_others_are_lost() {
    let failures = [Outcome::ConnectFailed, Outcome::TimedOut];
    assert_held(&failures.map(|outcome| Case {
        starting: 0.3,
        failures: Failures::AllOtherEndpoints(outcome),
        ..CASE
    }));
}

#[test]
fn retries_count_against_the_slow_start_budget() {
    let failures = [
        Failures::Fraction(0.3, Outcome::Error),
        Failures::Fraction(0.3, Outcome::ConnectionReset),
        Failures::Fraction(0.1, Outcome::Rejected),
        Failures::Fraction(0.3, Outcome::Rejected),
    ];
    assert_held(&failures.map(|failures| Case { failures, ..CASE }));
}

#[test]
fn start_learned_at_different_times_stays_within_its_budget() {
    let delayed = Case { starting: 0.2, max_delay: 2000.0, ..CASE };
    assert_held(&[delayed, Case { restarted: true, ..delayed }]);
}

#[test]
fn endpoints_in_slow_start_stay_within_their_budgets_without_the_counter() {
    assert_held(&[Case { counter: false, starting: 0.1, ..CASE }]);
}

#[test]
fn repeated_sampling_of_a_subset_sends_no_more_to_endpoints_in_slow_start() {
    let lost = Case { starting: 0.3, failures: Failures::AllOtherEndpoints(Outcome::ConnectFailed), ..CASE };
    assert_held_at(&[(20, 60)], &[Case { starting: 1.0, restarted: true, ..CASE }, lost]);
}

#[test]
fn retries_add_nothing_where_many_endpoints_are_in_slow_start() {
    let errors = Case { failures: Failures::Fraction(0.3, Outcome::Error), ..CASE };
    assert_held(&[Case { starting: 0.5, ..errors }, Case { starting: 1.0, restarted: true, ..errors }]);
}
