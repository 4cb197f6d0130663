//! How long a rejected client should wait before it retries. A random part keeps clients from returning
//! together.

use crate::Millis;
use crate::quota::QuotaShortfall;
use crate::random::Random;

/// The least Retry-After of a request that is shed, as a fraction of the longest that clients follow.
const LOAD_SHED_FRACTION: f64 = 0.3;
/// The random part that is added to it, as a fraction of the same.
const LOAD_SHED_JITTER: f64 = 0.4;
/// The random part of the Retry-After of a request that is over quota, as a fraction of the time until its
/// units refill.
const OVER_QUOTA_JITTER: f64 = 0.5;
/// The least refill rate that is divided by, in units per second.
const MIN_REFILL_RATE: f64 = 1e-9;

/// Returns the Retry-After of a request that is over quota: the time in which its missing units refill, and a
/// random part.
pub(crate) fn over_quota(shortfall: QuotaShortfall, random: &mut Random) -> Millis {
    let refill_time = shortfall.missing_units / shortfall.refill_rate.max(MIN_REFILL_RATE) * 1000.0;
    refill_time * (1.0 + OVER_QUOTA_JITTER * random.uniform())
}

/// Returns the Retry-After of a request for which there is no capacity.
pub(crate) fn load_shed(max_retry_after: Millis, random: &mut Random) -> Millis {
    max_retry_after * (LOAD_SHED_FRACTION + LOAD_SHED_JITTER * random.uniform())
}
