//! The fleet's clock over all gateways of a fleet in virtual time: they agree whatever their wall clocks say,
//! also if all start at once, and the number of calls does not grow with the fleet.

mod common;
use common::*;
use ryefront_policy::fleet_clock::{FleetClock, REGISTER_TTL, TIME_MODULUS};
use ryefront_policy::*;
use std::collections::HashMap;

const HOUR: Millis = 3_600_000.0;
/// The start of virtual time; each gateway's wall clock is ahead by its skew.
const BEGIN: Millis = 1_796_000_000_000.0;

enum Step {
    Poll(usize),
    Reply(usize, CounterResult),
}

struct Gateway {
    clock: FleetClock,
    /// How far its wall clock is ahead of virtual time.
    skew: Millis,
}

/// A key of the counter.
struct Total {
    value: f64,
    expires_at: Millis,
}

/// How well the gateways of a fleet agree.
struct Agreement {
    /// The largest difference between the fleet's times at two synchronized gateways.
    spread: Millis,
    /// The number of synchronized gateways.
    synchronized: usize,
}

struct Fleet {
    gateways: Vec<Gateway>,
    schedule: Schedule<Step>,
    random: Random,
    totals: HashMap<u64, Total>,
    /// Whether the counter replies.
    counter_available: bool,
    calls: usize,
}

impl Fleet {
    fn new(gateways: u32, skew: impl Fn(u32) -> Millis) -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            schedule: Schedule::new(),
            random: Random(u64::from(gateways)),
            totals: HashMap::new(),
            counter_available: true,
            calls: 0,
        };
        for number in 0..gateways {
            let skew = skew(number);
            let clock = FleetClock::new(gateways, u64::from(number), BEGIN + skew);
            fleet.gateways.push(Gateway { clock, skew });
            fleet.schedule.at(0.0, Step::Poll(number as usize));
        }
        fleet
    }

    /// Plays until a time.
    fn play(&mut self, until: Millis) {
        while let Some((now, step)) = self.schedule.next() {
            if now > until {
                return self.schedule.at(now, step);
            }
            match step {
                Step::Poll(number) => {
                    self.call(number, now);
                    self.schedule.at(now + 20.0, Step::Poll(number));
                }
                Step::Reply(number, outcome) => {
                    let gateway = &mut self.gateways[number];
                    gateway.clock.record_reply(BEGIN + now + gateway.skew, outcome);
                    self.call(number, now);
                }
            }
        }
    }

    fn call(&mut self, number: usize, now: Millis) {
        let gateway = &mut self.gateways[number];
        let Some(call) = gateway.clock.poll(BEGIN + now + gateway.skew) else { return };
        self.calls += 1;
        let reached = now + 1.0 + self.random.unit();
        let total = self.totals.entry(call.key).or_insert(Total { value: 0.0, expires_at: 0.0 });
        if total.expires_at <= reached {
            *total = Total { value: 0.0, expires_at: reached + call.ttl };
        }
        total.value += call.amount;
        let outcome =
            if self.counter_available { CounterResult::Total(total.value) } else { CounterResult::Unknown };
        self.schedule.at(reached + 1.0, Step::Reply(number, outcome));
    }

    fn agreement(&self) -> Agreement {
        let synchronized = self.gateways.iter().filter_map(|gateway| match gateway.clock.time() {
            FleetTime::Synchronized { offset } => Some(gateway.skew + offset),
            _ => None,
        });
        let times: Vec<_> = synchronized.collect();
        let first = times.first().copied().unwrap_or_default();
        let centered =
            |time: Millis| (time - first + TIME_MODULUS / 2.0).rem_euclid(TIME_MODULUS) - TIME_MODULUS / 2.0;
        let (low, high) = times.iter().fold((0.0, 0.0), |(low, high): (f64, f64), time| {
            (low.min(centered(*time)), high.max(centered(*time)))
        });
        Agreement { spread: high - low, synchronized: times.len() }
    }
}

#[test]
fn fleets_agree_whatever_the_wall_clocks_say() {
    for gateways in [2, 3, 16, 300] {
        // Differences below the register's life may not be noticed at first.
        for skew in [HOUR, -HOUR, 3000.0, -1500.0] {
            // One of three is off.
            let mut fleet = Fleet::new(gateways, |n| if n % 3 == 1 { skew } else { 0.0 });
            fleet.play(10_000.0);
            let Agreement { spread, synchronized } = fleet.agreement();
            println!(
                "{gateways} gateways, {skew} ms: {synchronized} synchronized, {spread:.0} ms apart, {} calls",
                fleet.calls
            );
            assert_eq!(synchronized, gateways as usize);
            assert!(spread <= 400.0, "{gateways} gateways, {skew} ms: {spread} ms apart");
        }
    }
}

#[test]
fn synchronized_gateways_keep_their_time_and_calls_do_not_grow_with_the_fleet() {
    for gateways in [2, 16, 300, 900] {
        let mut fleet = Fleet::new(gateways, |_| 0.0);

        fleet.play(12_000.0);
        let before = fleet.calls;
        fleet.play(32_000.0);
        let each_second = (fleet.calls - before) as f64 / 20.0;
        println!("{gateways} gateways: {before} calls at the start, then {each_second:.1} a second");

        let Agreement { spread, synchronized } = fleet.agreement();
        assert_eq!((spread, synchronized), (0.0, gateways as usize));
        assert!(each_second <= 8.0, "{gateways} gateways: {each_second} calls a second");
    }
}

#[test]
fn clocks_back_off_from_an_unavailable_counter_and_agree_after_its_recovery() {
    let mut fleet = Fleet::new(4, |n| if n == 1 { HOUR } else { 0.0 });
    fleet.counter_available = false;

    fleet.play(20_000.0);

    assert_eq!(fleet.agreement().synchronized, 0, "no gateway is synchronized");
    assert!(fleet.calls <= 4 * 20, "{} calls in 20 s", fleet.calls);

    // Marks whose replies were lost remain until they expire.
    fleet.counter_available = true;

    fleet.play(20_000.0 + 8.0 * REGISTER_TTL);
    let Agreement { spread, synchronized } = fleet.agreement();

    assert!(synchronized == 4 && spread <= 400.0, "{synchronized} synchronized, {spread} ms apart");
}
