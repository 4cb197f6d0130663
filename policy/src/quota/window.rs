//! Quota windows: the clock that determines them, their numbers, and their counter keys.

use crate::fleet_clock::CYCLE;
use crate::hash::mix;
use crate::random::WEYL_STEP;
use crate::{FleetTime, Millis};

/// The number of a window, counted from the beginning of the fleet clock's cycle.
pub(crate) type WindowNumber = u64;

/// The number of different offsets by which the windows of different tenants are staggered.
const STAGGER_STEPS: u64 = 1024;

/// The present time, on this gateway's clock and on the one that the fleet shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    pub(crate) local: Millis,
    /// The time that determines windows.
    pub(crate) fleet: Millis,
}

/// What this gateway knows of the fleet's clock.
#[derive(Debug)]
pub(crate) struct WindowClock {
    fleet_time: FleetTime,
    /// When this gateway started, or moved to a fleet's windows: what was counted before is not known to it.
    joined_at: Millis,
    /// When the counts of the time before could not be found any more.
    counts_lost_at: Option<Millis>,
}

impl WindowClock {
    pub(crate) fn new() -> Self {
        Self { fleet_time: FleetTime::default(), joined_at: f64::NEG_INFINITY, counts_lost_at: None }
    }

    /// Notes what the host knows of the fleet's clock by now.
    pub(crate) fn update(&mut self, fleet_time: FleetTime, local: Millis) {
        let before = std::mem::replace(&mut self.fleet_time, fleet_time);
        let starts = before == FleetTime::default() && !fleet_time.is_synchronized();
        let windows_change = before == FleetTime::Converging && fleet_time != before;
        if starts || windows_change {
            self.rejoin(local);
        }
    }

    /// Notes that this gateway does not know what its fleet counted until now.
    pub(crate) fn rejoin(&mut self, local: Millis) {
        self.joined_at = local;
    }

    /// Notes that what the fleet counted until now cannot be found any more.
    pub(crate) fn lose_counts(&mut self, local: Millis) {
        self.counts_lost_at = Some(local);
    }

    /// Returns for how long counts have been kept, if earlier ones were lost.
    pub(crate) fn time_since_counts_lost(&self, local: Millis) -> Option<Millis> {
        self.counts_lost_at.map(|lost_at| local - lost_at)
    }

    pub(crate) fn now(&self, local: Millis) -> Now {
        let offset = if let FleetTime::Synchronized { offset } = self.fleet_time { offset } else { 0.0 };
        Now { local, fleet: (local + offset).rem_euclid(CYCLE) }
    }

    /// Returns whether there is a fleet whose clock is not known well enough yet to name counter keys.
    pub(crate) fn is_converging(&self) -> bool {
        self.fleet_time == FleetTime::Converging
    }

    /// Returns whether the fleet's clock is about to be known.
    pub(crate) fn is_pending(&self) -> bool {
        self.fleet_time == FleetTime::Pending
    }

    /// Returns whether this gateway joined its fleet less than `period` ago.
    pub(crate) fn joined_within(&self, local: Millis, period: Millis) -> bool {
        local - self.joined_at < period
    }
}

/// The windows of one tenant. They are staggered by a hash of its name, so that tenants do not all renew at
/// once.
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

    /// Returns how long a window lasts.
    pub(crate) fn length(&self) -> Millis {
        self.length
    }

    /// Returns the present window.
    pub(crate) fn window_at(&self, now: Now) -> WindowNumber {
        ((now.fleet + self.stagger) / self.length).floor() as WindowNumber
    }

    /// Returns how long ago a window began.
    pub(crate) fn elapsed(&self, window: WindowNumber, now: Now) -> Millis {
        (now.fleet - (window as f64 * self.length - self.stagger)).rem_euclid(CYCLE)
    }
}

/// Returns the counter key of a tenant's window, below 2^63 and the same at all gateways.
pub(crate) fn counter_key(name_hash: u64, window: WindowNumber) -> u64 {
    mix(name_hash ^ window.wrapping_mul(WEYL_STEP)) >> 1
}
