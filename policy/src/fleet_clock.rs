//! A clock that the gateways of a fleet share, kept on the shared counter.
//!
//! Count names are made of a window's number, so gateways must agree on the time. Their machines' clocks may
//! not, as a wall clock can be stepped. What all see alike is the counter: one fixed name, the register,
//! holds the fleet's time at which it was written, and is forgotten [`LIFE`] later. Who reads it knows the
//! fleet's time to within that; further reads narrow it down. Who finds it empty writes its own idea of the
//! fleet's time. As it runs out a few gateways, drawn by chance, look, so that the calls do not grow with the
//! fleet.
//!
//! The state machine does no input or output: the host makes the calls that [`FleetClock::poll`] asks for,
//! reports how they ended, and tells its gateway of [`FleetClock::time`] by `Event::FleetClock`.

use crate::hash::{hash, mix, unit};
use crate::{CounterResult, FleetTime, Millis};

/// The fleet's time is told modulo this, as a total is exact to seven digits only.
pub const CYCLE: Millis = 4_000_000.0;
/// How long the register lasts.
pub const LIFE: Millis = 1000.0;
/// The register tells the time in steps of this.
const STEP: Millis = 10.0;
/// A mark is a number of steps, times this, and the tag. The sum of several marks, which is there for a
/// moment when gateways write at the same time, has another tag or is too large.
const TAGS: f64 = 16.0;
const TAG: f64 = 5.0;
/// A mark may be this much older than its count's life, or the life older than the mark: a mark is made
/// between the read that found the register empty and the write.
const SLACK: Millis = 50.0;
/// So many gateways look each time the register runs out.
const READERS: f64 = 2.0;
/// They look within this time after it ran out.
const SPREAD: Millis = 150.0;
/// A gateway that starts with another time reads the register this far apart, until its bounds are as narrow
/// as this, and not more often than it takes to see it run out.
const SETTLING_GAP: Millis = 50.0;
const NARROW: Millis = 200.0;
const SETTLING_READS: u32 = 30;
/// While the time is not known a call that failed is made again after this, doubled with each up to the last.
/// Once it is known, so many turns are passed over, doubled likewise. A counter that cannot bear all calls
/// has more useful ones to answer.
const RETRY: (Millis, Millis) = (100.0, 3000.0);
const MOST_PASSED_OVER: Millis = 32.0;
/// The first calls of a fleet that starts as a whole, and those made again, are spread over this for each
/// gateway: all ask for one name, and the counter has more useful calls to answer.
const SPREAD_EACH: Millis = 10.0;
/// In a fleet of more gateways than this counts are named by the own clock until the first read is answered;
/// in a smaller one that comes at once and is waited for.
const SMALL_FLEET: f64 = 16.0;

/// A call of the counter that the host is to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegisterCall {
    /// The counter key.
    pub key: u64,
    /// What to add.
    pub amount: f64,
    /// The life of a new name.
    pub ttl: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Read {
        made: Millis,
    },
    Write {
        mark: f64,
    },
    /// Takes a mark back that was added to another's.
    Undo {
        mark: f64,
    },
}

/// One gateway's view of the fleet's clock.
#[derive(Debug)]
pub struct FleetClock {
    gateways: f64,
    random: u64,
    /// The fleet's clock is this much ahead of this gateway's, as far as is known.
    offset: Millis,
    /// Between which bounds the true offset lies, once the register has been read or written.
    bounds: Option<(Millis, Millis)>,
    /// The bounds were narrow enough once, or had room for this gateway's own time.
    settled: bool,
    /// The fleet's time that the register told last.
    written: Millis,
    out: Option<Call>,
    /// What to do once the present call has ended.
    next: Option<Call>,
    due: Millis,
    reads: u32,
    /// So many calls in a row have failed.
    failures: u32,
}

impl FleetClock {
    /// A clock that knows its own gateway's time alone, as of `now`.
    pub fn new(gateways: u32, seed: u64, now: Millis) -> Self {
        let gateways = f64::from(gateways);
        let mut clock = Self {
            gateways,
            random: mix(!seed),
            offset: 0.0,
            bounds: None,
            settled: false,
            written: 0.0,
            out: None,
            next: None,
            due: now,
            reads: 0,
            failures: 0,
        };
        if gateways > SMALL_FLEET {
            clock.due += gateways * SPREAD_EACH * clock.chance();
        }
        clock
    }

    /// The name of the register: the same at all gateways.
    pub fn register() -> u64 {
        hash("the fleet's clock") >> 1
    }

    /// Whether there are others to agree with. A fleet of one makes no calls.
    pub fn is_shared(&self) -> bool {
        self.gateways > 1.0
    }

    /// What is known of the fleet's time.
    pub fn time(&self) -> FleetTime {
        match self.bounds {
            None if self.failures == 0 && self.gateways <= SMALL_FLEET => FleetTime::Pending,
            None => FleetTime::Unavailable,
            Some(_) if !self.settled => FleetTime::Converging,
            Some(_) => FleetTime::Synchronized { offset: self.offset },
        }
    }

    /// When to poll next.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// The call to make now, if there is one. Each is to be reported to [`Self::answered`].
    pub fn poll(&mut self, now: Millis) -> Option<RegisterCall> {
        if self.out.is_some() || now < self.due || !self.is_shared() {
            return None;
        }
        let call = self.next.take().unwrap_or(Call::Read { made: now });
        self.out = Some(call);
        let amount = match call {
            Call::Read { .. } => 0.0,
            Call::Write { mark } => mark,
            Call::Undo { mark } => -mark,
        };
        Some(RegisterCall { key: Self::register(), amount, ttl: LIFE })
    }

    /// Takes in how a call ended.
    pub fn answered(&mut self, now: Millis, outcome: CounterResult) {
        let Some(call) = self.out.take() else { return };
        let CounterResult::Total(total) = outcome else {
            self.failures += 1;
            let doubled = f64::from(self.failures - 1).exp2();
            self.due = if self.settled {
                self.next_look(now) + (2.0 * doubled).min(MOST_PASSED_OVER) * LIFE
            } else {
                let first = RETRY.0.max(self.gateways * SPREAD_EACH);
                now + (first * doubled).min(RETRY.1.max(first)) * (0.5 + self.chance())
            };
            return;
        };
        self.failures = 0;
        match call {
            Call::Read { .. } if total.abs() < 0.5 => self.found_empty(now),
            Call::Read { made } => match time_of(total) {
                Some(written) => self.found(made, now, written),
                // Others are writing just now.
                None => self.due = now + RETRY.0 * (0.5 + self.chance()),
            },
            Call::Write { mark } if (total - mark).abs() < 0.5 => {
                self.bounds = Some((self.offset - STEP, self.offset + STEP));
                self.settled = true;
                self.due = self.next_look(now);
            }
            Call::Write { mark } => {
                self.next = Some(Call::Undo { mark });
                self.due = now;
            }
            Call::Undo { .. } => self.due = now,
        }
    }

    /// The register was read by a call that was made then and answered now; it tells when it was written.
    fn found(&mut self, made: Millis, now: Millis, written: Millis) {
        self.written = written;
        let least = centred(written - now);
        let most = least + (now - made) + LIFE + STEP + SLACK;
        self.narrow(least, most);
        let age = centred(self.fleet_time(now) - written);
        self.due = if !self.settled {
            now + SETTLING_GAP
        } else if age > LIFE / 2.0 {
            // It runs out soon, and somebody has to write it anew.
            now + (LIFE - age).max(0.0) + SPREAD / 4.0 * self.chance()
        } else {
            self.next_look(now)
        };
    }

    /// The register has run out: whoever knows the fleet's time writes it anew, and where nobody has written
    /// it yet the fleet's time is this gateway's own.
    fn found_empty(&mut self, now: Millis) {
        match self.bounds {
            Some((_, most)) if !self.settled => {
                let least = centred(self.written + LIFE - SLACK - now);
                self.narrow(least, most.max(least));
            }
            Some(_) => {}
            None => self.settled = true,
        }
        if self.settled {
            self.next = Some(Call::Write { mark: self.mark(now) });
            self.due = now;
        } else {
            self.due = now + SETTLING_GAP;
        }
    }

    /// The true offset lies between these bounds, too. Where they contradict those known so far the register
    /// is right: all others go by it. The offset moves no more than it has to.
    fn narrow(&mut self, least: Millis, most: Millis) {
        let known = self.bounds.map(|(low, high)| (low.max(least), high.min(most)));
        let (low, high) = known.filter(|(low, high)| low <= high).unwrap_or((least, most));
        self.reads += 1;
        let own_fits = self.bounds.is_none() && (low..=high - SLACK).contains(&self.offset);
        self.settled |= own_fits || high - low <= NARROW || self.reads >= SETTLING_READS;
        self.bounds = Some((low, high));
        self.offset = if self.settled { self.offset.clamp(low, high) } else { f64::midpoint(low, high) };
    }

    /// When to look again after the register was seen fresh: as the register runs out, but only in one of so
    /// many turns that a few gateways look in each.
    fn next_look(&mut self, now: Millis) -> Millis {
        let share = (READERS / self.gateways).min(1.0);
        let skipped = if share < 1.0 { (self.chance().ln() / (1.0 - share).ln()).floor() } else { 0.0 };
        let turn = LIFE - self.fleet_time(now) % LIFE;
        now + turn + skipped * LIFE + SPREAD * self.chance()
    }

    fn fleet_time(&self, now: Millis) -> Millis {
        (now + self.offset).rem_euclid(CYCLE)
    }

    fn mark(&self, now: Millis) -> f64 {
        (self.fleet_time(now) / STEP).floor() * TAGS + TAG
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random).max(f64::MIN_POSITIVE)
    }
}

/// The fleet's time that a total of the register tells, if it is one mark.
fn time_of(total: f64) -> Option<Millis> {
    let steps = (total - TAG) / TAGS;
    let time = steps * STEP;
    (steps.fract().abs() < 1e-9 && (0.0..CYCLE).contains(&time)).then_some(time)
}

/// A difference between two times of the fleet's: the one nearest to 0.
fn centred(difference: Millis) -> Millis {
    (difference + CYCLE / 2.0).rem_euclid(CYCLE) - CYCLE / 2.0
}
