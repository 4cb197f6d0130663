//! The fleet clocks of all gateways of a fleet in virtual time: they agree although their wall clocks differ,
//! also if all start at once, and the number of calls does not grow with the fleet.

mod common;
use common::*;
use ryefront_policy::fleet_clock::{FleetClock, REGISTER_TTL, TIME_MODULUS};
use ryefront_policy::*;
use std::collections::HashMap;

const HOUR: Millis = 3_600_000.0;
/// The start of virtual time; each gateway's wall clock is ahead by its skew.
const START_TIME: Millis = 1_796_000_000_000.0;

enum Step {
    Poll(usize),
    Reply(usize, CounterResult),
}

struct Gateway {
    clock: FleetClock,
    /// How far its wall clock is ahead of virtual time.
    skew: Millis,
}

/// The total of a counter key.
struct CounterEntry {
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
    entries: HashMap<u64, CounterEntry>,
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
            entries: HashMap::new(),
            counter_available: true,
            calls: 0,
        };
        for index in 0..gateways {
            let skew = skew(index);
            let clock = FleetClock::new(gateways, u64::from(index), START_TIME + skew);
            fleet.gateways.push(Gateway { clock, skew });
            fleet.schedule.at(0.0, Step::Poll(index as usize));
        }
        fleet
    }

    /// Runs the simulation until a time.
    fn run(&mut self, until: Millis) {
        while let Some((now, step)) = self.schedule.next() {
            if now > until {
                return self.schedule.at(now, step);
            }
            match step {
                Step::Poll(index) => {
                    self.call(index, now);
                    self.schedule.at(now + 20.0, Step::Poll(index));
                }
                Step::Reply(index, result) => {
                    let gateway = &mut self.gateways[index];
                    gateway.clock.record_reply(START_TIME + now + gateway.skew, result);
                    self.call(index, now);
                }
            }
        }
    }

    fn call(&mut self, index: usize, now: Millis) {
        let gateway = &mut self.gateways[index];
        let Some(call) = gateway.clock.poll(START_TIME + now + gateway.skew) else { return };
        self.calls += 1;
        let arrives_at = now + 1.0 + self.random.unit();
        let entry = self.entries.entry(call.key).or_insert(CounterEntry { value: 0.0, expires_at: 0.0 });
        if entry.expires_at <= arrives_at {
            *entry = CounterEntry { value: 0.0, expires_at: arrives_at + call.ttl };
        }
        entry.value += call.amount;
        let result =
            if self.counter_available { CounterResult::Total(entry.value) } else { CounterResult::Unknown };
        self.schedule.at(arrives_at + 1.0, Step::Reply(index, result));
    }

    fn agreement(&self) -> Agreement {
        let synchronized = self.gateways.iter().filter_map(|gateway| match gateway.clock.time() {
            FleetTime::Synchronized { offset } => Some(gateway.skew + offset),
            _ => None,
        });
        let times: Vec<_> = synchronized.collect();
        let first = times.first().copied().unwrap_or_default();
        let nearest_difference =
            |time: Millis| (time - first + TIME_MODULUS / 2.0).rem_euclid(TIME_MODULUS) - TIME_MODULUS / 2.0;
        let (low, high) = times.iter().fold((0.0, 0.0), |(low, high): (f64, f64), time| {
            (low.min(nearest_difference(*time)), high.max(nearest_difference(*time)))
        });
        Agreement { spread: high - low, synchronized: times.len() }
    }
}

#[test]
fn gateways_agree_although_their_wall_clocks_differ() {
    for gateways in [2, 3, 16, 300] {
        // Smaller differences than REGISTER_TTL may not be detected at first.
        for skew in [HOUR, -HOUR, 3000.0, -1500.0] {
            // The clock of every third gateway differs.
            let mut fleet = Fleet::new(gateways, |n| if n % 3 == 1 { skew } else { 0.0 });
            fleet.run(10_000.0);
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

        fleet.run(12_000.0);
        let calls_at_start = fleet.calls;
        fleet.run(32_000.0);
        let calls_per_second = (fleet.calls - calls_at_start) as f64 / 20.0;
        println!(
            "{gateways} gateways: {calls_at_start} calls at the start, then {calls_per_second:.1} a second"
        );

        let Agreement { spread, synchronized } = fleet.agreement();
        assert_eq!((spread, synchronized), (0.0, gateways as usize));
        assert!(calls_per_second <= 8.0, "{gateways} gateways: {calls_per_second} calls a second");
    }
}

#[test]
fn clocks_back_off_from_an_unavailable_counter_and_agree_after_its_recovery() {
    let mut fleet = Fleet::new(4, |n| if n == 1 { HOUR } else { 0.0 });
    fleet.counter_available = false;

    fleet.run(20_000.0);

    assert_eq!(fleet.agreement().synchronized, 0, "no gateway is synchronized");
    assert!(fleet.calls <= 4 * 20, "{} calls in 20 s", fleet.calls);

    // Times that were written without a reply remain in the register until they expire.
    fleet.counter_available = true;

    fleet.run(20_000.0 + 8.0 * REGISTER_TTL);
    let Agreement { spread, synchronized } = fleet.agreement();

    assert!(synchronized == 4 && spread <= 400.0, "{synchronized} synchronized, {spread} ms apart");
}
