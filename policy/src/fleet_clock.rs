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
//! `RENEWAL_WAIT` if its local clock may agree with the fleet's, `RECOVERY_WAIT` if it certainly does not.
//!
//! The state machine does no I/O: the host makes the calls that [`FleetClock::poll`] returns, reports how
//! they ended, and passes [`FleetClock::time`] to its engine with
//! [`Event::FleetClock`](crate::Event::FleetClock).

mod call;
mod change;
mod presence;
mod schedule;

pub use call::CounterCall;
pub use change::ClockChange;

use crate::hash::hash;
use crate::{CounterResult, FleetTime, Millis};
use call::{Call, decode_time, encode_time};
use presence::{Presence, PresenceKey, SlotNumber, slot_at};
use schedule::{CONVERGING_INTERVAL, CallSchedule};

/// The fleet's time is kept modulo this, as a counter total is exact to seven digits only.
pub const TIME_MODULUS: Millis = 4_000_000.0;
/// The time to live of the register.
pub const REGISTER_TTL: Millis = 1000.0;
/// The resolution of the time in the register.
const RESOLUTION: Millis = 10.0;
/// A total below this is that of an empty register.
const EMPTY_TOLERANCE: f64 = 0.5;
/// The most by which the age of the time in the register and the age of the register differ, either way: the
/// time is encoded between the read that found the register empty and the write.
const MAX_WRITE_DELAY: Millis = 50.0;
/// Bounds at most this far apart are narrow.
const NARROW_WIDTH: Millis = 200.0;
/// After this many reads a gateway uses the bounds that it has, narrow or not.
const MAX_CONVERGING_READS: u32 = 30;
/// A gateway that starts while the register has expired waits this long for it to be written again: somewhat
/// longer than a running fleet takes.
const RENEWAL_WAIT: Millis = 250.0;
/// As [`RENEWAL_WAIT`], for a gateway whose local clock certainly differs from the fleet's.
const RECOVERY_WAIT: Millis = 2000.0;
/// A smaller change of the offset is not reported.
const MIN_REPORTED_ADJUSTMENT: Millis = 50.0;

/// The wait of a gateway that has started, for a running fleet to write its expired register again.
#[derive(Clone, Copy, Debug)]
struct RegisterWait {
    /// Whether this gateway's local time certainly differs from the fleet's.
    local_clock_contradicted: bool,
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
    schedule: CallSchedule,
    /// The estimate of how far the fleet's clock is ahead of the gateway's own.
    offset: Millis,
    /// The bounds of the true offset, once the register has been read or written.
    bounds: Option<Bounds>,
    /// Whether the offset is used: once the bounds were narrow, the gateway's local time was within the first
    /// ones, it has written the register, or it has read often enough.
    synchronized: bool,
    /// The time that the register held when it was last read.
    written_at: Millis,
    /// When the last read was made that found the register empty.
    empty_at: Millis,
    call_in_flight: Option<Call>,
    /// The call to make next, if it is not a read of the register.
    next_call: Option<Call>,
    /// When to make the next call.
    due: Millis,
    /// The number of reads that narrowed the bounds.
    reads: u32,
    /// Set while a started gateway waits for a running fleet to write the register.
    register_wait: Option<RegisterWait>,
    /// The last slot in which this gateway added to the presence key.
    presence_slot: Option<SlotNumber>,
    /// The offset by the last reported change.
    reported_offset: Millis,
    /// The change to return with the reply that is being handled.
    change: Option<ClockChange>,
}

impl FleetClock {
    /// Returns a clock that knows only its gateway's local time, as of `now`.
    pub fn new(gateway_count: u32, seed: u64, now: Millis) -> Self {
        let mut schedule = CallSchedule::new(gateway_count, seed);
        let due = schedule.first_read(now);
        Self {
            schedule,
            offset: 0.0,
            bounds: None,
            synchronized: false,
            written_at: 0.0,
            empty_at: f64::NEG_INFINITY,
            call_in_flight: None,
            next_call: None,
            due,
            reads: 0,
            register_wait: None,
            presence_slot: None,
            reported_offset: 0.0,
            change: None,
        }
    }

    /// Returns the counter key of the register, the same at all gateways.
    pub fn register_key() -> u64 {
        hash("the fleet's clock") >> 1
    }

    /// Returns whether `key` is one of the fleet clock's counter keys.
    pub fn uses_key(key: u64) -> bool {
        let presence_keys = [PresenceKey::Even, PresenceKey::Odd].map(PresenceKey::counter_key);
        key == Self::register_key() || presence_keys.contains(&key)
    }

    /// Returns whether there are other gateways to agree with. A fleet of one makes no calls.
    pub fn is_shared(&self) -> bool {
        self.schedule.is_shared()
    }

    /// Returns what is known of the fleet's time. A gateway that is alone uses its own.
    pub fn time(&self) -> FleetTime {
        if !self.is_shared() {
            return FleetTime::Synchronized { offset: 0.0 };
        }
        let is_small = self.schedule.is_small_fleet();
        match self.bounds {
            None if self.register_wait.is_some_and(|wait| wait.local_clock_contradicted || is_small) => {
                FleetTime::Converging
            }
            None if !self.schedule.is_failing() && is_small => FleetTime::Pending,
            None => FleetTime::Unavailable,
            Some(_) if !self.synchronized => FleetTime::Converging,
            Some(_) => FleetTime::Synchronized { offset: self.offset },
        }
    }

    /// Returns when to poll next.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// Returns the call to make now, if there is one. Its result has to be passed to [`Self::record_reply`].
    pub fn poll(&mut self, now: Millis) -> Option<CounterCall> {
        if self.call_in_flight.is_some() || now < self.due || !self.is_shared() {
            return None;
        }
        let call = self.next_call.take().unwrap_or(Call::Read { made_at: now });
        self.call_in_flight = Some(call);
        Some(call.to_counter_call())
    }

    /// Handles the end of the call in flight. Returns a change that the host should log, if there is one.
    pub fn record_reply(&mut self, now: Millis, result: CounterResult) -> Option<ClockChange> {
        let call = self.call_in_flight.take()?;
        if let CounterResult::Total(total) = result {
            self.schedule.record_success();
            self.on_total(now, call, total);
        } else {
            self.due = self.schedule.retry_after_failure(now, self.fleet_time(now), self.synchronized);
        }
        self.change.take()
    }

    fn on_total(&mut self, now: Millis, call: Call, total: f64) {
        match call {
            Call::Read { made_at } if total.abs() < EMPTY_TOLERANCE => {
                self.empty_at = made_at;
                self.on_empty(now);
            }
            Call::Read { made_at } => match decode_time(total) {
                Some(written_at) => self.on_read(made_at, now, written_at),
                // The total is a sum of several encoded times: other gateways are writing.
                None => self.due = self.schedule.reread_after_collision(now),
            },
            Call::Write { encoded_time } if (total - encoded_time).abs() < EMPTY_TOLERANCE => {
                self.on_written(now);
            }
            Call::Write { encoded_time } => {
                // Another gateway wrote first. Without bounds, the time written here was only this gateway's
                // own, which is not the fleet's.
                self.synchronized &= self.bounds.is_some();
                self.call_at_once(now, Call::Undo { encoded_time });
            }
            Call::Undo { .. } => self.due = now,
            Call::ReadPresence { key, other_presence } => {
                self.on_presence_read(now, key, other_presence, Presence::from_total(total));
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

    /// Handles the reply to a write to an empty register.
    fn on_written(&mut self, now: Millis) {
        self.bounds = Some(Bounds { low: self.offset - RESOLUTION, high: self.offset + RESOLUTION });
        self.synchronized = true;
        let slot = slot_at(self.fleet_time(now));
        if self.presence_slot != Some(slot) && self.schedule.sample_presence_write() {
            self.call_at_once(now, Call::AddPresence { slot });
        } else {
            self.due = self.next_read(now);
        }
    }

    /// Handles a read that was made at `made_at` and answered now, and found the time `written_at`.
    fn on_read(&mut self, made_at: Millis, now: Millis, written_at: Millis) {
        self.written_at = written_at;
        let low = nearest_difference(written_at - now);
        // The register was written within its TTL before the read, and after the last read that found it
        // empty.
        let max_age = (now - made_at + REGISTER_TTL).min(now - self.empty_at);
        let high = low + max_age + RESOLUTION + MAX_WRITE_DELAY;
        self.narrow(Bounds { low, high });
        let age = nearest_difference(self.fleet_time(now) - written_at);
        self.due = if !self.synchronized {
            now + CONVERGING_INTERVAL
        } else if age > REGISTER_TTL / 2.0 {
            self.schedule.read_at_expiry(now, age)
        } else {
            self.next_read(now)
        };
    }

    /// Handles a read that found the register empty: a gateway that knows the fleet's time writes it again.
    fn on_empty(&mut self, now: Millis) {
        match (self.bounds, self.register_wait) {
            (Some(bounds), _) if !self.synchronized => {
                let low = nearest_difference(self.written_at + REGISTER_TTL - MAX_WRITE_DELAY - now);
                self.narrow(Bounds { low, high: bounds.high.max(low) });
            }
            (None, None) if !self.synchronized => {
                let first = Call::ReadPresence { key: PresenceKey::Even, other_presence: None };
                return self.call_at_once(now, first);
            }
            (None, Some(wait)) if now >= wait.until => {
                self.use_local_clock(if wait.local_clock_contradicted {
                    ClockChange::Reset
                } else {
                    ClockChange::Resumed
                });
            }
            _ => {}
        }
        if self.synchronized {
            self.write(now);
        } else {
            self.due = self.schedule.reread_empty(now);
        }
    }

    fn write(&mut self, now: Millis) {
        let encoded_time = encode_time(self.fleet_time(now));
        self.call_at_once(now, Call::Write { encoded_time });
    }

    /// Handles the read of one of the presence keys: once both are read it is known whether this gateway is
    /// the first of its fleet.
    fn on_presence_read(
        &mut self, now: Millis, key: PresenceKey, other_presence: Option<Presence>, presence: Presence,
    ) {
        let Some(other_presence) = other_presence else {
            debug_assert_eq!(key, PresenceKey::Even);
            let second = Call::ReadPresence { key: PresenceKey::Odd, other_presence: Some(presence) };
            return self.call_at_once(now, second);
        };
        let presence = presence.or(other_presence);
        if presence == Presence::Absent {
            self.use_local_clock(ClockChange::Initialized);
            return self.write(now);
        }
        let local_clock_contradicted = presence.contradicts(self.fleet_time(now));
        let wait = if local_clock_contradicted { RECOVERY_WAIT } else { RENEWAL_WAIT };
        self.register_wait = Some(RegisterWait { local_clock_contradicted, until: now + wait });
        self.due = self.schedule.reread_empty(now);
    }

    fn use_local_clock(&mut self, change: ClockChange) {
        self.register_wait = None;
        self.synchronized = true;
        self.change = Some(change);
    }

    /// Narrows the bounds of the true offset by new ones. Where these contradict the old ones the new ones
    /// apply, as all other gateways follow the register. The offset changes no more than it has to.
    fn narrow(&mut self, new: Bounds) {
        let Bounds { low, high } = self.bounds.and_then(|known| known.intersection(new)).unwrap_or(new);
        self.reads += 1;
        self.register_wait = None;
        let was_synchronized = self.synchronized;
        let is_first = self.bounds.is_none();
        // If the time in the register is nearly REGISTER_TTL old by this gateway's local clock, it is more
        // likely that it has just been written and this clock is ahead.
        let max_local_offset = (low + REGISTER_TTL).min(high) - MAX_WRITE_DELAY;
        let local_clock_fits = is_first && (low..=max_local_offset).contains(&self.offset);
        let is_narrow = high - low <= NARROW_WIDTH;
        self.synchronized |= local_clock_fits || is_narrow || self.reads >= MAX_CONVERGING_READS;
        self.bounds = Some(Bounds { low, high });
        let keeps_offset = was_synchronized || (low..=high).contains(&self.offset);
        self.offset = if keeps_offset { self.offset.clamp(low, high) } else { f64::midpoint(low, high) };
        let by = self.offset - self.reported_offset;
        if self.synchronized && by.abs() >= MIN_REPORTED_ADJUSTMENT {
            self.reported_offset = self.offset;
            self.change = Some(ClockChange::Adjusted { by });
        }
    }

    fn next_read(&mut self, now: Millis) -> Millis {
        self.schedule.next_read(now, self.fleet_time(now))
    }

    fn fleet_time(&self, now: Millis) -> Millis {
        (now + self.offset).rem_euclid(TIME_MODULUS)
    }
}

/// Returns the value nearest to 0 that equals a difference of two of the fleet's times modulo
/// [`TIME_MODULUS`].
fn nearest_difference(difference: Millis) -> Millis {
    (difference + TIME_MODULUS / 2.0).rem_euclid(TIME_MODULUS) - TIME_MODULUS / 2.0
}
