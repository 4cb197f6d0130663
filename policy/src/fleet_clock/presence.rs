//! Counter keys that show for a minute that a fleet has been running.
//!
//! The register expires every second, so a gateway that starts may find it empty although a fleet runs: it
//! has just expired, or the gateways that would write it are delayed. Time is therefore divided into slots.
//! In each slot the gateways that write the register also add to the slot's presence key. The key outlives
//! its slot, so that at any time one of the two keys exists. Its total also tells the number of the slot, and
//! with it the fleet's time to within the time to live of the key.

use super::{TIME_MODULUS, nearest_difference};
use crate::Millis;
use crate::hash::hash;

/// The length of a slot. [`TIME_MODULUS`] holds an even number of them, so that the two keys alternate also
/// where the time wraps around.
pub(super) const SLOT_LENGTH: Millis = 40_000.0;
/// The time to live of a presence key: the longest that the counter allows.
pub(super) const PRESENCE_TTL: Millis = 60_000.0;
/// A gateway adds this plus the number of the slot. Of up to a hundred gateways, the total tells both their
/// number and the slot.
const GATEWAY_AMOUNT: f64 = 10_000.0;

/// A gateway's local clock that is behind the fleet's by less than this does not contradict it, even if the
/// gateway starts right at the beginning of a slot.
const LOCAL_CLOCK_TOLERANCE: Millis = 1000.0;

/// The number of a slot, counted from where the fleet's time wraps around to 0.
pub(super) type SlotNumber = u32;

/// The two presence keys, used in alternate slots.
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

/// What the totals of the presence keys show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Presence {
    /// No gateway has written the register within the last minute.
    Absent,
    /// A gateway has written the register, in this slot if the total tells it.
    Present { slot: Option<SlotNumber> },
}

impl Presence {
    /// Returns what the total of a presence key shows.
    pub(super) fn from_total(total: f64) -> Self {
        if total < GATEWAY_AMOUNT / 2.0 {
            return Self::Absent;
        }
        let writers = (total / GATEWAY_AMOUNT).floor();
        let slot = (total - writers * GATEWAY_AMOUNT) / writers;
        let is_slot = slot.fract().abs() < 1e-6 && slot < TIME_MODULUS / SLOT_LENGTH;
        Self::Present { slot: is_slot.then_some(slot as SlotNumber) }
    }

    /// Returns what two keys show together: `self` unless it is absent.
    pub(super) fn or(self, other: Self) -> Self {
        if self == Self::Absent { other } else { self }
    }

    /// Returns whether the fleet's time certainly differs from `local_time`.
    pub(super) fn contradicts(self, local_time: Millis) -> bool {
        let Self::Present { slot: Some(slot) } = self else { return false };
        let since_slot = nearest_difference(local_time - f64::from(slot) * SLOT_LENGTH);
        !(-LOCAL_CLOCK_TOLERANCE..=SLOT_LENGTH + PRESENCE_TTL).contains(&since_slot)
    }
}
