//! How long a rejected client should wait before it retries. A random part keeps clients from returning
//! together.

use crate::Millis;
use crate::random::Random;

/// A request that is shed waits this fraction of the longest Retry-After, and up to so much more at random.
const LOAD_SHED_FRACTION: f64 = 0.3;
const LOAD_SHED_JITTER: f64 = 0.4;
/// The random part of the wait of a request that is over quota, as a fraction of the time until its units
/// refill.
const OVER_QUOTA_JITTER: f64 = 0.5;
/// The least refill rate that is divided by, in units per second.
const MIN_REFILL_RATE: f64 = 1e-9;

/// Returns the wait of a request that is over quota by so many units, at a refill rate in units per second.
pub(crate) fn over_quota(missing_units: f64, refill_rate: f64, random: &mut Random) -> Millis {
    let refill_time = missing_units / refill_rate.max(MIN_REFILL_RATE) * 1000.0;
    refill_time * (1.0 + OVER_QUOTA_JITTER * random.unit())
}

/// Returns the wait of a request for which there is no capacity.
pub(crate) fn load_shed(max_retry_after: Millis, random: &mut Random) -> Millis {
    max_retry_after * (LOAD_SHED_FRACTION + LOAD_SHED_JITTER * random.unit())
}
