//! What all gateways together forward to endpoints in slow start, over many gateways in virtual time.
//!
//! An endpoint in slow start fails when a window of `overload_window` brings it more than N + 2 x root of N +
//! 2 requests, N being the overload factor x its capacity at that moment x the window. `--nocapture` prints
//! the worst ratio of each case.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// Requests of mean work per second that one endpoint with all its capacity can do.
const CAPACITY: f64 = 40.0;
const LATENCY: Millis = 50.0;
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

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    endpoints: usize,
    /// The fraction of the endpoints that start; at least one.
    starting: f64,
    /// Requests made, as a fraction of what all endpoints could do with all their capacity.
    load: f64,
    traffic: Traffic,
    /// How attempts fail, and which fraction of them; at 1 all of those at other endpoints, from the start
    /// on.
    failures: (Outcome, f64),
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
    failures: (Outcome::Error, 0.0),
    max_delay: 0.0,
    restarted: false,
    counter: true,
};

/// Returns the endpoints' names: first those with all their capacity, and from the returned index on those
/// that start.
fn names(case: Case) -> (Vec<Name>, usize) {
    let starting = ((case.endpoints as f64 * case.starting) as usize).max(1);
    let names = (0..case.endpoints).map(|n| format!("a{n}").as_str().into()).collect();
    (names, case.endpoints - starting)
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
    attempts: BTreeMap<RequestId, u32>,
    learned: Vec<bool>,
    /// Requests of each gateway that wait, and whether its maintenance is due: it runs in time while there
    /// are any, else with the next event, which saves most of the work of hundreds of gateways.
    waiting: Vec<usize>,
    maintenance_due: Vec<bool>,
    /// Of each endpoint in slow start: when requests were forwarded to it, and whether by a gateway that knew
    /// of the start.
    forwarded: BTreeMap<Name, Vec<(Millis, bool)>>,
    all_forwarded: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let mut set = settings();
        (set.gateway_count, set.slow_start_duration, set.overload_window, set.overload_factor) =
            (case.gateways, SLOW_START_DURATION, 1000.0, 2.0);
        (set.plans[0].rate, set.plans[0].burst) = (500.0, 1000.0);
        let mut seeds = Random(u64::from(case.gateways));
        let gateways = (0..case.gateways)
            .map(|number| {
                let set = Settings { gateway_index: number, ..set.clone() };
                PolicyEngine::new(set, seeds.below(u64::MAX)).expect("usable settings")
            })
            .collect::<Vec<_>>();
        let (names, first_starting) = names(case);
        let starting = names.into_iter().skip(first_starting).map(|name| (name, Vec::new()));
        Self {
            case,
            settings: set,
            random: Random(7),
            learned: vec![false; gateways.len()],
            waiting: vec![0; gateways.len()],
            maintenance_due: vec![false; gateways.len()],
            gateways,
            schedule: Schedule::new(),
            now: 0.0,
            counter: CounterStandIn::default(),
            attempts: BTreeMap::new(),
            forwarded: starting.collect(),
            all_forwarded: 0,
        }
    }

    /// Schedules the endpoint lists, the start as each gateway learns of it, and all requests.
    fn schedule_all(&mut self) {
        let case = self.case;
        let (names, first_starting) = names(case);
        let before = if case.restarted { &names[..] } else { &names[..first_starting] };
        for gateway in 0..self.gateways.len() {
            let list = before.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
            self.schedule.at(0.0, Step::Handle(gateway, Event::EndpointSnapshot(list)));
            let delay = self.random.share() * case.max_delay;
            self.schedule.at(START + delay, Step::LearnStart(gateway));
        }
        let weights: Vec<f64> = (0..self.gateways.len())
            .map(|n| match case.traffic {
                Traffic::Eightfold if n % 10 == 0 => 8.0,
                Traffic::Half if n == 0 => f64::from(case.gateways - 1),
                _ => 1.0,
            })
            .collect();
        let weight: f64 = weights.iter().sum();
        let gap = 1000.0 / (case.load * CAPACITY * case.endpoints as f64);
        let (mut when, mut id) = (0.0, 0);
        while when < END {
            when -= self.random.share().max(1e-12).ln() * gap;
            id += 1;
            let mut drawn = self.random.share() * weight;
            let gateway = weights.iter().position(|w| {
                drawn -= w;
                drawn < 0.0
            });
            let gateway = gateway.unwrap_or(0);
            let arrival = Arrival {
                id,
                tenant: format!("c{gateway}").as_str().into(),
                plan: "plain".into(),
                class: "idempotent".into(),
                units: 1.0,
                client_retry: false,
                time_to_deadline: 3000.0,
                first_gateway: gateway as u32,
                gateways_per_tenant: 1,
            };
            self.schedule.at(when, Step::Handle(gateway, Event::RequestArrived(arrival)));
        }
    }

    fn play(&mut self) {
        self.schedule_all();
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
                Step::LearnStart(gateway) => {
                    self.learned[gateway] = true;
                    let starting =
                        self.forwarded.keys().map(|name| endpoint(name, EndpointState::Ready, Some(START)));
                    let changes = Event::EndpointDelta(starting.collect());
                    self.handle(gateway, changes);
                }
            }
        }
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
            forwarded.push((self.now, self.learned[gateway]));
        }
        let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
        let (failure, fraction) = self.case.failures;
        let spared = fraction == 1.0 && (self.now < START || self.forwarded.contains_key(&endpoint));
        let outcome = if !spared && self.random.share() < fraction { failure } else { Outcome::Served };
        let latency = match outcome {
            Outcome::Rejected => 2.0,
            Outcome::TimedOut => 2000.0,
            _ => LATENCY,
        };
        let finished = outcome == Outcome::Served;
        let end = AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            latency,
            actual_units: None,
            request_finished: finished,
            load_report: None,
        };
        self.schedule.at(self.now + latency, Step::Handle(gateway, Event::AttemptEnded(end)));
    }

    /// Returns the worst window of all endpoints in slow start, as a ratio to its budget. A window of which a
    /// third or more came from gateways that did not know of the start counts with what the others forwarded.
    fn worst(&self) -> f64 {
        let set = &self.settings;
        let mut worst: f64 = 0.0;
        for forwarded in self.forwarded.values() {
            for (first, (from, _)) in forwarded.iter().enumerate() {
                let age = (from - START) / set.slow_start_duration;
                let share =
                    set.slow_start_initial_fraction + (1.0 - set.slow_start_initial_fraction) * age.min(1.0);
                let n = set.overload_factor * share * CAPACITY * set.overload_window / 1000.0;
                let window = forwarded[first..].iter().take_while(|(at, _)| at - from < set.overload_window);
                let (sum, informed) = window.fold((0.0, 0.0), |(sum, informed), (_, knew)| {
                    (sum + 1.0, informed + f64::from(u8::from(*knew)))
                });
                let counts = if informed * 1.5 >= sum { sum } else { informed };
                worst = worst.max(counts / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        worst
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
            let (worst, to_starting) = (fleet.worst(), fleet.forwarded.values().map(Vec::len).sum::<usize>());
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
    assert_held(&failures.map(|outcome| Case { starting: 0.3, failures: (outcome, 1.0), ..CASE }));
}

#[test]
fn retries_count_against_the_slow_start_budget() {
    let failures = [
        (Outcome::Error, 0.3),
        (Outcome::ConnectionReset, 0.3),
        (Outcome::Rejected, 0.1),
        (Outcome::Rejected, 0.3),
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
    let lost = Case { starting: 0.3, failures: (Outcome::ConnectFailed, 1.0), ..CASE };
    assert_held_at(&[(20, 60)], &[Case { starting: 1.0, restarted: true, ..CASE }, lost]);
}

#[test]
fn retries_add_nothing_where_many_endpoints_are_in_slow_start() {
    let errors = Case { failures: (Outcome::Error, 0.3), ..CASE };
    assert_held(&[Case { starting: 0.5, ..errors }, Case { starting: 1.0, restarted: true, ..errors }]);
}
