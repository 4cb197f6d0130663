//! An exponentially decaying count of the demand of a low-quota tenant, summed over all gateways.
//!
//! The counter only supports addition, so old demand cannot be subtracted from it. Instead newer demand gets
//! a larger weight (forward decay): an increment is multiplied by `e` for each refill period since its window
//! began. The total, divided by the weight at the time of the reading, is the decayed demand. At a steady
//! request rate it equals the rate times the refill period, so a decayed demand of one burst means that the
//! tenant requests exactly its quota. A gateway gets this from a single call, at any time in the window.

use crate::Millis;

/// A window lasts this many refill periods: long enough for old demand to become negligible, and short enough
/// that a total with seven significant digits is still exact to a thousandth of a unit at these weights.
const WINDOW_PERIODS: f64 = 8.0;

/// Returns the length of a window, at most `max_length`.
pub(crate) fn window_length(refill_period: Millis, max_length: Millis) -> Millis {
    (refill_period * WINDOW_PERIODS).min(max_length)
}

/// Returns the weight of a unit that is requested `elapsed` after the window began.
pub(crate) fn increment_weight(elapsed: Millis, refill_period: Millis) -> f64 {
    (elapsed / refill_period).exp()
}

/// Returns a demand of the given age after exponential decay.
pub(crate) fn decayed(demand: f64, age: Millis, refill_period: Millis) -> f64 {
    demand / increment_weight(age, refill_period)
}

/// Returns the fraction of requests to admit at a decayed demand: 1 up to one burst.
///
/// Above one burst, an `exponent` of 1 gives the exact fraction; a larger one compensates for demand that is
/// missing from the count.
pub(crate) fn admit_ratio(demand: f64, burst: f64, exponent: f64) -> f64 {
    if demand > burst { (burst / demand).powf(exponent) } else { 1.0 }
}

#[cfg(test)]
#[path = "../../tests/unit/decayed_count.rs"]
mod tests;
