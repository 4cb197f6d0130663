//! Quota windows: the clock they are derived from, their numbers, and their counter keys.

use crate::fleet_clock::TIME_MODULUS;
use crate::hash::mix;
use crate::random::WEYL_STEP;
use crate::{FleetTime, Millis};

/// The number of a window, counted from where the fleet's time wraps around to 0.
pub(crate) type WindowNumber = u64;

/// The number of distinct offsets by which the windows of different tenants are staggered.
const STAGGER_STEPS: u64 = 1024;

/// The current time on this gateway's clock and on the fleet's shared clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    pub(crate) local: Millis,
    /// The time that windows are derived from.
    pub(crate) fleet: Millis,
}

/// This gateway's view of the fleet's clock, and since when its counts are complete.
#[derive(Debug)]
pub(crate) struct WindowClock {
    fleet_time: FleetTime,
    /// When this gateway started, resumed, or switched to the fleet's windows. It has no reading of earlier
    /// counts.
    joined_at: Millis,
    /// When counts were last lost: those of earlier usage can no longer be read.
    counts_lost_at: Option<Millis>,
}

impl WindowClock {
    pub(crate) fn new() -> Self {
        Self { fleet_time: FleetTime::default(), joined_at: f64::NEG_INFINITY, counts_lost_at: None }
    }

    /// Updates what is known of the fleet's clock.
    pub(crate) fn update(&mut self, fleet_time: FleetTime, local: Millis) {
        let before = std::mem::replace(&mut self.fleet_time, fleet_time);
        let starts = before == FleetTime::default() && !fleet_time.is_synchronized();
        let windows_change = before == FleetTime::Converging && fleet_time != before;
        if starts || windows_change {
            self.rejoin(local);
        }
    }

    /// Records that this gateway has no reading of the fleet's counts so far.
    pub(crate) fn rejoin(&mut self, local: Millis) {
        self.joined_at = local;
    }

    /// Records that the fleet's counts so far can no longer be read.
    pub(crate) fn record_counts_lost(&mut self, local: Millis) {
        self.counts_lost_at = Some(local);
    }

    /// Returns the time since counts were last lost, or `None` if they never were.
    pub(crate) fn time_since_counts_lost(&self, local: Millis) -> Option<Millis> {
        self.counts_lost_at.map(|lost_at| local - lost_at)
    }

    pub(crate) fn now(&self, local: Millis) -> Now {
        let offset = if let FleetTime::Synchronized { offset } = self.fleet_time { offset } else { 0.0 };
        Now { local, fleet: (local + offset).rem_euclid(TIME_MODULUS) }
    }

    /// Returns whether the fleet's clock is not yet known well enough to derive counter keys from it.
    pub(crate) fn is_converging(&self) -> bool {
        self.fleet_time == FleetTime::Converging
    }

    /// Returns whether the first counter reply, and with it the fleet's clock, is still awaited.
    pub(crate) fn is_pending(&self) -> bool {
        self.fleet_time == FleetTime::Pending
    }

    /// Returns whether this gateway joined its fleet less than `period` ago.
    pub(crate) fn joined_within(&self, local: Millis, period: Millis) -> bool {
        local - self.joined_at < period
    }
}

/// The windows of one tenant, staggered by a hash of its name so that tenants do not all renew their leases
/// at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowSchedule {
    length: Millis,
    stagger: Millis,
}

impl WindowSchedule {
    pub(crate) fn new(length: Millis, name_hash: u64) -> Self {
        let stagger = (name_hash % STAGGER_STEPS) as f64 / STAGGER_STEPS as f64 * length;
        Self { length, stagger }
    }

    /// Returns the length of a window.
    pub(crate) fn length(&self) -> Millis {
        self.length
    }

    /// Returns the window at the given time.
    pub(crate) fn window_at(&self, now: Now) -> WindowNumber {
        ((now.fleet + self.stagger) / self.length).floor() as WindowNumber
    }

    /// Returns the time since a window began.
    pub(crate) fn elapsed(&self, window: WindowNumber, now: Now) -> Millis {
        (now.fleet - (window as f64 * self.length - self.stagger)).rem_euclid(TIME_MODULUS)
    }
}

/// Returns the counter key of a tenant's window. Keys are below 2^63, and the same at all gateways.
pub(crate) fn counter_key(name_hash: u64, window: WindowNumber) -> u64 {
    mix(name_hash ^ window.wrapping_mul(WEYL_STEP)) >> 1
}
