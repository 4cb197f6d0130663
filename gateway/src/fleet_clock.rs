//! Keeps a gateway's clock synchronized with the fleet's, by calls of the shared counter.
//!
//! The algorithm is that of [`ryefront_policy::fleet_clock`]; this module provides the local time and makes
//! the calls.

use crate::clock::{Clock, duration};
use crate::counter::CounterClient;
use crate::log;
use ryefront_policy::fleet_clock::FleetClock;
use ryefront_policy::{CounterResult, FleetTime};
use std::cell::RefCell;
use std::time::Duration;

/// The shortest time between two polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One gateway's synchronization with the fleet's clock.
pub(crate) struct FleetClockSync {
    local: Clock,
    fleet: RefCell<FleetClock>,
}

impl FleetClockSync {
    /// Not synchronized yet. The seed spreads the gateways' calls.
    pub(crate) fn new(gateway_count: u32, seed: u64, local: Clock) -> Self {
        let fleet = FleetClock::new(gateway_count, seed, local.now());
        Self { local, fleet: RefCell::new(fleet) }
    }

    /// Whether replies to calls of this counter key are for [`Self::record_reply`].
    pub(crate) fn uses_key(key: u64) -> bool {
        FleetClock::uses_key(key)
    }

    /// Whether there are other gateways to synchronize with.
    pub(crate) fn is_shared(&self) -> bool {
        self.fleet.borrow().is_shared()
    }

    /// The fleet's time, as far as this gateway is synchronized.
    pub(crate) fn time(&self) -> FleetTime {
        self.fleet.borrow().time()
    }

    /// Makes the next call of the counter if it is due.
    pub(crate) fn poll(&self, counter: &CounterClient) {
        // Not borrowed during the call: a call that fails at once is reported before it returns.
        let call = self.fleet.borrow_mut().poll(self.local.now());
        if let Some(call) = call {
            counter.increment(call.key, call.amount, call.ttl);
        }
    }

    /// Records the reply to a call, and logs what an operator should know. Returns whether the counts of the
    /// fleet were lost.
    pub(crate) fn record_reply(&self, result: CounterResult) -> bool {
        let Some(change) = self.fleet.borrow_mut().record_reply(self.local.now(), result) else {
            return false;
        };
        log::write(format_args!("fleet clock: {change}"));
        change.loses_counts()
    }

    /// How long to wait before the next poll.
    pub(crate) fn time_to_next_poll(&self) -> Duration {
        let due = self.fleet.borrow().due();
        duration(due - self.local.now()).max(MIN_POLL_INTERVAL)
    }
}
