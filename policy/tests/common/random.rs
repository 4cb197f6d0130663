//! Pseudo-random numbers for tests, independent of the generator in the policy.

/// A linear congruential generator.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Draws an integer in [0, `bound`).
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Draws a number in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        self.below(1 << 30) as f64 / f64::from(1u32 << 30)
    }
}
