//! The Retry-After of rejected requests, with jitter that spreads the retries of clients over time.

use crate::Millis;
use crate::quota::QuotaShortfall;
use crate::random::Random;

/// The shortest Retry-After of a request for which there is no capacity, as a fraction of the longest that
/// clients follow.
const LOAD_SHED_MIN_FRACTION: f64 = 0.3;
/// The largest jitter that is added to it, as a fraction of the longest Retry-After that clients follow.
const LOAD_SHED_JITTER_FRACTION: f64 = 0.4;
/// The largest jitter in the Retry-After of a request that is over quota, as a fraction of the refill time.
const OVER_QUOTA_JITTER_FRACTION: f64 = 0.5;
/// Lower bound of the refill rate in units per second, which avoids a division by zero.
const MIN_REFILL_RATE: f64 = 1e-9;

/// Returns the Retry-After of a request that is over quota: the time in which its missing units refill, plus
/// jitter.
pub(crate) fn over_quota(shortfall: QuotaShortfall, random: &mut Random) -> Millis {
    let refill_time = shortfall.missing_units / shortfall.refill_rate.max(MIN_REFILL_RATE) * 1000.0;
    refill_time * (1.0 + OVER_QUOTA_JITTER_FRACTION * random.uniform())
}

/// Returns the Retry-After of a request for which there is no capacity.
pub(crate) fn load_shed(max_retry_after: Millis, random: &mut Random) -> Millis {
    max_retry_after * (LOAD_SHED_MIN_FRACTION + LOAD_SHED_JITTER_FRACTION * random.uniform())
}
