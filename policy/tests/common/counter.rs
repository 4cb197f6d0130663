//! An in-memory fake of the shared counter.

use ryefront_policy::{CounterResult, Event, Millis};
use std::collections::BTreeMap;

/// The latency of a call that gets a reply.
const REPLY_LATENCY: Millis = 2.0;
/// The time after which a call without a reply ends.
const TIMEOUT: Millis = 50.0;

/// A counter that adds amounts to keys, and is available or not from call to call.
#[derive(Default)]
pub(crate) struct FakeCounter {
    totals: BTreeMap<u64, f64>,
}

impl FakeCounter {
    /// Adds an amount to a key. Returns the reply event and the time until it is due. An unavailable counter
    /// adds nothing, and its result is unknown.
    pub(crate) fn increment(&mut self, key: u64, amount: f64, available: bool) -> (Millis, Event) {
        let (result, latency) = if available {
            let total = self.totals.entry(key).or_default();
            *total += amount;
            (CounterResult::Total(*total), REPLY_LATENCY)
        } else {
            (CounterResult::Unknown, TIMEOUT)
        };
        (latency, Event::CounterReply { key, result, latency })
    }

    pub(crate) fn lose_counts(&mut self) {
        self.totals.clear();
    }
}
