//! The shared count of a thin tenant: what it asks at all gateways, as a sum that fades.
//!
//! A count can only be added to. So an add made late in a window weighs more: by `e` for each turn since the
//! window began. The total, divided by the weight of the moment it is heard, is what was asked with all that
//! is older faded. At a steady rate that is rate times turn: a total of one burst means a tenant that asks
//! just what its quota lets through, and any gateway learns so from one call, whenever it makes it.

use crate::Millis;

/// A window lasts so many turns, in which old demand fades to nothing, and the weights still leave a total,
/// exact to seven digits, sharp to a thousandth of a unit.
const WINDOW_TURNS: f64 = 8.0;

/// How long a window of a thin tenant's count lasts; no count is kept for longer than `most`.
pub(crate) fn window_length(turn: Millis, most: Millis) -> Millis {
    (turn * WINDOW_TURNS).min(most)
}

/// What a unit asked this long after its window began adds to the count.
pub(crate) fn weight(since: Millis, turn: Millis) -> f64 {
    (since / turn).exp()
}

/// What is left of a demand after a while.
pub(crate) fn faded(demand: f64, age: Millis, turn: Millis) -> f64 {
    demand / weight(age, turn)
}

/// The share of what is asked that the quota lets through, given the faded demand: all up to one burst. Above
/// that `strictness` 1 would be the exact share; more makes up for demand that the count has not heard of.
pub(crate) fn share_let_in(demand: f64, burst: f64, strictness: f64) -> f64 {
    if demand > burst { (burst / demand).powf(strictness) } else { 1.0 }
}

#[cfg(test)]
#[path = "../tests/unit/demand.rs"]
mod tests;
