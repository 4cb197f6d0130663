//! The pseudo-random numbers of one engine, all drawn from its seed.

use crate::hash::{mix, unit};

/// The step of a Weyl sequence: 2^64 divided by the golden ratio, made odd.
pub(crate) const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A hashed Weyl sequence (SplitMix64).
#[derive(Clone, Debug)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: mix(seed) }
    }

    /// Draws a number in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(WEYL_STEP);
        unit(self.state)
    }

    /// Returns the present state, to hash many values from one draw.
    pub(crate) fn state(&self) -> u64 {
        self.state
    }
}
