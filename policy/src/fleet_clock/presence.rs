//! Counter keys that show for a minute that a fleet has been running.
//!
//! The register of the fleet's clock expires every second, so a gateway that starts may find it empty
//! although
//! a fleet runs: it has just expired, or its writers are held up. Time is divided into slots. In each slot
//! the
//! gateways that write the register add to the slot's presence key, which outlives the slot, so that at any
//! time one of the two keys exists. Its total also tells the slot, and with it the fleet's time to within the
//! life of the key.

use super::{TIME_MODULUS, nearest_difference};
use crate::Millis;
use crate::hash::hash;

/// How long a slot lasts: the fleet's cycle holds an even number of them.
pub(super) const SLOT_LENGTH: Millis = 40_000.0;
/// How long a presence key is kept: the most that the counter allows.
pub(super) const PRESENCE_TTL: Millis = 60_000.0;
/// What each gateway adds is this and the number of the slot. With up to a hundred gateways the total tells
/// both.
const GATEWAY_AMOUNT: f64 = 10_000.0;

/// A clock that is behind the fleet's by less does not contradict it: its gateway may have started right at
/// the beginning of a slot.
const OWN_TIME_TOLERANCE: Millis = 1000.0;

/// The number of a slot, counted from the beginning of the fleet clock's cycle.
pub(super) type SlotNumber = u32;

/// The two presence keys, used by turns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PresenceKey {
    Even,
    Odd,
}

impl PresenceKey {
    /// Returns the key that is used in a slot.
    pub(super) fn of_slot(slot: SlotNumber) -> Self {
        if slot.is_multiple_of(2) { Self::Even } else { Self::Odd }
    }

    /// Returns the counter key.
    pub(super) fn counter_key(self) -> u64 {
        match self {
            Self::Even => hash("the fleet's presence in even slots") >> 1,
            Self::Odd => hash("the fleet's presence in odd slots") >> 1,
        }
    }
}

/// Returns the slot of a time of the fleet.
pub(super) fn slot_at(fleet_time: Millis) -> SlotNumber {
    (fleet_time.rem_euclid(TIME_MODULUS) / SLOT_LENGTH) as SlotNumber
}

/// Returns what a gateway adds to the presence key of a slot.
pub(super) fn amount(slot: SlotNumber) -> f64 {
    GATEWAY_AMOUNT + f64::from(slot)
}

/// What the presence keys show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Presence {
    /// No gateway has written the register within the last minute.
    Absent,
    /// A gateway has, in this slot, if the total tells it.
    Present { slot: Option<SlotNumber> },
}

impl Presence {
    /// Returns what the total of a presence key shows.
    pub(super) fn from_total(total: f64) -> Self {
        if total < GATEWAY_AMOUNT / 2.0 {
            return Self::Absent;
        }
        let gateways = (total / GATEWAY_AMOUNT).floor();
        let slot = (total - gateways * GATEWAY_AMOUNT) / gateways;
        let is_slot = slot.fract().abs() < 1e-6 && slot < TIME_MODULUS / SLOT_LENGTH;
        Self::Present { slot: is_slot.then_some(slot as SlotNumber) }
    }

    /// Returns what two keys show together.
    pub(super) fn or(self, other: Self) -> Self {
        if self == Self::Absent { other } else { self }
    }

    /// Returns whether the fleet's time is surely not `own_time`.
    pub(super) fn contradicts(self, own_time: Millis) -> bool {
        let Self::Present { slot: Some(slot) } = self else { return false };
        let since_slot = nearest_difference(own_time - f64::from(slot) * SLOT_LENGTH);
        !(-OWN_TIME_TOLERANCE..=SLOT_LENGTH + PRESENCE_TTL).contains(&since_slot)
    }
}
