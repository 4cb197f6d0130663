//! The calls of the fleet clock to the counter, and the marks that the register holds.

use super::presence::{self, PRESENCE_LIFE, Presence, PresenceKey, SlotNumber};
use super::{FleetClock, REGISTER_TTL, RESOLUTION, TIME_MODULUS};
use crate::Millis;

/// A key that is only read is not kept.
const READ_TTL: Millis = 1.0;
/// The register holds a mark: a time in steps of the resolution, times this, plus [`TAG`]. The sum of several
/// marks, which exists for a moment when gateways write at the same time, has another tag or is too large.
const TAG_RANGE: f64 = 16.0;
/// By this remainder a single mark is recognized.
const TAG: f64 = 5.0;

/// A call of the counter that the host is to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter key.
    pub key: u64,
    /// What to add.
    pub amount: f64,
    /// How long a new key is kept.
    pub ttl: Millis,
}

/// A call in flight, or to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Call {
    Read {
        made_at: Millis,
    },
    Write {
        mark: f64,
    },
    /// Takes back a mark that was added to another gateway's.
    Undo {
        mark: f64,
    },
    /// Reads whether a gateway was present. `other` is what the other key has shown, if it was read.
    ReadPresence {
        key: PresenceKey,
        other: Option<Presence>,
    },
    AddPresence {
        slot: SlotNumber,
    },
}

impl Call {
    /// Returns the call of the counter.
    pub(super) fn to_counter(self) -> CounterCall {
        let register = |amount| CounterCall { key: FleetClock::register_key(), amount, ttl: REGISTER_TTL };
        match self {
            Self::Read { .. } => register(0.0),
            Self::Write { mark } => register(mark),
            Self::Undo { mark } => register(-mark),
            Self::ReadPresence { key, .. } => {
                CounterCall { key: key.counter_key(), amount: 0.0, ttl: READ_TTL }
            }
            Self::AddPresence { slot } => CounterCall {
                key: PresenceKey::of_slot(slot).counter_key(),
                amount: presence::amount(slot),
                ttl: PRESENCE_LIFE,
            },
        }
    }
}

/// Returns the mark of a time of the fleet.
pub(super) fn mark_of_time(time: Millis) -> f64 {
    (time / RESOLUTION).floor() * TAG_RANGE + TAG
}

/// Returns the time in a total of the register, if it is a single mark.
pub(super) fn time_of_mark(total: f64) -> Option<Millis> {
    let steps = (total - TAG) / TAG_RANGE;
    let time = steps * RESOLUTION;
    (steps.fract().abs() < 1e-9 && (0.0..TIME_MODULUS).contains(&time)).then_some(time)
}
