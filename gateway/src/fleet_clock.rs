//! Synchronizes a gateway with the fleet's clock by calls to the shared counter.
//!
//! The algorithm is in [`ryefront_policy::fleet_clock`]; this module provides the local time and makes the
//! calls.

use crate::clock::{Clock, duration};
use crate::counter::CounterClient;
use crate::log;
use ryefront_policy::fleet_clock::FleetClock;
use ryefront_policy::{CounterResult, FleetTime};
use std::cell::RefCell;
use std::time::Duration;

/// The minimum delay between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The synchronization of one gateway with the fleet's clock.
pub(crate) struct FleetClockSync {
    local: Clock,
    fleet: RefCell<FleetClock>,
}

impl FleetClockSync {
    /// Creates an unsynchronized clock. The seed determines the jitter that spreads the gateways' calls.
    pub(crate) fn new(gateway_count: u32, seed: u64, local: Clock) -> Self {
        let fleet = FleetClock::new(gateway_count, seed, local.now());
        Self { local, fleet: RefCell::new(fleet) }
    }

    /// Returns whether replies for this counter key are to be passed to [`Self::record_reply`].
    pub(crate) fn uses_key(key: u64) -> bool {
        FleetClock::uses_key(key)
    }

    /// Returns whether there are other gateways to synchronize with.
    pub(crate) fn is_shared(&self) -> bool {
        self.fleet.borrow().is_shared()
    }

    /// Returns the state of the fleet's clock.
    pub(crate) fn time(&self) -> FleetTime {
        self.fleet.borrow().time()
    }

    /// Makes the next counter call if it is due.
    pub(crate) fn poll(&self, counter: &CounterClient) {
        // Not borrowed during the call, as the result of a call that fails at once is reported before it
        // returns.
        let call = self.fleet.borrow_mut().poll(self.local.now());
        if let Some(call) = call {
            counter.increment(call.key, call.amount, call.ttl);
        }
    }

    /// Records the reply to a call and logs the resulting change of the clock, if any. Returns whether the
    /// fleet's earlier counts can no longer be found.
    pub(crate) fn record_reply(&self, result: CounterResult) -> bool {
        let Some(change) = self.fleet.borrow_mut().record_reply(self.local.now(), result) else {
            return false;
        };
        log::write(format_args!("fleet clock: {change}"));
        change.loses_counts()
    }

    /// Returns how long to wait before the next poll.
    pub(crate) fn time_to_next_poll(&self) -> Duration {
        let due = self.fleet.borrow().due();
        duration(due - self.local.now()).max(MIN_POLL_INTERVAL)
    }
}
