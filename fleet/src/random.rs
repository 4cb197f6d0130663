//! Random numbers: a fixed generator with a seed, so that results do not change from one build to the next.

use crate::experiment::Interval;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The increment of SplitMix64: odd, with bits that look random.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The parts of the model that draw random numbers. Each has a separate stream, so that the draws of one do
/// not change those of another.
#[derive(Clone, Copy)]
pub(crate) enum Stream {
    /// Tenants, and the requests of their clients.
    Clients = 1,
    /// The fleet at its start.
    Fleet = 2,
    /// Network and notification delays.
    Network = 3,
    /// Disconnects and retries.
    ClientBehavior = 4,
    /// Errors, counter service times, and the speed of new endpoints.
    Service = 5,
}

/// A stream of random numbers.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    /// One of the streams of a seed.
    pub(crate) fn new(seed: u64, stream: Stream) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed ^ (stream as u64).wrapping_mul(GOLDEN_GAMMA)))
    }

    /// 64 random bits.
    pub(crate) fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number in [0, 1).
    pub(crate) fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number of an interval, uniformly.
    pub(crate) fn within(&mut self, interval: Interval<f64>) -> f64 {
        interval.low + (interval.high - interval.low) * self.unit()
    }

    /// An integer below `end`, uniformly; 0 if `end` is 0.
    pub(crate) fn below(&mut self, end: usize) -> usize {
        ((self.unit() * end as f64) as usize).min(end.saturating_sub(1))
    }

    /// A number of the exponential distribution with mean 1.
    pub(crate) fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    /// An index, by cumulative weights.
    pub(crate) fn weighted(&mut self, cumulative: &[f64]) -> usize {
        let at = self.unit() * cumulative.last().copied().unwrap_or(0.0);
        cumulative.partition_point(|c| *c <= at).min(cumulative.len().saturating_sub(1))
    }
}
