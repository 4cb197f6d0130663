//! The pseudo-random number generator of a policy engine, seeded with the engine's seed.

use crate::hash::{mix, uniform};

/// The increment of the Weyl sequence: 2^64 divided by the golden ratio, rounded to an odd number.
pub(crate) const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A generator that hashes a Weyl sequence (SplitMix64).
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// Draws a number in [0, 1).
    pub(crate) fn uniform(&mut self) -> f64 {
        self.state = self.state.wrapping_add(WEYL_STEP);
        uniform(self.state)
    }

    /// Returns the current state without advancing it, to derive many values from one draw by hashing.
    pub(crate) fn state(&self) -> u64 {
        self.state
    }
}
