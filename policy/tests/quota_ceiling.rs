//! The hard ceiling over several gateways with one counter, in virtual time: through consecutive windows, an
//! unavailable counter, one that loses its counts, restarts, and requests of several units. `--nocapture`
//! prints the lowest level.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

const END: Millis = 30_000.0;

/// One tenant under a ceiling, whose demand at all of its gateways is far above it.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    /// Requests use from one unit up to this many.
    max_units: u64,
    burst: f64,
    /// The plan's rate; 0 where the ceiling is its only bound. The ceiling is this many times 5 units a
    /// second and the burst.
    rate: f64,
    ceiling: f64,
    /// When the counter is unavailable, and whether it has lost all counts afterwards.
    unavailable: (Millis, Millis),
    loses_counts: bool,
    /// The counter loses all counts this often.
    loss_interval: Millis,
    /// Each gateway runs this long; they restart one after the other.
    lifetime: Millis,
    /// The tenant is active in this fraction of each 3 s.
    active: f64,
}

const NEVER: Millis = 1e9;
const CASE: Case = Case {
    gateways: 4,
    max_units: 1,
    burst: 20.0,
    rate: 5.0,
    ceiling: 1.6,
    unavailable: (NEVER, NEVER),
    loses_counts: false,
    loss_interval: NEVER,
    lifetime: NEVER,
    active: 1.0,
};

enum Step {
    Handle(u32, Event),
    Request(u32),
    Restart(u32),
    LoseCounts,
}

struct Fleet {
    case: Case,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    started: u64,
    schedule: Schedule<Step>,
    now: Millis,
    counter: CounterStandIn,
    units: BTreeMap<RequestId, f64>,
    /// The units left under the ceiling, when they were computed, and the least there have been.
    level: f64,
    refilled_at: Millis,
    lowest: f64,
    forwarded: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let mut set = settings();
        let plan = &mut set.plans[1];
        (plan.rate, plan.burst) = (case.rate, case.burst);
        (plan.ceiling_rate, plan.ceiling_burst) = (5.0 * case.ceiling, case.burst * case.ceiling);
        plan.ceiling_slack = (0.1 * plan.ceiling_burst).max(case.max_units as f64);
        (set.gateway_count, set.max_units) = (case.gateways, case.max_units as f64);
        let level = plan.ceiling_burst;
        let mut fleet = Self {
            case,
            settings: set,
            random: Random(11),
            gateways: Vec::new(),
            started: 0,
            schedule: Schedule::new(),
            now: 0.0,
            counter: CounterStandIn::default(),
            units: BTreeMap::new(),
            level,
            refilled_at: 0.0,
            lowest: level,
            forwarded: 0,
        };
        for number in 0..case.gateways {
            let gateway = fleet.start(number);
            fleet.gateways.push(gateway);
            fleet.schedule.at(0.0, Step::Request(number));
        }
        fleet.schedule.at(case.lifetime / f64::from(case.gateways), Step::Restart(0));
        fleet.schedule.at(case.loss_interval, Step::LoseCounts);
        if case.loses_counts {
            fleet.schedule.at(case.unavailable.1, Step::LoseCounts);
        }
        fleet
    }

    fn start(&mut self, number: u32) -> PolicyEngine {
        self.started += 1;
        let set = Settings { gateway_index: number, ..self.settings.clone() };
        let gateway = PolicyEngine::new(set, 7919 * self.started).expect("usable settings");
        let list = (0..20).map(|n| endpoint(&format!("a{n}"), EndpointState::Ready, None)).collect();
        self.schedule.at(self.now, Step::Handle(number, Event::EndpointSnapshot(list)));
        gateway
    }

    fn play(&mut self) {
        while let Some((now, step)) = self.schedule.next().filter(|(now, _)| *now <= END) {
            self.now = now;
            match step {
                Step::Handle(gateway, event) => self.handle(gateway, event),
                Step::LoseCounts => {
                    self.counter.lose_counts();
                    self.schedule.at(now + self.case.loss_interval, Step::LoseCounts);
                }
                Step::Restart(gateway) => {
                    self.gateways[gateway as usize] = self.start(gateway);
                    let next = (gateway + 1) % self.case.gateways;
                    let after = self.case.lifetime / f64::from(self.case.gateways);
                    self.schedule.at(now + after, Step::Restart(next));
                }
                Step::Request(gateway) => {
                    self.schedule.at(now + 20.0 + 20.0 * self.random.share(), Step::Request(gateway));
                    if now % 3000.0 < 3000.0 * self.case.active {
                        self.request(gateway);
                    }
                }
            }
        }
    }

    fn request(&mut self, gateway: u32) {
        let id = self.units.len() as RequestId + 1;
        let units = 1.0 + self.random.below(self.case.max_units) as f64;
        self.units.insert(id, units);
        let arrival = Arrival {
            id,
            tenant: "c".into(),
            plan: "ceiling".into(),
            class: "idempotent".into(),
            units,
            client_retry: false,
            time_to_deadline: 2000.0,
            first_gateway: 0,
            gateways_per_tenant: self.case.gateways,
        };
        self.handle(gateway, Event::RequestArrived(arrival));
    }

    fn handle(&mut self, gateway: u32, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway as usize].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    self.schedule.at(self.now + after, Step::Handle(gateway, Event::Timer { token }));
                }
                Action::IncrementCounter { key, amount, .. } => {
                    let (from, until) = self.case.unavailable;
                    let available = self.now < from || self.now >= until;
                    let (latency, reply) = self.counter.call(key, amount, available);
                    self.schedule.at(self.now + latency, Step::Handle(gateway, reply));
                }
                Action::ForwardAttempt { id, endpoint, .. } => self.forward(gateway, id, endpoint),
                _ => {}
            }
        }
    }

    fn forward(&mut self, gateway: u32, id: RequestId, endpoint: Name) {
        let plan = &self.settings.plans[1];
        let refilled = self.level + plan.ceiling_rate * (self.now - self.refilled_at) / 1000.0;
        self.level = refilled.min(plan.ceiling_burst) - self.units[&id];
        self.refilled_at = self.now;
        self.forwarded += 1;
        self.lowest = self.lowest.min(self.level);
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
        self.schedule.at(self.now + 10.0, Step::Handle(gateway, Event::AttemptEnded(end)));
    }
}

fn assert_held(cases: &[Case]) {
    let mut violations = Vec::new();
    for case in cases {
        let mut fleet = Fleet::new(*case);
        fleet.play();
        let slack = fleet.settings.plans[1].ceiling_slack;
        let line = format!("lowest {:.1} of -{slack}, {} forwarded: {case:?}", fleet.lowest, fleet.forwarded);
        println!("{line}");
        if fleet.lowest < -slack || fleet.forwarded < 30 {
            violations.push(line);
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The case with one gateway, some, and as many as may serve such a tenant (its ceiling holds two of the
/// largest requests for each); with small and large requests.
fn sizes(case: Case) -> Vec<Case> {
    let most = |max_units: u64| (case.ceiling * case.burst / 2.0 / max_units as f64) as u32;
    [(1, 1), (4, 1), (16, 1), (2, 5), (4, 4)]
        .map(|(gateways, max_units)| Case { gateways: most(max_units).min(gateways), max_units, ..case })
        .to_vec()
}

#[test]
fn consecutive_windows_stay_under_the_ceiling() {
    for active in [1.0, 0.2] {
        assert_held(&sizes(Case { active, ..CASE }));
    }
}

#[test]
fn ceiling_holds_when_the_counter_recovers_with_or_without_its_counts() {
    for loses_counts in [false, true] {
        for active in [1.0, 0.2] {
            assert_held(&sizes(Case { unavailable: (7000.0, 15_000.0), loses_counts, active, ..CASE }));
        }
    }
}

#[test]
fn ceiling_holds_when_the_counter_loses_its_counts_repeatedly() {
    assert_held(&sizes(Case { loss_interval: 2300.0, ..CASE }));
}

#[test]
fn ceiling_holds_when_gateways_restart() {
    assert_held(&sizes(Case { lifetime: 900.0, ..CASE }));
    // Without the counter a restarted gateway has no reading, and starts from its part of half a burst.
    assert_held(&sizes(Case {
        lifetime: 4000.0,
        unavailable: (7000.0, 15_000.0),
        loses_counts: true,
        ..CASE
    }));
}

#[test]
fn ceiling_without_a_rate_quota_is_held() {
    assert_held(&sizes(Case { rate: 0.0, ..CASE }));
}

#[test]
fn ceiling_close_to_the_quota_is_held() {
    let near = |ceiling| {
        let near = Case { ceiling, ..CASE };
        let lossy = Case { loss_interval: 2300.0, ..near };
        let restarted =
            Case { lifetime: 4000.0, unavailable: (7000.0, 15_000.0), loses_counts: true, ..near };
        [near, lossy, restarted].into_iter().flat_map(sizes)
    };
    assert_held(&[1.0, 1.2, 1.4].into_iter().flat_map(near).collect::<Vec<_>>());
}
