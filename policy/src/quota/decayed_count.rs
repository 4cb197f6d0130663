//! A shared count that decays: what a low-quota tenant requests at all gateways together.
//!
//! A counter can only be added to, so old demand cannot be taken off it. Instead newer demand weighs more
//! (forward decay): an increment is multiplied by `e` for each refill period since its window began. The
//! total, divided by the weight of the moment at which it is read, is the demand with older demand decayed.
//! At a steady rate that is the rate times the refill period: a total of one burst means a tenant that
//! requests exactly its quota, and any gateway learns this from a single call at any time.

use crate::Millis;

/// A window lasts this many refill periods: old demand decays to nothing, and with these weights a total that
/// is exact to seven digits is still exact to a thousandth of a unit.
const WINDOW_PERIODS: f64 = 8.0;

/// Returns how long a window lasts, `max_length` at most.
pub(crate) fn window_length(refill_period: Millis, max_length: Millis) -> Millis {
    (refill_period * WINDOW_PERIODS).min(max_length)
}

/// Returns what a unit adds to the count when it is requested this long after its window began.
pub(crate) fn increment_weight(elapsed: Millis, refill_period: Millis) -> f64 {
    (elapsed / refill_period).exp()
}

/// Returns what is left of a demand after this time.
pub(crate) fn decayed(demand: f64, age: Millis, refill_period: Millis) -> f64 {
    demand / increment_weight(age, refill_period)
}

/// Returns the fraction of requests to admit, given the decayed demand: all up to one burst.
///
/// Beyond a burst, an `exponent` of 1 gives the exact fraction; a larger one makes up for demand that the
/// count does not include.
pub(crate) fn admit_ratio(demand: f64, burst: f64, exponent: f64) -> f64 {
    if demand > burst { (burst / demand).powf(exponent) } else { 1.0 }
}

#[cfg(test)]
#[path = "../../tests/unit/decayed_count.rs"]
mod tests;
