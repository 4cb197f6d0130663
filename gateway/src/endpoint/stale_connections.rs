//! Whether an idle connection may be reused, by how often requests on connections of similar idle time
//! failed.
//!
//! Endpoints, and whatever lies between, may drop idle connections earlier than configured, and some show it
//! only when the next request is written: until then the socket looks healthy. The estimator compares how
//! often requests fail on connections of similar idle time with how often they fail on new connections. New
//! connections are the baseline because random resets are no reason to reconnect. Endpoints share the
//! estimate: if a few of many drop connections early, requests to all of them pay for handshakes.

use ryefront_policy::Idempotency;
use std::time::Duration;

/// The number of idle-time buckets.
const BUCKET_COUNT: usize = 6;
/// The first bucket ends at this idle time.
const FIRST_BUCKET_END: Duration = Duration::from_millis(25);
/// Each further bucket ends at this many times the idle time of the one before.
const BUCKET_GROWTH: u128 = 4;
/// The weight of the latest exchange in a failure rate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// By how much the failure rate of reused connections may exceed that of new ones, for idempotent requests.
const FAILURE_MARGIN: f64 = 0.05;
/// The same for non-idempotent requests.
const FAILURE_MARGIN_NON_IDEMPOTENT: f64 = 0.02;
/// A bucket's failure rate decays by this fraction whenever it forbids a reuse, so that reuse is tried again.
const DISTRUST_DECAY: f64 = 0.02;

/// Failure rates of exchanges: on new connections, and on reused ones by idle time.
#[derive(Default)]
pub(super) struct StaleEstimator {
    new: f64,
    reused: [f64; BUCKET_COUNT],
}

impl StaleEstimator {
    /// Records an exchange on a connection that had been idle for this time, or on a new one.
    pub(super) fn record(&mut self, idle: Option<Duration>, result: ExchangeResult) {
        let failure = match result {
            ExchangeResult::ConnectionBroke => 1.0,
            ExchangeResult::Other => 0.0,
        };
        let rate = idle.map_or(&mut self.new, |idle| &mut self.reused[bucket(idle)]);
        *rate += SAMPLE_WEIGHT * (failure - *rate);
    }

    /// Whether a connection that has been idle for this time may carry a request.
    pub(super) fn allows_reuse(&mut self, idle: Duration, idempotency: Idempotency) -> bool {
        let margin = match idempotency {
            Idempotency::Idempotent | Idempotency::WithKey => FAILURE_MARGIN,
            Idempotency::NonIdempotent => FAILURE_MARGIN_NON_IDEMPOTENT,
        };
        let rate = &mut self.reused[bucket(idle)];
        let is_allowed = *rate <= self.new + margin;
        if !is_allowed {
            *rate *= 1.0 - DISTRUST_DECAY;
        }
        is_allowed
    }
}

/// How an exchange ended, as far as its connection is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeResult {
    /// The connection broke after part of the request was written and before any byte of a response.
    ConnectionBroke,
    /// Anything else.
    Other,
}

/// The bucket of an idle time.
fn bucket(idle: Duration) -> usize {
    let multiple = idle.as_millis() / FIRST_BUCKET_END.as_millis();
    multiple.checked_ilog(BUCKET_GROWTH).map_or(0, |power| (power as usize + 1).min(BUCKET_COUNT - 1))
}
