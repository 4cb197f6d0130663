//! A clock that the gateways of a fleet share, kept on the shared counter.
//!
//! Counter keys are derived from window numbers, so gateways must agree on the time. The wall clocks of their
//! machines may be stepped and need not agree, but all gateways see the same counter. One fixed counter key,
//! the register, holds the fleet's time at which it was written, and expires [`REGISTER_TTL`] later. A
//! gateway that reads it knows the fleet's time to within that; further reads narrow the bounds, by
//! intersection of intervals as in Marzullo's algorithm. A synchronized gateway that finds the register empty
//! writes the fleet's time to it, as estimated within its bounds. When the register expires, a few gateways
//! chosen at random read it, so that the number of calls does not grow with the fleet.
//!
//! A gateway that starts and finds the register empty is the first of its fleet only if no gateway has been
//! present for a minute (module `presence`). Otherwise it waits for the register to be written again:
//! `RENEWAL_WAIT` if its own clock may agree with the fleet's, `RECOVERY_WAIT` if it certainly does not.
//!
//! The state machine does no I/O: the host makes the calls that [`FleetClock::poll`] returns, reports how
//! they ended, and passes [`FleetClock::time`] to its engine with
//! [`Event::FleetClock`](crate::Event::FleetClock).

mod call;
mod change;
mod presence;

pub use call::CounterCall;
pub use change::ClockChange;

use crate::hash::hash;
use crate::random::Random;
use crate::{CounterResult, FleetTime, Millis};
use call::{Call, mark_of_time, time_of_mark};
use presence::{Presence, PresenceKey, SlotNumber, slot_at};

/// The fleet's time is kept modulo this, as a total is exact to seven digits only.
pub const TIME_MODULUS: Millis = 4_000_000.0;
/// How long the register lasts.
pub const REGISTER_TTL: Millis = 1000.0;
/// The resolution of the time in the register.
const RESOLUTION: Millis = 10.0;
/// A total below this is that of an empty register.
const EMPTY_TOLERANCE: f64 = 0.5;
/// A mark may be older than its key's life by this much, or the life older than the mark: a mark is made
/// between the read that found the register empty and the write.
const WRITE_DELAY: Millis = 50.0;
/// The number of gateways that read the register each time it expires.
const READERS: f64 = 2.0;
/// They read within this time after it expired.
const READ_SPREAD: Millis = 150.0;
/// A gateway whose own time differs reads the register at this interval until its bounds are narrow, and no
/// more often than it takes to see the register expire.
const CONVERGING_INTERVAL: Millis = 50.0;
/// The distance of bounds that are narrow.
const NARROW_BOUNDS: Millis = 200.0;
/// After this many reads a gateway uses the bounds that it has, narrow or not.
const MAX_CONVERGING_READS: u32 = 30;
/// The mean pause after a first failure, while the time is not known, and after a read during a write.
const FIRST_BACKOFF: Millis = 100.0;
/// The longest mean pause between two calls that fail, while the time is not known.
const MAX_BACKOFF: Millis = 3000.0;
/// Once the time is known, this many lives of the register are skipped after a first failure: a counter that
/// cannot keep up has more useful calls to answer.
const FIRST_SKIPPED_LIVES: f64 = 2.0;
/// The most lives of the register that are skipped after a failure.
const MAX_SKIPPED_LIVES: f64 = 32.0;
/// The first calls of a fleet that starts all at once, and retries, are spread over this time for each
/// gateway, as all of them go to one key.
const SPREAD_PER_GATEWAY: Millis = 10.0;
/// In a fleet of more gateways than this, counter keys are derived from the gateway's own clock until the
/// first read is answered. In a smaller one the answer comes at once and is awaited.
const SMALL_FLEET: f64 = 16.0;

/// A gateway that starts while the register has expired waits this long for it to be written again: somewhat
/// longer than the fleet takes.
const RENEWAL_WAIT: Millis = 250.0;
/// It waits this long where its own clock is surely not the fleet's.
const RECOVERY_WAIT: Millis = 2000.0;
/// In a fleet of more gateways than this, a gateway that writes the register leaves out the presence key at
/// times: several others write in the same slot.
const PRESENCE_WRITERS: f64 = 8.0;
/// The lowest probability with which it is not left out.
const MIN_PRESENCE_PROBABILITY: f64 = 0.25;
/// A smaller change of the offset is not reported.
const MIN_REPORTED_MOVE: Millis = 50.0;

/// A fleet whose register has expired, as a gateway that starts sees it.
#[derive(Clone, Copy, Debug)]
struct AwaitedFleet {
    /// This gateway's own time is surely not the fleet's.
    contradicted: bool,
    /// When this gateway writes the register itself.
    until: Millis,
}

/// The bounds of the offset between the fleet's clock and the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Bounds {
    low: Millis,
    high: Millis,
}

impl Bounds {
    /// Returns what both bounds allow, or `None` if they contradict each other.
    fn intersection(self, other: Self) -> Option<Self> {
        let bounds = Self { low: self.low.max(other.low), high: self.high.min(other.high) };
        (bounds.low <= bounds.high).then_some(bounds)
    }
}

/// One gateway's view of the fleet's clock.
#[derive(Debug)]
pub struct FleetClock {
    gateway_count: f64,
    random: Random,
    /// How far the fleet's clock is ahead of the gateway's own, as far as is known.
    offset: Millis,
    /// The bounds of the true offset, once the register has been read or written.
    bounds: Option<Bounds>,
    /// Whether the offset is used: once the bounds were narrow, the gateway's own time was within the first
    /// ones, it has written the register, or it has read often enough.
    synchronized: bool,
    /// The time that the register held last.
    written_at: Millis,
    /// When the last read was made that found the register empty.
    empty_at: Millis,
    call_in_flight: Option<Call>,
    /// The call to make once the present one has ended.
    next_call: Option<Call>,
    /// When to make the next call.
    due: Millis,
    /// The number of reads that narrowed the bounds.
    reads: u32,
    consecutive_failures: u32,
    /// The fleet whose register is awaited.
    awaited: Option<AwaitedFleet>,
    /// The last slot in which this gateway added to the presence key.
    presence_slot: Option<SlotNumber>,
    /// The offset by the last reported change.
    reported_offset: Millis,
    /// What is to be reported with the present reply.
    change: Option<ClockChange>,
}

impl FleetClock {
    /// Returns a clock that knows only its gateway's own time, as of `now`.
    pub fn new(gateway_count: u32, seed: u64, now: Millis) -> Self {
        let gateway_count = f64::from(gateway_count);
        let mut clock = Self {
            gateway_count,
            random: Random::new(!seed),
            offset: 0.0,
            bounds: None,
            synchronized: false,
            written_at: 0.0,
            empty_at: f64::NEG_INFINITY,
            call_in_flight: None,
            next_call: None,
            due: now,
            reads: 0,
            consecutive_failures: 0,
            awaited: None,
            presence_slot: None,
            reported_offset: 0.0,
            change: None,
        };
        if gateway_count > SMALL_FLEET {
            clock.due += gateway_count * SPREAD_PER_GATEWAY * clock.draw();
        }
        clock
    }

    /// Returns the key of the register, the same at all gateways.
    pub fn register_key() -> u64 {
        hash("the fleet's clock") >> 1
    }

    /// Returns whether calls of a counter key are the fleet clock's.
    pub fn uses_key(key: u64) -> bool {
        let presence_keys = [PresenceKey::Even, PresenceKey::Odd].map(PresenceKey::counter_key);
        key == Self::register_key() || presence_keys.contains(&key)
    }

    /// Returns whether there are other gateways to agree with. A fleet of one makes no calls.
    pub fn is_shared(&self) -> bool {
        self.gateway_count > 1.0
    }

    /// Returns what is known of the fleet's time. A gateway that is alone uses its own.
    pub fn time(&self) -> FleetTime {
        if !self.is_shared() {
            return FleetTime::Synchronized { offset: 0.0 };
        }
        let is_small = self.gateway_count <= SMALL_FLEET;
        match self.bounds {
            None if self.awaited.is_some_and(|fleet| fleet.contradicted || is_small) => FleetTime::Converging,
            None if self.consecutive_failures == 0 && is_small => FleetTime::Pending,
            None => FleetTime::Unavailable,
            Some(_) if !self.synchronized => FleetTime::Converging,
            Some(_) => FleetTime::Synchronized { offset: self.offset },
        }
    }

    /// Returns when to poll next.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// Returns the call to make now, if there is one. Its result is to be passed to [`Self::record_reply`].
    pub fn poll(&mut self, now: Millis) -> Option<CounterCall> {
        if self.call_in_flight.is_some() || now < self.due || !self.is_shared() {
            return None;
        }
        let call = self.next_call.take().unwrap_or(Call::Read { made_at: now });
        self.call_in_flight = Some(call);
        Some(call.to_counter())
    }

    /// Handles the end of the call in flight. Returns what an operator should know.
    pub fn record_reply(&mut self, now: Millis, result: CounterResult) -> Option<ClockChange> {
        let call = self.call_in_flight.take()?;
        if let CounterResult::Total(total) = result {
            self.consecutive_failures = 0;
            self.on_total(now, call, total);
        } else {
            self.on_failure(now);
        }
        self.change.take()
    }

    fn on_total(&mut self, now: Millis, call: Call, total: f64) {
        match call {
            Call::Read { made_at } if total.abs() < EMPTY_TOLERANCE => {
                self.empty_at = made_at;
                self.on_empty(now);
            }
            Call::Read { made_at } => match time_of_mark(total) {
                Some(written_at) => self.on_read(made_at, now, written_at),
                // Others are writing at this moment.
                None => self.due = now + FIRST_BACKOFF * (0.5 + self.draw()),
            },
            Call::Write { mark } if (total - mark).abs() < EMPTY_TOLERANCE => self.on_written(now),
            Call::Write { mark } => {
                // Another gateway was first: a time that is only this one's own is not the fleet's.
                self.synchronized &= self.bounds.is_some();
                self.call_at_once(now, Call::Undo { mark });
            }
            Call::Undo { .. } => self.due = now,
            Call::ReadPresence { key, other } => {
                self.on_presence_read(now, key, other, Presence::from_total(total));
            }
            Call::AddPresence { slot } => {
                self.presence_slot = Some(slot);
                self.due = self.next_read(now);
            }
        }
    }

    fn call_at_once(&mut self, now: Millis, call: Call) {
        self.next_call = Some(call);
        self.due = now;
    }

    /// Handles the reply to a write that no other gateway has crossed.
    fn on_written(&mut self, now: Millis) {
        self.bounds = Some(Bounds { low: self.offset - RESOLUTION, high: self.offset + RESOLUTION });
        self.synchronized = true;
        let slot = slot_at(self.fleet_time(now));
        let probability = (PRESENCE_WRITERS / self.gateway_count).clamp(MIN_PRESENCE_PROBABILITY, 1.0);
        if self.presence_slot != Some(slot) && self.draw() < probability {
            self.call_at_once(now, Call::AddPresence { slot });
        } else {
            self.due = self.next_read(now);
        }
    }

    /// Sets the next call after one that failed, with exponential backoff.
    fn on_failure(&mut self, now: Millis) {
        self.consecutive_failures += 1;
        let factor = f64::from(self.consecutive_failures - 1).exp2();
        self.due = if self.synchronized {
            self.next_read(now) + (FIRST_SKIPPED_LIVES * factor).min(MAX_SKIPPED_LIVES) * REGISTER_TTL
        } else {
            let first = FIRST_BACKOFF.max(self.gateway_count * SPREAD_PER_GATEWAY);
            now + (first * factor).min(MAX_BACKOFF.max(first)) * (0.5 + self.draw())
        };
    }

    /// Handles a read that was made at `made_at` and answered now, and found the time `written_at`.
    fn on_read(&mut self, made_at: Millis, now: Millis, written_at: Millis) {
        self.written_at = written_at;
        let low = centered(written_at - now);
        // What was written is younger than its key's life, and than a read that found the register empty.
        let max_age = (now - made_at + REGISTER_TTL).min(now - self.empty_at);
        let high = low + max_age + RESOLUTION + WRITE_DELAY;
        self.narrow(Bounds { low, high });
        let age = centered(self.fleet_time(now) - written_at);
        self.due = if !self.synchronized {
            now + CONVERGING_INTERVAL
        } else if age > REGISTER_TTL / 2.0 {
            // It expires soon, and some gateway has to write it anew.
            now + (REGISTER_TTL - age).max(0.0) + READ_SPREAD / 4.0 * self.draw()
        } else {
            self.next_read(now)
        };
    }

    /// Handles a read that found the register empty: a gateway that knows the fleet's time writes it anew.
    fn on_empty(&mut self, now: Millis) {
        match (self.bounds, self.awaited) {
            (Some(bounds), _) if !self.synchronized => {
                let low = centered(self.written_at + REGISTER_TTL - WRITE_DELAY - now);
                self.narrow(Bounds { low, high: bounds.high.max(low) });
            }
            (None, None) if !self.synchronized => {
                let first = Call::ReadPresence { key: PresenceKey::Even, other: None };
                return self.call_at_once(now, first);
            }
            (None, Some(fleet)) if now >= fleet.until => {
                self.use_own_time(if fleet.contradicted { ClockChange::Reset } else { ClockChange::Resumed });
            }
            _ => {}
        }
        if self.synchronized {
            self.write(now);
        } else {
            self.due = now + self.reread_interval();
        }
    }

    fn write(&mut self, now: Millis) {
        let mark = self.mark(now);
        self.call_at_once(now, Call::Write { mark });
    }

    /// Handles the read of one of the presence keys: once both are read it is known whether this gateway is
    /// the first of its fleet.
    fn on_presence_read(&mut self, now: Millis, key: PresenceKey, other: Option<Presence>, shown: Presence) {
        let Some(other) = other else {
            debug_assert_eq!(key, PresenceKey::Even);
            let second = Call::ReadPresence { key: PresenceKey::Odd, other: Some(shown) };
            return self.call_at_once(now, second);
        };
        let presence = shown.or(other);
        if presence == Presence::Absent {
            self.use_own_time(ClockChange::Initialized);
            return self.write(now);
        }
        let contradicted = presence.contradicts(self.fleet_time(now));
        let wait = if contradicted { RECOVERY_WAIT } else { RENEWAL_WAIT };
        self.awaited = Some(AwaitedFleet { contradicted, until: now + wait });
        self.due = now + self.reread_interval();
    }

    fn use_own_time(&mut self, change: ClockChange) {
        self.awaited = None;
        self.synchronized = true;
        self.change = Some(change);
    }

    /// Returns how soon a gateway that starts reads the register again. In a large fleet many may start.
    fn reread_interval(&mut self) -> Millis {
        if self.gateway_count <= SMALL_FLEET {
            return CONVERGING_INTERVAL;
        }
        CONVERGING_INTERVAL.max(self.gateway_count * SPREAD_PER_GATEWAY * self.draw())
    }

    /// Narrows the bounds of the true offset by new ones. Where these contradict the old ones the register is
    /// right, as all others follow it. The offset moves no more than it has to.
    fn narrow(&mut self, new: Bounds) {
        let Bounds { low, high } = self.bounds.and_then(|known| known.intersection(new)).unwrap_or(new);
        self.reads += 1;
        self.awaited = None;
        let was_synchronized = self.synchronized;
        let is_first = self.bounds.is_none();
        // A mark that would be nearly as old as its key's life by this gateway's own time is rather one
        // that has just been written, while this clock is ahead.
        let own_time_fits =
            is_first && (low..=(low + REGISTER_TTL).min(high) - WRITE_DELAY).contains(&self.offset);
        let narrow = high - low <= NARROW_BOUNDS;
        self.synchronized |= own_time_fits || narrow || self.reads >= MAX_CONVERGING_READS;
        self.bounds = Some(Bounds { low, high });
        let keeps_offset = was_synchronized || (low..=high).contains(&self.offset);
        self.offset = if keeps_offset { self.offset.clamp(low, high) } else { f64::midpoint(low, high) };
        let by = self.offset - self.reported_offset;
        if self.synchronized && by.abs() >= MIN_REPORTED_MOVE {
            self.reported_offset = self.offset;
            self.change = Some(ClockChange::Adjusted { by });
        }
    }

    /// Returns when to read again after the register was found fresh: as it expires, but only in so many of
    /// its lives that a few gateways read in each.
    fn next_read(&mut self, now: Millis) -> Millis {
        let probability = (READERS / self.gateway_count).min(1.0);
        let skipped_lives =
            if probability < 1.0 { (self.draw().ln() / (1.0 - probability).ln()).floor() } else { 0.0 };
        let rest_of_life = REGISTER_TTL - self.fleet_time(now) % REGISTER_TTL;
        now + rest_of_life + skipped_lives * REGISTER_TTL + READ_SPREAD * self.draw()
    }

    fn fleet_time(&self, now: Millis) -> Millis {
        (now + self.offset).rem_euclid(TIME_MODULUS)
    }

    fn mark(&self, now: Millis) -> f64 {
        mark_of_time(self.fleet_time(now))
    }

    /// Draws a number in (0, 1).
    fn draw(&mut self) -> f64 {
        self.random.uniform().max(f64::MIN_POSITIVE)
    }
}

/// Returns the difference between two of the fleet's times that is nearest to 0.
fn centered(difference: Millis) -> Millis {
    (difference + TIME_MODULUS / 2.0).rem_euclid(TIME_MODULUS) - TIME_MODULUS / 2.0
}
