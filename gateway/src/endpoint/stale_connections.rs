//! Decides whether an idle connection may be reused, by the failure rate of connections of similar idle time.
//!
//! Endpoints and intermediaries may drop idle connections earlier than configured. Some do so without closing
//! them, and the socket looks healthy until the next request is written. The estimator compares the failure
//! rate of reused connections of similar idle time with that of new connections, which are the baseline
//! because random resets are no reason to reconnect. All endpoints share the estimate: if a few of them drop
//! connections early, requests to the others also need more handshakes.

use ryefront_policy::Idempotency;
use std::time::Duration;

/// The number of idle-time buckets.
const BUCKET_COUNT: usize = 6;
/// The first bucket ends at this idle time.
const FIRST_BUCKET_END: Duration = Duration::from_millis(25);
/// Each further bucket ends at this many times the idle time of the one before.
const BUCKET_GROWTH: u128 = 4;
/// The weight of the latest exchange in the moving average of a failure rate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The excess of the failure rate of reused connections over that of new ones that idempotent requests
/// tolerate.
const FAILURE_MARGIN: f64 = 0.05;
/// The excess that non-idempotent requests tolerate.
const FAILURE_MARGIN_NON_IDEMPOTENT: f64 = 0.02;
/// The fraction by which a bucket's failure rate decays each time it prevents a reuse, so that reuse is
/// eventually tried again.
const FAILURE_RATE_DECAY: f64 = 0.02;

/// The failure rates of exchanges: on new connections, and on reused ones by idle time.
#[derive(Default)]
pub(super) struct StaleConnectionEstimator {
    new_failure_rate: f64,
    /// By bucket of idle time.
    reused_failure_rates: [f64; BUCKET_COUNT],
}

impl StaleConnectionEstimator {
    /// Records how an exchange ended on a connection that had been idle for `idle_time`, or on a new one.
    pub(super) fn record(&mut self, idle_time: Option<Duration>, outcome: ConnectionOutcome) {
        let failure = match outcome {
            ConnectionOutcome::Broken => 1.0,
            ConnectionOutcome::Other => 0.0,
        };
        let rate = idle_time.map_or(&mut self.new_failure_rate, |idle_time| {
            &mut self.reused_failure_rates[bucket(idle_time)]
        });
        *rate += SAMPLE_WEIGHT * (failure - *rate);
    }

    /// Whether a connection that has been idle for `idle_time` may carry a request of this idempotency.
    pub(super) fn allows_reuse(&mut self, idle_time: Duration, idempotency: Idempotency) -> bool {
        let margin = match idempotency {
            Idempotency::Idempotent | Idempotency::WithKey => FAILURE_MARGIN,
            Idempotency::NonIdempotent => FAILURE_MARGIN_NON_IDEMPOTENT,
        };
        let rate = &mut self.reused_failure_rates[bucket(idle_time)];
        let is_allowed = *rate <= self.new_failure_rate + margin;
        if !is_allowed {
            *rate *= 1.0 - FAILURE_RATE_DECAY;
        }
        is_allowed
    }
}

/// What the end of an exchange shows about its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionOutcome {
    /// The connection broke after part of the request was written and before any byte of a response.
    Broken,
    /// The exchange ended in another way: no sign of a stale connection.
    Other,
}

/// The index of the bucket of an idle time.
fn bucket(idle_time: Duration) -> usize {
    let multiple = idle_time.as_millis() / FIRST_BUCKET_END.as_millis();
    multiple.checked_ilog(BUCKET_GROWTH).map_or(0, |power| (power as usize + 1).min(BUCKET_COUNT - 1))
}
