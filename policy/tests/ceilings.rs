//! The hard ceiling over several gateways with one counter, in virtual time: through windows back to back, silence, a
//! counter that comes back empty, restarts and requests of several units. `--nocapture` prints the lowest store.

mod helper;
use helper::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

const END: Millis = 30_000.0;

/// One tenant under a ceiling, that asks far more than it may at all of its gateways.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    /// Requests take from one unit up to this many.
    most_units: u64,
    burst: f64,
    /// The plan's rate; 0 where the ceiling is its only bound. The ceiling is this many times 5 units a second
    /// and the burst.
    rate: f64,
    ceiling: f64,
    /// When the counter says nothing, and whether it has lost all counts then.
    silent: (Millis, Millis),
    emptied: bool,
    /// The counter loses all counts this often.
    loses: Millis,
    /// Each gateway lives this long; they are started anew one after the other.
    lives: Millis,
    /// The tenant asks in this share of each 3 s.
    asks: f64,
}

const NEVER: Millis = 1e9;
const CASE: Case = Case {
    gateways: 4,
    most_units: 1,
    burst: 20.0,
    rate: 5.0,
    ceiling: 1.6,
    silent: (NEVER, NEVER),
    emptied: false,
    loses: NEVER,
    lives: NEVER,
    asks: 1.0,
};

enum Step {
    Tell(u32, Event),
    Ask(u32),
    Restart(u32),
    Lose,
}

struct Fleet {
    case: Case,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    started: u64,
    agenda: Agenda<Step>,
    now: Millis,
    totals: BTreeMap<u64, f64>,
    units: BTreeMap<RequestId, f64>,
    /// The ceiling's store, when it was looked at, and the lowest it fell to.
    store: f64,
    filled: Millis,
    lowest: f64,
    sent: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let mut set = settings();
        let plan = &mut set.plans[1];
        (plan.rate, plan.burst) = (case.rate, case.burst);
        (plan.ceiling_rate, plan.ceiling_burst) = (5.0 * case.ceiling, case.burst * case.ceiling);
        plan.ceiling_slack = (0.1 * plan.ceiling_burst).max(case.most_units as f64);
        (set.gateway_count, set.max_units) = (case.gateways, case.most_units as f64);
        let store = plan.ceiling_burst;
        let mut fleet = Self {
            case,
            settings: set,
            random: Random(11),
            gateways: Vec::new(),
            started: 0,
            agenda: Agenda::new(),
            now: 0.0,
            totals: BTreeMap::new(),
            units: BTreeMap::new(),
            store,
            filled: 0.0,
            lowest: store,
            sent: 0,
        };
        for number in 0..case.gateways {
            let gateway = fleet.start(number);
            fleet.gateways.push(gateway);
            fleet.agenda.at(0.0, Step::Ask(number));
        }
        fleet.agenda.at(case.lives / f64::from(case.gateways), Step::Restart(0));
        fleet.agenda.at(case.loses, Step::Lose);
        if case.emptied {
            fleet.agenda.at(case.silent.1, Step::Lose);
        }
        fleet
    }

    fn start(&mut self, number: u32) -> PolicyEngine {
        self.started += 1;
        let set = Settings { gateway_index: number, ..self.settings.clone() };
        let gateway = PolicyEngine::new(set, 7919 * self.started).expect("usable settings");
        let list = (0..20).map(|n| endpoint(&format!("a{n}"), EndpointState::Ready, None)).collect();
        self.agenda.at(self.now, Step::Tell(number, Event::EndpointSnapshot(list)));
        gateway
    }

    fn play(&mut self) {
        while let Some((now, step)) = self.agenda.next().filter(|(now, _)| *now <= END) {
            self.now = now;
            match step {
                Step::Tell(gateway, event) => self.tell(gateway, event),
                Step::Lose => {
                    self.totals.clear();
                    self.agenda.at(now + self.case.loses, Step::Lose);
                }
                Step::Restart(gateway) => {
                    self.gateways[gateway as usize] = self.start(gateway);
                    let next = (gateway + 1) % self.case.gateways;
                    let after = self.case.lives / f64::from(self.case.gateways);
                    self.agenda.at(now + after, Step::Restart(next));
                }
                Step::Ask(gateway) => {
                    self.agenda.at(now + 20.0 + 20.0 * self.random.share(), Step::Ask(gateway));
                    if now % 3000.0 < 3000.0 * self.case.asks {
                        self.ask(gateway);
                    }
                }
            }
        }
    }

    fn ask(&mut self, gateway: u32) {
        let id = self.units.len() as RequestId + 1;
        let units = 1.0 + self.random.below(self.case.most_units) as f64;
        self.units.insert(id, units);
        let arrival = Arrival {
            id,
            tenant: "c".into(),
            plan: "ceiling".into(),
            class: "safe".into(),
            units,
            client_retry: false,
            time_to_deadline: 2000.0,
            first_gateway: 0,
            gateways_per_tenant: self.case.gateways,
        };
        self.tell(gateway, Event::RequestArrived(arrival));
    }

    fn tell(&mut self, gateway: u32, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway as usize].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.agenda.at(self.now + after, Step::Tell(gateway, Event::Timer { token }));
                }
                Action::IncrementCounter { key: name, amount, .. } => {
                    let (from, until) = self.case.silent;
                    let (outcome, latency) = if self.now < from || self.now >= until {
                        let total = self.totals.entry(name).or_default();
                        *total += amount;
                        (CounterResult::Total(*total), 2.0)
                    } else {
                        (CounterResult::Unknown, 50.0)
                    };
                    let counted = Event::CounterReply { key: name, result: outcome, latency };
                    self.agenda.at(self.now + latency, Step::Tell(gateway, counted));
                }
                Action::ForwardAttempt { id, endpoint, .. } => self.send(gateway, id, endpoint),
                _ => {}
            }
        }
    }

    fn send(&mut self, gateway: u32, id: RequestId, endpoint: Name) {
        let plan = &self.settings.plans[1];
        let filled = self.store + plan.ceiling_rate * (self.now - self.filled) / 1000.0;
        self.store = filled.min(plan.ceiling_burst) - self.units[&id];
        (self.filled, self.sent) = (self.now, self.sent + 1);
        self.lowest = self.lowest.min(self.store);
        let end = AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome: Outcome::Served,
            latency: 10.0,
            actual_units: None,
            request_finished: true,
            load_report: None,
        };
        self.agenda.at(self.now + 10.0, Step::Tell(gateway, Event::AttemptEnded(end)));
    }
}

fn hold(cases: &[Case]) {
    let mut over = Vec::new();
    for case in cases {
        let mut fleet = Fleet::new(*case);
        fleet.play();
        let slack = fleet.settings.plans[1].ceiling_slack;
        let line = format!("lowest {:.1} of -{slack}, {} sent: {case:?}", fleet.lowest, fleet.sent);
        println!("{line}");
        if fleet.lowest < -slack || fleet.sent < 30 {
            over.push(line);
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// With one gateway, some, and as many as may share such a tenant (its ceiling holds two of the largest requests
/// for each); with small and large requests.
fn sizes(case: Case) -> Vec<Case> {
    let most = |most_units: u64| (case.ceiling * case.burst / 2.0 / most_units as f64) as u32;
    [(1, 1), (4, 1), (16, 1), (2, 5), (4, 4)]
        .map(|(gateways, most_units)| Case { gateways: most(most_units).min(gateways), most_units, ..case })
        .to_vec()
}

#[test]
fn windows_back_to_back_stay_under_the_ceiling() {
    for asks in [1.0, 0.2] {
        hold(&sizes(Case { asks, ..CASE }));
    }
}

#[test]
fn a_silent_counter_that_comes_back_with_or_without_its_counts_stays_under_the_ceiling() {
    for emptied in [false, true] {
        for asks in [1.0, 0.2] {
            hold(&sizes(Case { silent: (7000.0, 15_000.0), emptied, asks, ..CASE }));
        }
    }
}

#[test]
fn a_counter_that_loses_its_counts_again_and_again_stays_under_the_ceiling() {
    hold(&sizes(Case { loses: 2300.0, ..CASE }));
}

#[test]
fn gateways_that_are_started_anew_stay_under_the_ceiling() {
    hold(&sizes(Case { lives: 900.0, ..CASE }));
    // In silence a new gateway has nothing to go by, and starts from half a burst between them all.
    hold(&sizes(Case { lives: 4000.0, silent: (7000.0, 15_000.0), emptied: true, ..CASE }));
}

#[test]
fn a_ceiling_without_a_quota_under_it_is_held() {
    hold(&sizes(Case { rate: 0.0, ..CASE }));
}

#[test]
fn a_ceiling_that_is_close_to_the_quota_is_held() {
    let near = |ceiling| {
        let near = Case { ceiling, ..CASE };
        let lost = Case { loses: 2300.0, ..near };
        let anew = Case { lives: 4000.0, silent: (7000.0, 15_000.0), emptied: true, ..near };
        [near, lost, anew].into_iter().flat_map(sizes)
    };
    hold(&[1.0, 1.2, 1.4].into_iter().flat_map(near).collect::<Vec<_>>());
}
