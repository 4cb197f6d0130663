//! What all gateways together send to cold servers, counted over many gateways in one process, in virtual time.
//! A cold server falls when a window of `fall_time` brings it more than N + 2 x root of N + 2 requests, N being the
//! fall multiple x its capacity at that moment x the window. `--nocapture` prints the worst ratio of each case.

mod helper;
use helper::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// Requests of mean work a second that one warm server can do.
const CAPACITY: f64 = 40.0;
const LATENCY: Millis = 50.0;
/// When the cold servers start, and when the last request comes: all are warm by then.
const START: Millis = 1000.0;
const COLD_TIME: Millis = 5000.0;
const END: Millis = START + COLD_TIME;

/// How the requests are spread over the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Traffic {
    Even,
    /// A tenth of the gateways, one at least, see eight times what the others see.
    Eightfold,
    /// One gateway sees half of all requests.
    Half,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    servers: usize,
    /// The share of the servers that starts cold; one at least.
    cold: f64,
    /// Requests offered, as a share of what all servers could do when warm.
    load: f64,
    traffic: Traffic,
    /// How attempts fail, and which share of them; at 1 all of those at warm servers, from the start on.
    fails: (Outcome, f64),
    /// Gateways hear of the start up to this much later.
    heard: Millis,
    /// Cold servers ran before, and gateways that have not heard send to them as before.
    back: bool,
    /// Whether the counter answers.
    counter: bool,
}

const CASE: Case = Case {
    gateways: 0,
    servers: 0,
    cold: 0.0,
    load: 1.0,
    traffic: Traffic::Even,
    fails: (Outcome::Error, 0.0),
    heard: 0.0,
    back: false,
    counter: true,
};

/// The servers' names: first the warm ones, from the number given on the cold ones.
fn names(case: Case) -> (Vec<Name>, usize) {
    let cold = ((case.servers as f64 * case.cold) as usize).max(1);
    let names = (0..case.servers).map(|n| format!("a{n}").as_str().into()).collect();
    (names, case.servers - cold)
}

enum Step {
    Tell(usize, Event),
    /// The server's start is heard by a gateway.
    Started(usize),
}

struct Fleet {
    case: Case,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    agenda: Agenda<Step>,
    now: Millis,
    totals: BTreeMap<u64, f64>,
    attempts: BTreeMap<RequestId, u32>,
    told: Vec<bool>,
    /// Requests of each gateway that are neither out nor answered, and whether its housekeeping is due: it comes
    /// in time while there are any, else with the next event, which spares most of the work of hundreds of gateways.
    held: Vec<usize>,
    due: Vec<bool>,
    /// Of each cold server: when it was sent something, and whether by a gateway that had been told of its start.
    sent: BTreeMap<Name, Vec<(Millis, bool)>>,
    all: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let mut set = settings();
        (set.gateway_count, set.slow_start_duration, set.overload_window, set.overload_factor) =
            (case.gateways, COLD_TIME, 1000.0, 2.0);
        (set.plans[0].rate, set.plans[0].burst) = (500.0, 1000.0);
        let mut seeds = Random(u64::from(case.gateways));
        let gateways = (0..case.gateways)
            .map(|number| {
                let set = Settings { gateway_index: number, ..set.clone() };
                PolicyEngine::new(set, seeds.below(u64::MAX)).expect("usable settings")
            })
            .collect::<Vec<_>>();
        let (names, warm) = names(case);
        let cold = names.into_iter().skip(warm).map(|name| (name, Vec::new()));
        Self {
            case,
            settings: set,
            random: Random(7),
            told: vec![false; gateways.len()],
            held: vec![0; gateways.len()],
            due: vec![false; gateways.len()],
            gateways,
            agenda: Agenda::new(),
            now: 0.0,
            totals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent: cold.collect(),
            all: 0,
        }
    }

    /// Lists, the cold start as each gateway hears it, and all requests, drawn ahead.
    fn plan(&mut self) {
        let case = self.case;
        let (names, warm) = names(case);
        let before = if case.back { &names[..] } else { &names[..warm] };
        for gateway in 0..self.gateways.len() {
            let list = before.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
            self.agenda.at(0.0, Step::Tell(gateway, Event::EndpointSnapshot(list)));
            let late = self.random.share() * case.heard;
            self.agenda.at(START + late, Step::Started(gateway));
        }
        let weights: Vec<f64> = (0..self.gateways.len())
            .map(|n| match case.traffic {
                Traffic::Eightfold if n % 10 == 0 => 8.0,
                Traffic::Half if n == 0 => f64::from(case.gateways - 1),
                _ => 1.0,
            })
            .collect();
        let weight: f64 = weights.iter().sum();
        let gap = 1000.0 / (case.load * CAPACITY * case.servers as f64);
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
                class: "safe".into(),
                units: 1.0,
                client_retry: false,
                time_to_deadline: 3000.0,
                first_gateway: gateway as u32,
                gateways_per_tenant: 1,
            };
            self.agenda.at(when, Step::Tell(gateway, Event::RequestArrived(arrival)));
        }
    }

    fn play(&mut self) {
        self.plan();
        while let Some((now, step)) = self.agenda.next().filter(|(now, _)| *now <= END) {
            self.now = now;
            match step {
                Step::Tell(gateway, Event::Timer { token: 1 }) if self.held[gateway] == 0 => {
                    self.due[gateway] = true;
                }
                Step::Tell(gateway, event) => {
                    if std::mem::take(&mut self.due[gateway]) {
                        self.tell(gateway, Event::Timer { token: 1 });
                    }
                    self.tell(gateway, event);
                }
                Step::Started(gateway) => {
                    self.told[gateway] = true;
                    let cold = self.sent.keys().map(|name| endpoint(name, EndpointState::Ready, Some(START)));
                    let changes = Event::EndpointDelta(cold.collect());
                    self.tell(gateway, changes);
                }
            }
        }
    }

    fn tell(&mut self, gateway: usize, event: Event) {
        self.held[gateway] += match &event {
            Event::RequestArrived(_) => 1,
            Event::AttemptEnded(end) => usize::from(!end.request_finished),
            _ => 0,
        };
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            self.act(gateway, action);
        }
    }

    fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::SetTimer { after, token } => {
                self.agenda.at(self.now + after, Step::Tell(gateway, Event::Timer { token }));
            }
            Action::IncrementCounter { key: name, amount, .. } => {
                let (outcome, latency) = if self.case.counter {
                    let total = self.totals.entry(name).or_default();
                    *total += amount;
                    (CounterResult::Total(*total), 2.0)
                } else {
                    (CounterResult::Unknown, 50.0)
                };
                let counted = Event::CounterReply { key: name, result: outcome, latency };
                self.agenda.at(self.now + latency, Step::Tell(gateway, counted));
            }
            Action::ForwardAttempt { id, endpoint, .. } => {
                self.held[gateway] -= 1;
                self.send(gateway, id, endpoint);
            }
            Action::Reject { .. } | Action::Fail { .. } => self.held[gateway] -= 1,
            _ => {}
        }
    }

    fn send(&mut self, gateway: usize, id: RequestId, endpoint: Name) {
        self.all += 1;
        if let Some(sent) = self.sent.get_mut(&endpoint).filter(|_| self.now >= START) {
            sent.push((self.now, self.told[gateway]));
        }
        let attempt = *self.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
        let (bad, share) = self.case.fails;
        let spared = share == 1.0 && (self.now < START || self.sent.contains_key(&endpoint));
        let outcome = if !spared && self.random.share() < share { bad } else { Outcome::Served };
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
        self.agenda.at(self.now + latency, Step::Tell(gateway, Event::AttemptEnded(end)));
    }

    /// The worst window of all cold servers, as a ratio to its budget. A window of which a third or more came
    /// from gateways that had not heard of the start counts with what the others sent.
    fn worst(&self) -> f64 {
        let set = &self.settings;
        let mut worst: f64 = 0.0;
        for sends in self.sent.values() {
            for (first, (from, _)) in sends.iter().enumerate() {
                let age = (from - START) / set.slow_start_duration;
                let share =
                    set.slow_start_initial_fraction + (1.0 - set.slow_start_initial_fraction) * age.min(1.0);
                let n = set.overload_factor * share * CAPACITY * set.overload_window / 1000.0;
                let window = sends[first..].iter().take_while(|(at, _)| at - from < set.overload_window);
                let (sum, told) = window.fold((0.0, 0.0), |(sum, told), (_, knew)| {
                    (sum + 1.0, told + f64::from(u8::from(*knew)))
                });
                let counts = if told * 1.5 >= sum { sum } else { told };
                worst = worst.max(counts / (n + 2.0 * n.sqrt() + 2.0));
            }
        }
        worst
    }
}

/// Plays cases with few gateways and with hundreds.
fn hold(cases: &[Case]) {
    hold_at(&[(2, 10), (5, 10), (20, 20), (30, 20), (300, 30)], cases);
}

/// Plays cases with so many gateways and servers, prints the worst ratio of each and holds it under 1.
fn hold_at(sizes: &[(u32, usize)], cases: &[Case]) {
    let mut over = Vec::new();
    for case in cases {
        for &(gateways, servers) in sizes {
            let mut fleet = Fleet::new(Case { gateways, servers, ..*case });
            fleet.play();
            let (worst, cold) = (fleet.worst(), fleet.sent.values().map(Vec::len).sum::<usize>());
            let line =
                format!("{worst:.2} of the budget, {cold} of {} sends to cold: {:?}", fleet.all, fleet.case);
            println!("{line}");
            if worst >= 1.0 || cold == 0 {
                over.push(line);
            }
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

#[test]
fn one_cold_server_stays_under_its_budget_however_uneven_the_traffic() {
    let traffic = [Traffic::Even, Traffic::Eightfold, Traffic::Half];
    hold(&traffic.map(|traffic| Case { traffic, ..CASE }));
}

#[test]
fn many_cold_servers_at_once_stay_under_their_budgets() {
    let half = Case { cold: 0.5, ..CASE };
    hold(&[Case { cold: 0.1, ..CASE }, half, Case { traffic: Traffic::Eightfold, ..half }]);
}

#[test]
fn a_fleet_that_is_cold_as_a_whole_stays_under_its_budgets() {
    let whole = Case { cold: 1.0, back: true, ..CASE };
    hold(&[Case { load: 0.65, ..whole }, whole]);
}

#[test]
fn cold_servers_bear_no_more_when_the_warm_ones_are_lost() {
    let fails = [Outcome::ConnectFailed, Outcome::TimedOut];
    hold(&fails.map(|outcome| Case { cold: 0.3, fails: (outcome, 1.0), ..CASE }));
}

#[test]
fn further_attempts_count_as_first_ones_do() {
    let fails = [
        (Outcome::Error, 0.3),
        (Outcome::ConnectionReset, 0.3),
        (Outcome::Rejected, 0.1),
        (Outcome::Rejected, 0.3),
    ];
    hold(&fails.map(|fails| Case { fails, ..CASE }));
}

#[test]
fn a_start_that_is_heard_at_different_times_stays_under_its_budget() {
    let late = Case { cold: 0.2, heard: 2000.0, ..CASE };
    hold(&[late, Case { back: true, ..late }]);
}

#[test]
fn cold_servers_stay_under_their_budgets_while_the_counter_is_silent() {
    hold(&[Case { counter: false, cold: 0.1, ..CASE }]);
}

#[test]
fn who_looks_at_some_of_its_servers_at_a_time_gets_no_more_to_cold_ones_by_looking_again() {
    let lost = Case { cold: 0.3, fails: (Outcome::ConnectFailed, 1.0), ..CASE };
    hold_at(&[(20, 60)], &[Case { cold: 1.0, back: true, ..CASE }, lost]);
}

#[test]
fn further_attempts_add_nothing_at_cold_servers_where_many_are_cold() {
    let errors = Case { fails: (Outcome::Error, 0.3), ..CASE };
    hold(&[Case { cold: 0.5, ..errors }, Case { cold: 1.0, back: true, ..errors }]);
}
