//! A tenant's hard ceiling across several gateways with one counter, simulated in virtual time. Covers
//! consecutive windows, an unavailable counter, lost counts, gateway restarts, and requests of several units.
//! `--nocapture` prints the lowest number of units left under the ceiling.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

const END: Millis = 30_000.0;
/// The index of the plan with a ceiling in the settings.
const CEILING_PLAN: usize = 1;
/// The refill rate of the ceiling, in units per second, before the factor of the case.
const CEILING_BASE_RATE: f64 = 5.0;
/// The period of the tenant's alternating activity and inactivity.
const ACTIVITY_PERIOD: Millis = 3000.0;
/// The minimum number of forwarded requests for a case to be meaningful.
const MIN_FORWARDED: usize = 30;

/// A span of time.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Millis,
    until: Millis,
}

impl Span {
    fn contains(&self, time: Millis) -> bool {
        (self.from..self.until).contains(&time)
    }
}

/// A scenario with one tenant, whose demand is far above its ceiling while it is active.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: u32,
    /// Each request uses from one unit to this many.
    max_units: u64,
    burst: f64,
    /// The plan's rate in units per second, or 0 if it has only a ceiling.
    rate: f64,
    /// The ceiling as a multiple of [`CEILING_BASE_RATE`] and the burst.
    ceiling: f64,
    /// When the counter is unavailable.
    outage: Span,
    /// Whether the counter has lost all counts at the end of the outage.
    loses_counts: bool,
    /// The interval at which the counter loses all counts.
    loss_interval: Millis,
    /// The time between two restarts of a gateway. Gateways restart one after another, evenly spaced.
    lifetime: Millis,
    /// The fraction of each [`ACTIVITY_PERIOD`] in which the tenant sends requests.
    active_fraction: f64,
}

impl Case {
    fn settings(&self) -> Settings {
        let mut settings = settings();
        let plan = &mut settings.plans[CEILING_PLAN];
        plan.rate = self.rate;
        plan.burst = self.burst;
        plan.ceiling_rate = CEILING_BASE_RATE * self.ceiling;
        plan.ceiling_burst = self.burst * self.ceiling;
        plan.ceiling_slack = (0.1 * plan.ceiling_burst).max(self.max_units as f64);
        settings.gateway_count = self.gateways;
        settings.max_units = self.max_units as f64;
        settings
    }

    /// Returns the time between the restarts of one gateway and the next.
    fn restart_interval(&self) -> Millis {
        self.lifetime / f64::from(self.gateways)
    }
}

const NEVER: Millis = 1e9;
/// An outage of the counter, from 7 s to 15 s of the 30 s simulated.
const OUTAGE: Span = Span { from: 7000.0, until: 15_000.0 };
const BASE_CASE: Case = Case {
    gateways: 4,
    max_units: 1,
    burst: 20.0,
    rate: 5.0,
    ceiling: 1.6,
    outage: Span { from: NEVER, until: NEVER },
    loses_counts: false,
    loss_interval: NEVER,
    lifetime: NEVER,
    active_fraction: 1.0,
};

/// A scheduled step of the simulation; the number is the index of a gateway.
enum Step {
    Handle(u32, Event),
    Request(u32),
    Restart(u32),
    LoseCounts,
}

/// The simulated gateways and counter, and the units that the tenant has left under its ceiling.
struct Fleet {
    case: Case,
    settings: Settings,
    random: Random,
    gateways: Vec<PolicyEngine>,
    /// The number of gateway processes started so far.
    started: u64,
    schedule: Schedule<Step>,
    now: Millis,
    counter: FakeCounter,
    /// The units of each request.
    units: BTreeMap<RequestId, f64>,
    /// The units left under the ceiling, as of `refilled_at`.
    level: f64,
    refilled_at: Millis,
    /// The lowest level so far.
    lowest_level: f64,
    forwarded: usize,
}

impl Fleet {
    fn new(case: Case) -> Self {
        let settings = case.settings();
        let level = settings.plans[CEILING_PLAN].ceiling_burst;
        let mut fleet = Self {
            case,
            settings,
            random: Random(11),
            gateways: Vec::new(),
            started: 0,
            schedule: Schedule::new(),
            now: 0.0,
            counter: FakeCounter::default(),
            units: BTreeMap::new(),
            level,
            refilled_at: 0.0,
            lowest_level: level,
            forwarded: 0,
        };
        for number in 0..case.gateways {
            let gateway = fleet.start(number);
            fleet.gateways.push(gateway);
            fleet.schedule.at(0.0, Step::Request(number));
        }
        fleet.schedule_faults();
        fleet
    }

    /// Schedules the first restart, the first periodic loss of counts, and the loss after the outage.
    fn schedule_faults(&mut self) {
        self.schedule.at(self.case.restart_interval(), Step::Restart(0));
        self.schedule.at(self.case.loss_interval, Step::LoseCounts);
        if self.case.loses_counts {
            self.schedule.at(self.case.outage.until, Step::LoseCounts);
        }
    }

    fn start(&mut self, number: u32) -> PolicyEngine {
        self.started += 1;
        let settings = Settings { gateway_index: number, ..self.settings.clone() };
        let gateway = PolicyEngine::new(settings, 7919 * self.started).expect("usable settings");
        let list = (0..20).map(|index| endpoint(&format!("a{index}"), EndpointState::Ready, None)).collect();
        self.schedule.at(self.now, Step::Handle(number, Event::EndpointSnapshot(list)));
        gateway
    }

    fn run(&mut self) {
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
                    self.schedule.at(now + self.case.restart_interval(), Step::Restart(next));
                }
                Step::Request(gateway) => {
                    self.schedule.at(now + 20.0 + 20.0 * self.random.unit(), Step::Request(gateway));
                    if now % ACTIVITY_PERIOD < ACTIVITY_PERIOD * self.case.active_fraction {
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
            units,
            gateways_per_tenant: self.case.gateways,
            ..arrival(id, "c", "ceiling", "idempotent")
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
                    let available = !self.case.outage.contains(self.now);
                    let (latency, reply) = self.counter.increment(key, amount, available);
                    self.schedule.at(self.now + latency, Step::Handle(gateway, reply));
                }
                Action::ForwardAttempt { id, endpoint, .. } => self.forward(gateway, id, endpoint),
                _ => {}
            }
        }
    }

    fn forward(&mut self, gateway: u32, id: RequestId, endpoint: Name) {
        let plan = &self.settings.plans[CEILING_PLAN];
        let refilled = self.level + plan.ceiling_rate * (self.now - self.refilled_at) / 1000.0;
        self.level = refilled.min(plan.ceiling_burst) - self.units[&id];
        self.refilled_at = self.now;
        self.forwarded += 1;
        self.lowest_level = self.lowest_level.min(self.level);
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

/// Asserts that no case exceeds its ceiling by more than the slack, and that each forwards enough requests.
fn assert_ceiling_holds(cases: &[Case]) {
    let mut violations = Vec::new();
    for case in cases {
        let mut fleet = Fleet::new(*case);
        fleet.run();
        let slack = fleet.settings.plans[CEILING_PLAN].ceiling_slack;
        let line = format!(
            "lowest level {:.1}, minimum allowed -{slack}, {} forwarded: {case:?}",
            fleet.lowest_level, fleet.forwarded
        );
        println!("{line}");
        if fleet.lowest_level < -slack || fleet.forwarded < MIN_FORWARDED {
            violations.push(line);
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Returns variants of a case with different numbers of gateways and maximum units. The number of gateways is
/// limited so that the ceiling's burst allows two of the largest requests for each.
fn at_all_sizes(case: Case) -> Vec<Case> {
    let max_gateways = |max_units: u64| (case.ceiling * case.burst / 2.0 / max_units as f64) as u32;
    [(1, 1), (4, 1), (16, 1), (2, 5), (4, 4)]
        .map(|(gateways, max_units)| Case {
            gateways: max_gateways(max_units).min(gateways),
            max_units,
            ..case
        })
        .to_vec()
}

#[test]
fn consecutive_windows_stay_under_the_ceiling() {
    for active_fraction in [1.0, 0.2] {
        assert_ceiling_holds(&at_all_sizes(Case { active_fraction, ..BASE_CASE }));
    }
}

#[test]
fn ceiling_holds_when_the_counter_recovers_with_or_without_its_counts() {
    for loses_counts in [false, true] {
        for active_fraction in [1.0, 0.2] {
            assert_ceiling_holds(&at_all_sizes(Case {
                outage: OUTAGE,
                loses_counts,
                active_fraction,
                ..BASE_CASE
            }));
        }
    }
}

#[test]
fn ceiling_holds_when_the_counter_loses_its_counts_repeatedly() {
    assert_ceiling_holds(&at_all_sizes(Case { loss_interval: 2300.0, ..BASE_CASE }));
}

#[test]
fn ceiling_holds_when_gateways_restart() {
    assert_ceiling_holds(&at_all_sizes(Case { lifetime: 900.0, ..BASE_CASE }));
    // A gateway that restarts during the outage has no reading, and starts with its part of half a burst.
    assert_ceiling_holds(&at_all_sizes(Case {
        lifetime: 4000.0,
        outage: OUTAGE,
        loses_counts: true,
        ..BASE_CASE
    }));
}

#[test]
fn ceiling_without_a_rate_quota_is_held() {
    assert_ceiling_holds(&at_all_sizes(Case { rate: 0.0, ..BASE_CASE }));
}

#[test]
fn ceiling_close_to_the_quota_is_held() {
    let cases_at = |ceiling| {
        let base = Case { ceiling, ..BASE_CASE };
        let with_losses = Case { loss_interval: 2300.0, ..base };
        let with_restarts = Case { lifetime: 4000.0, outage: OUTAGE, loses_counts: true, ..base };
        [base, with_losses, with_restarts].into_iter().flat_map(at_all_sizes)
    };
    assert_ceiling_holds(&[1.0, 1.2, 1.4].into_iter().flat_map(cases_at).collect::<Vec<_>>());
}
