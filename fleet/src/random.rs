//! Seeded random numbers. The generator and all distributions are fixed here, so that the same seed gives the
//! same result in every build.

use crate::experiment::Interval;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// The increment of the SplitMix64 generator: an odd number whose bits have no regular pattern.
pub(crate) const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The random number streams of the model. They are independent, so that additional draws from one do not
/// change the numbers of another.
#[derive(Clone, Copy)]
pub(crate) enum Stream {
    /// Generation of tenants, and arrivals of new requests.
    Clients = 1,
    /// The initial state of the fleet, and the endpoints that a rollout replaces.
    Fleet = 2,
    /// Network and notification delays.
    Network = 3,
    /// Disconnects and retries of clients.
    ClientBehavior = 4,
    /// Errors of endpoints, service times of the counter, and the speed of new endpoints.
    Service = 5,
}

/// A random number generator.
pub(crate) struct Random(Pcg64Mcg);

impl Random {
    /// Creates the generator of one stream from the seed of the simulation.
    pub(crate) fn new(seed: u64, stream: Stream) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed ^ (stream as u64).wrapping_mul(GOLDEN_GAMMA)))
    }

    /// Draws 64 random bits.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Draws a number from [0, 1), uniformly distributed.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a number from an interval, uniformly distributed.
    pub(crate) fn uniform_in(&mut self, interval: Interval<f64>) -> f64 {
        interval.low + (interval.high - interval.low) * self.uniform()
    }

    /// Draws an integer below `end`, uniformly distributed. Returns 0 if `end` is 0.
    pub(crate) fn uniform_below(&mut self, end: usize) -> usize {
        ((self.uniform() * end as f64) as usize).min(end.saturating_sub(1))
    }

    /// Draws from the exponential distribution with mean 1.
    pub(crate) fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }

    /// Draws an index with the probabilities given by cumulative weights.
    pub(crate) fn weighted_index(&mut self, cumulative: &[f64]) -> usize {
        let target = self.uniform() * cumulative.last().copied().unwrap_or(0.0);
        cumulative.partition_point(|sum| *sum <= target).min(cumulative.len().saturating_sub(1))
    }
}
