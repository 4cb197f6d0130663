//! A stand-in for the shared counter.

use ryefront_policy::{CounterResult, Event, Millis};
use std::collections::BTreeMap;

/// How long a call takes that is answered.
const REPLY_LATENCY: Millis = 2.0;
/// How long a call takes that is not answered.
const TIMEOUT: Millis = 50.0;

/// The totals of all keys.
#[derive(Default)]
pub(crate) struct CounterStandIn {
    totals: BTreeMap<u64, f64>,
}

impl CounterStandIn {
    /// Makes a call. Returns the event that it leads to, and after which time; an unavailable counter adds
    /// nothing.
    pub(crate) fn call(&mut self, key: u64, amount: f64, available: bool) -> (Millis, Event) {
        let (result, latency) = if available {
            let total = self.totals.entry(key).or_default();
            *total += amount;
            (CounterResult::Total(*total), REPLY_LATENCY)
        } else {
            (CounterResult::Unknown, TIMEOUT)
        };
        (latency, Event::CounterReply { key, result, latency })
    }

    /// Loses all counts.
    pub(crate) fn lose_counts(&mut self) {
        self.totals.clear();
    }
}
