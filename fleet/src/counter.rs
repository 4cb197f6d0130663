//! The model of the shared counter. Each partition starts calls at a fixed maximum rate, and the service time
//! of a call is random.

use crate::experiment;
use crate::random::Random;
use crate::time::{self, Micros};
use ryefront_policy::{CounterResult, Millis};
use std::collections::HashMap;

/// Expired keys are removed once in this number of calls.
const CALLS_BETWEEN_CLEANUPS: u64 = 100_000;
/// A gateway abandons a call after this many times the settings' counter timeout. Must be equal to
/// `COUNTER_TIMEOUT_MULTIPLE` in gateway/src/engine.rs.
const COUNTER_TIMEOUT_MULTIPLE: f64 = 4.0;
/// The maximum service time, as a multiple of the mean.
const MAX_SERVICE_TIME_FACTOR: f64 = 8.0;

/// A call from a gateway.
pub(crate) struct CounterCall {
    pub(crate) gateway: u32,
    pub(crate) key: u64,
    pub(crate) amount: f64,
    pub(crate) ttl: Millis,
    pub(crate) sent_at: Micros,
}

/// The result of a call, and the time at which it is available.
pub(crate) struct CounterReply {
    pub(crate) result: CounterResult,
    pub(crate) at: Micros,
}

/// The number of calls since the start of the simulation.
#[derive(Clone, Copy, Default)]
pub(crate) struct CounterStatistics {
    pub(crate) calls: u64,
    /// Calls that the counter rejected because they would have waited too long.
    pub(crate) rejected: u64,
    /// Calls that the gateway abandoned after its timeout.
    pub(crate) timed_out: u64,
}

/// The total of one key.
struct Total {
    value: f64,
    expires_at: Micros,
}

/// The shared counter.
pub(crate) struct Counter {
    totals: HashMap<u64, Total>,
    /// The earliest time at which each partition can start its next call.
    next_start_at: Vec<Micros>,
    /// The minimum interval between the calls that a partition starts, which is also the mean service time.
    service_time: Micros,
    max_wait: Micros,
    /// The time after which a gateway abandons a call.
    call_timeout: Micros,
    statistics: CounterStatistics,
}

impl Counter {
    /// Creates a counter with a fraction of the capacity in the settings.
    pub(crate) fn new(settings: &experiment::Counter, fraction: f64) -> Self {
        let partition_calls_per_s = settings.calls_per_s * fraction / f64::from(settings.partitions);
        Self {
            totals: HashMap::new(),
            next_start_at: vec![0; settings.partitions as usize],
            service_time: (1e6 / partition_calls_per_s).round() as Micros,
            max_wait: time::from_ms(settings.max_wait_ms),
            call_timeout: (settings.timeout_ms * COUNTER_TIMEOUT_MULTIPLE * 1000.0) as Micros,
            statistics: CounterStatistics::default(),
        }
    }

    pub(crate) fn statistics(&self) -> CounterStatistics {
        self.statistics
    }

    /// Serves an arriving call, or rejects it if it would wait too long.
    pub(crate) fn serve(&mut self, call: &CounterCall, now: Micros, random: &mut Random) -> CounterReply {
        self.statistics.calls += 1;
        if self.statistics.calls.is_multiple_of(CALLS_BETWEEN_CLEANUPS) {
            self.totals.retain(|_, total| total.expires_at > now);
        }
        let partition = (call.key % self.next_start_at.len() as u64) as usize;
        let start = self.next_start_at[partition].max(now);
        if start - now > self.max_wait {
            self.statistics.rejected += 1;
            return CounterReply { result: CounterResult::NotAdded, at: now };
        }
        self.next_start_at[partition] = start + self.service_time;
        let total = self.totals.entry(call.key).or_insert(Total { value: 0.0, expires_at: 0 });
        if total.expires_at <= now {
            *total = Total { value: 0.0, expires_at: now + time::from_ms(call.ttl) };
        }
        total.value += call.amount;
        let factor = random.exponential().min(MAX_SERVICE_TIME_FACTOR);
        let at = start + (self.service_time as f64 * factor) as Micros;
        CounterReply { result: CounterResult::Total(total.value), at }
    }

    /// The reply as the gateway observes it. If it would arrive after the gateway's timeout, the result is
    /// `Unknown` at the time of the timeout.
    pub(crate) fn reply_at_gateway(
        &mut self, call: &CounterCall, reply: &CounterReply, network_delay: Micros, now: Micros,
    ) -> CounterReply {
        let at = reply.at + network_delay;
        let timeout_at = call.sent_at + self.call_timeout;
        if at <= timeout_at {
            return CounterReply { result: reply.result, at };
        }
        self.statistics.timed_out += 1;
        CounterReply { result: CounterResult::Unknown, at: timeout_at.max(now) }
    }
}
