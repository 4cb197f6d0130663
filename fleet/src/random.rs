//! Chance: a fixed generator with a seed, so that results stay the same from one build to the next.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A stream of chance. Each part of the model has its own, so that what one draws moves no other.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    /// A stream by the run's seed and its own number.
    pub(crate) fn new(seed: u64, stream: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Any number.
    pub(crate) fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// In [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Evenly in a range.
    pub(crate) fn within(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.unit()
    }

    /// A whole number below `end`, or 0.
    pub(crate) fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end as f64) as usize).min(end.saturating_sub(1))
    }

    /// Exponential, with a mean of 1.
    pub(crate) fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    /// An index, by cumulative weights.
    pub(crate) fn weighted(&mut self, cumulative: &[f64]) -> usize {
        let at = self.unit() * cumulative.last().copied().unwrap_or(0.0);
        cumulative.partition_point(|c| *c <= at).min(cumulative.len().saturating_sub(1))
    }
}
