//! The fleet clock's calls to the counter, and the encoding of the time in the register.

use super::presence::{self, PRESENCE_TTL, Presence, PresenceKey, SlotNumber};
use super::{FleetClock, REGISTER_TTL, RESOLUTION, TIME_MODULUS};
use crate::Millis;

/// The time to live of a presence key that a read creates: such a key holds nothing and is not to be kept.
const READ_TTL: Millis = 1.0;
/// The register holds a time in steps of [`RESOLUTION`], times this, plus [`TAG`]. The sum of several encoded
/// times, as after concurrent writes of several gateways, has another tag or is too large.
const TAG_RANGE: f64 = 16.0;
/// The remainder by which a single encoded time is recognized.
const TAG: f64 = 5.0;

/// A call to the counter that the host has to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The counter key.
    pub key: u64,
    /// The amount to add.
    pub amount: f64,
    /// The time to live of the key if this call creates it.
    pub ttl: Millis,
}

/// A call in flight, or to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Call {
    /// Reads the register.
    Read {
        made_at: Millis,
    },
    /// Writes the time to the register by adding to it, as it is expected to be empty.
    Write {
        encoded_time: f64,
    },
    /// Subtracts an encoded time that was added to another gateway's.
    Undo {
        encoded_time: f64,
    },
    /// Reads whether a gateway was present. `other_presence` is what the other key has shown, if it was read.
    ReadPresence {
        key: PresenceKey,
        other_presence: Option<Presence>,
    },
    AddPresence {
        slot: SlotNumber,
    },
}

impl Call {
    pub(super) fn to_counter_call(self) -> CounterCall {
        let register = |amount| CounterCall { key: FleetClock::register_key(), amount, ttl: REGISTER_TTL };
        match self {
            Self::Read { .. } => register(0.0),
            Self::Write { encoded_time } => register(encoded_time),
            Self::Undo { encoded_time } => register(-encoded_time),
            Self::ReadPresence { key, .. } => {
                CounterCall { key: key.counter_key(), amount: 0.0, ttl: READ_TTL }
            }
            Self::AddPresence { slot } => CounterCall {
                key: PresenceKey::of_slot(slot).counter_key(),
                amount: presence::amount(slot),
                ttl: PRESENCE_TTL,
            },
        }
    }
}

/// Encodes a time of the fleet for the register.
pub(super) fn encode_time(time: Millis) -> f64 {
    (time / RESOLUTION).floor() * TAG_RANGE + TAG
}

/// Decodes a total of the register, or returns `None` if it is not a single encoded time.
pub(super) fn decode_time(total: f64) -> Option<Millis> {
    let steps = (total - TAG) / TAG_RANGE;
    let time = steps * RESOLUTION;
    (steps.fract().abs() < 1e-9 && (0.0..TIME_MODULUS).contains(&time)).then_some(time)
}
