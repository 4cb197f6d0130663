//! Calls to the shared counter: calls in flight, back-pressure, and detection of an unavailable counter.
//!
//! A counter that is overloaded or unreachable must not delay requests, and must not receive more calls than
//! it can answer. Therefore the number of calls in flight is limited, a call ratio follows the latency of
//! replies (multiplicative increase, multiplicative decrease), and after repeated failures the counter is
//! considered unavailable, as with an open circuit breaker.

use crate::{CounterResult, Millis, Name, Settings};
use std::collections::BTreeMap;

/// A request waits for a counter reply for at most this fraction of its latency objective.
pub(crate) const MAX_WAIT_FRACTION: f64 = 0.12;
/// The maximum number of calls in flight at a call ratio of 1.
const MAX_CALLS_IN_FLIGHT: f64 = 12.0;
/// A reply is fast within this fraction of the shortest time that a request of any class waits. Slower
/// replies lower the call ratio.
const FAST_REPLY_FRACTION: f64 = 0.3;
/// The relative increase of the call ratio for a reply without latency.
const CALL_RATIO_STEP: f64 = 0.2;
/// A slow reply or a failure lowers the call ratio by up to this many steps.
const MAX_DECREASE_FACTOR: f64 = 2.0;
/// The minimum call ratio: without calls a gateway would not detect that the counter has recovered.
const MIN_CALL_RATIO: f64 = 0.1;
/// The counter is considered unavailable only after this many consecutive failures: a single call may merely
/// be late.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;
/// The counter is considered unavailable only if the last reply is more than this many call timeouts ago.
const UNAVAILABLE_AFTER_TIMEOUTS: f64 = 3.0;

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallKind {
    /// Adds a lease block and the unreported usage.
    Increment,
    /// Reads the total of the previous window.
    ReadPrevious,
}

/// A call that has not ended.
#[derive(Debug)]
pub(crate) struct CallInFlight {
    pub(crate) tenant: Name,
    pub(crate) kind: CallKind,
}

/// The calls of this gateway to the counter.
#[derive(Debug)]
pub(crate) struct CounterCalls {
    in_flight_by_key: BTreeMap<u64, CallInFlight>,
    /// The fraction of the wanted calls to make, derived from the latency of replies.
    call_ratio: f64,
    consecutive_failures: u32,
    last_reply_at: Millis,
    recovered_at: Millis,
    /// When the process resumed after its last pause.
    resumed_at: Millis,
    unavailability_logged: bool,
    has_counter: bool,
    timeout: Millis,
    /// Replies up to this latency raise the call ratio.
    fast_reply_latency: Millis,
}

impl CounterCalls {
    pub(crate) fn new(settings: &Settings) -> Self {
        let waits = settings.classes.iter().map(|class| class.latency_objective * MAX_WAIT_FRACTION);
        Self {
            in_flight_by_key: BTreeMap::new(),
            call_ratio: 1.0,
            consecutive_failures: 0,
            last_reply_at: 0.0,
            recovered_at: 0.0,
            resumed_at: f64::NEG_INFINITY,
            unavailability_logged: false,
            has_counter: settings.has_counter,
            timeout: settings.counter_timeout,
            fast_reply_latency: waits.fold(f64::INFINITY, f64::min) * FAST_REPLY_FRACTION,
        }
    }

    pub(crate) fn has_counter(&self) -> bool {
        self.has_counter
    }

    /// Returns the fraction of the wanted calls to make.
    pub(crate) fn call_ratio(&self) -> f64 {
        self.call_ratio
    }

    /// Returns whether all wanted calls are made: the counter keeps up, so that it can also answer calls that
    /// only read.
    pub(crate) fn is_unthrottled(&self) -> bool {
        self.call_ratio >= 1.0
    }

    /// Records that the process resumed after a pause.
    pub(crate) fn resume(&mut self, now: Millis) {
        self.resumed_at = now;
    }

    /// Returns when the counter was last detected to have recovered.
    pub(crate) fn recovered_at(&self) -> Millis {
        self.recovered_at
    }

    pub(crate) fn none_in_flight(&self) -> bool {
        self.in_flight_by_key.is_empty()
    }

    /// Returns whether the limit of calls in flight is reached.
    pub(crate) fn is_full(&self) -> bool {
        self.in_flight_by_key.len() as f64 >= (MAX_CALLS_IN_FLIGHT * self.call_ratio).max(1.0)
    }

    /// Returns whether several consecutive calls have failed and no reply arrived for several timeouts.
    pub(crate) fn is_unavailable(&self, now: Millis) -> bool {
        let since_reply = now - self.last_reply_at;
        self.consecutive_failures >= UNAVAILABLE_AFTER_FAILURES
            && since_reply > self.timeout * UNAVAILABLE_AFTER_TIMEOUTS
    }

    /// Records a call for a tenant.
    pub(crate) fn call_started(&mut self, key: u64, tenant: Name, kind: CallKind) {
        self.in_flight_by_key.insert(key, CallInFlight { tenant, kind });
    }

    /// Removes a call that has ended and adjusts the call ratio by its latency. Returns the call, or `None`
    /// if the key has no call in flight.
    pub(crate) fn call_ended(
        &mut self, key: u64, result: CounterResult, latency: Millis, now: Millis,
    ) -> Option<CallInFlight> {
        let call = self.in_flight_by_key.remove(&key)?;
        if now - latency < self.resumed_at {
            // The latency includes a pause of this process, so it does not measure the counter.
            return Some(call);
        }
        let slowness = match result {
            CounterResult::Total(_) => latency / self.fast_reply_latency,
            CounterResult::NotAdded | CounterResult::Unknown => f64::INFINITY,
        };
        let step = CALL_RATIO_STEP * (1.0 - slowness).max(-MAX_DECREASE_FACTOR);
        self.call_ratio = (self.call_ratio * (1.0 + step)).clamp(MIN_CALL_RATIO, 1.0);
        Some(call)
    }

    /// Records a call that returned a total. Returns whether it ends an unavailability that was logged.
    pub(crate) fn record_reply(&mut self, now: Millis) -> bool {
        let recovered = std::mem::take(&mut self.unavailability_logged);
        if recovered {
            self.recovered_at = now;
        }
        self.consecutive_failures = 0;
        self.last_reply_at = now;
        recovered
    }

    /// Records a call that returned no total.
    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
    }

    /// Records that the counter is unavailable. Returns whether to log it: once until the next reply.
    pub(crate) fn record_unavailability(&mut self) -> bool {
        !std::mem::replace(&mut self.unavailability_logged, true)
    }
}
