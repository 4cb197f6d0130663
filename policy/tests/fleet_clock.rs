//! The clock that gateways share, over whole fleets in virtual time: they agree whatever their own clocks say, also where
//! all start at once, and the calls do not grow with the fleet.

mod helper;
use helper::*;
use ryefront_policy::fleet_clock::{CYCLE, FleetClock, LIFE};
use ryefront_policy::*;

const HOUR: Millis = 3_600_000.0;
/// Virtual time begins here; each gateway's own clock is ahead by its skew.
const BEGIN: Millis = 1_796_000_000_000.0;

enum Step {
    Poll(usize),
    Answer(usize, CounterResult),
}

struct Fleet {
    clocks: Vec<(FleetClock, Millis)>,
    agenda: Agenda<Step>,
    random: Random,
    /// The register's total and when it is forgotten.
    register: (f64, Millis),
    /// Whether the counter answers.
    answers: bool,
    calls: usize,
}

impl Fleet {
    fn new(gateways: u32, skew: impl Fn(u32) -> Millis) -> Self {
        let mut fleet = Self {
            clocks: Vec::new(),
            agenda: Agenda::new(),
            random: Random(u64::from(gateways)),
            register: (0.0, 0.0),
            answers: true,
            calls: 0,
        };
        for number in 0..gateways {
            let skew = skew(number);
            let clock = FleetClock::new(gateways, u64::from(number), BEGIN + skew);
            fleet.clocks.push((clock, skew));
            fleet.agenda.at(0.0, Step::Poll(number as usize));
        }
        fleet
    }

    /// Plays until then.
    fn play(&mut self, until: Millis) {
        while let Some((now, step)) = self.agenda.next() {
            if now > until {
                return self.agenda.at(now, step);
            }
            match step {
                Step::Poll(number) => {
                    self.call(number, now);
                    self.agenda.at(now + 20.0, Step::Poll(number));
                }
                Step::Answer(number, outcome) => {
                    let (clock, skew) = &mut self.clocks[number];
                    clock.answered(BEGIN + now + *skew, outcome);
                    self.call(number, now);
                }
            }
        }
    }

    fn call(&mut self, number: usize, now: Millis) {
        let (clock, skew) = &mut self.clocks[number];
        let Some(call) = clock.poll(BEGIN + now + *skew) else { return };
        self.calls += 1;
        let reached = now + 1.0 + self.random.share();
        if self.register.1 <= reached {
            self.register = (0.0, reached + call.ttl);
        }
        self.register.0 += call.amount;
        let outcome =
            if self.answers { CounterResult::Total(self.register.0) } else { CounterResult::Unknown };
        self.agenda.at(reached + 1.0, Step::Answer(number, outcome));
    }

    /// By how much the fleet's times differ at most, over all gateways that know it, and how many do.
    fn spread(&self) -> (Millis, usize) {
        let known = self.clocks.iter().filter_map(|(clock, skew)| match clock.time() {
            FleetTime::Synchronized { offset } => Some(skew + offset),
            _ => None,
        });
        let times: Vec<_> = known.collect();
        let first = times.first().copied().unwrap_or_default();
        let centred = |time: Millis| (time - first + CYCLE / 2.0).rem_euclid(CYCLE) - CYCLE / 2.0;
        let (low, high) = times.iter().fold((0.0, 0.0), |(low, high): (f64, f64), time| {
            (low.min(centred(*time)), high.max(centred(*time)))
        });
        (high - low, times.len())
    }
}

#[test]
fn fleets_agree_whatever_their_own_clocks_say() {
    for gateways in [2, 3, 16, 300] {
        // Less than a register's life apart may be taken for none at first.
        for skew in [HOUR, -HOUR, 3000.0, -1500.0] {
            // One of three is off.
            let mut fleet = Fleet::new(gateways, |n| if n % 3 == 1 { skew } else { 0.0 });
            fleet.play(10_000.0);
            let (spread, known) = fleet.spread();
            println!(
                "{gateways} gateways, {skew} ms: known to {known}, {spread:.0} ms apart, {} calls",
                fleet.calls
            );
            assert_eq!(known, gateways as usize);
            assert!(spread <= 400.0, "{gateways} gateways, {skew} ms: {spread} ms apart");
        }
    }
}

#[test]
fn gateways_with_the_right_time_keep_it_and_their_calls_do_not_grow_with_the_fleet() {
    for gateways in [2, 16, 300, 900] {
        let mut fleet = Fleet::new(gateways, |_| 0.0);
        fleet.play(12_000.0);
        let before = fleet.calls;
        fleet.play(32_000.0);
        let each_second = (fleet.calls - before) as f64 / 20.0;
        println!("{gateways} gateways: {before} calls at the start, then {each_second:.1} a second");
        assert_eq!(fleet.spread(), (0.0, gateways as usize));
        assert!(each_second <= 8.0, "{gateways} gateways: {each_second} calls a second");
    }
}

#[test]
fn a_counter_that_does_not_answer_is_asked_seldom_and_agreed_on_again_when_it_does() {
    let mut fleet = Fleet::new(4, |n| if n == 1 { HOUR } else { 0.0 });
    fleet.answers = false;
    fleet.play(20_000.0);
    assert_eq!(fleet.spread().1, 0, "nobody knows");
    assert!(fleet.calls <= 4 * 20, "{} calls in 20 s", fleet.calls);
    // Marks whose answers were lost stand until they are forgotten.
    fleet.answers = true;
    fleet.play(20_000.0 + 8.0 * LIFE);
    let (spread, known) = fleet.spread();
    assert!(known == 4 && spread <= 400.0, "known to {known}, {spread} ms apart");
}
