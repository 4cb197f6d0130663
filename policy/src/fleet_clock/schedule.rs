//! When a gateway makes its next call for the fleet clock: the sampling of readers, backoff and jitter.

use super::REGISTER_TTL;
use crate::Millis;
use crate::random::Random;

/// The expected number of gateways that read the register each time it expires.
const EXPECTED_READERS: f64 = 2.0;
/// The reads after an expiry are spread over this time.
const READ_JITTER: Millis = 150.0;
/// A gateway whose local time differs reads the register at this interval until its bounds are narrow: just
/// often enough to observe the expiry of the register.
pub(super) const CONVERGING_INTERVAL: Millis = 50.0;
/// The mean delay after a first failure while the time is not known, and after a read that found several
/// gateways writing.
const INITIAL_BACKOFF: Millis = 100.0;
/// The longest mean delay after a failure, while the time is not known.
const MAX_BACKOFF: Millis = 3000.0;
/// Once the time is known, this many TTLs of the register are skipped after a first failure: a counter that
/// cannot keep up has more useful calls to answer.
const INITIAL_SKIPPED_TTLS: f64 = 2.0;
/// The most TTLs of the register that are skipped after a failure.
const MAX_SKIPPED_TTLS: f64 = 32.0;
/// The first calls of a fleet that starts all at once, and its retries, are spread over this time for each
/// gateway, as all of them go to one key.
const SPREAD_PER_GATEWAY: Millis = 10.0;
/// In a fleet of more gateways than this, counter keys are derived from the gateway's local clock until the
/// first read is answered. In a smaller one the reply is awaited, as calls are not spread and it comes soon.
const SMALL_FLEET_SIZE: f64 = 16.0;
/// In a fleet of more gateways than this, a gateway that writes the register adds to the presence key only
/// with some probability, as several other gateways write in the same slot.
const EXPECTED_PRESENCE_WRITERS: f64 = 8.0;
/// The lowest probability of adding to the presence key.
const MIN_PRESENCE_PROBABILITY: f64 = 0.25;

/// The timing of one gateway's calls, with the random numbers that spread them.
#[derive(Debug)]
pub(super) struct CallSchedule {
    gateway_count: f64,
    random: Random,
    consecutive_failures: u32,
}

impl CallSchedule {
    pub(super) fn new(gateway_count: u32, seed: u64) -> Self {
        Self { gateway_count: f64::from(gateway_count), random: Random::new(!seed), consecutive_failures: 0 }
    }

    /// Returns whether there are other gateways in the fleet.
    pub(super) fn is_shared(&self) -> bool {
        self.gateway_count > 1.0
    }

    /// Returns whether the fleet is small enough that calls need not be spread by its size.
    pub(super) fn is_small_fleet(&self) -> bool {
        self.gateway_count <= SMALL_FLEET_SIZE
    }

    /// Returns whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns when a gateway that starts makes its first call.
    pub(super) fn first_read(&mut self, now: Millis) -> Millis {
        if self.is_small_fleet() { now } else { now + self.gateway_count * SPREAD_PER_GATEWAY * self.draw() }
    }

    /// Returns when to read again after the register was found fresh: as it expires, but only after some of
    /// its expiries, so that a few gateways read after each.
    pub(super) fn next_read(&mut self, now: Millis, fleet_time: Millis) -> Millis {
        let probability = (EXPECTED_READERS / self.gateway_count).min(1.0);
        let skipped_ttls =
            if probability < 1.0 { (self.draw().ln() / (1.0 - probability).ln()).floor() } else { 0.0 };
        let time_to_expiry = REGISTER_TTL - fleet_time % REGISTER_TTL;
        now + time_to_expiry + skipped_ttls * REGISTER_TTL + READ_JITTER * self.draw()
    }

    /// Returns when to read again after the register was found with little of its TTL left: as it expires,
    /// because some gateway has to write it again.
    pub(super) fn read_at_expiry(&mut self, now: Millis, age: Millis) -> Millis {
        now + (REGISTER_TTL - age).max(0.0) + READ_JITTER / 4.0 * self.draw()
    }

    /// Returns when to read again after a read that found several gateways writing.
    pub(super) fn reread_after_collision(&mut self, now: Millis) -> Millis {
        now + INITIAL_BACKOFF * (0.5 + self.draw())
    }

    /// Returns when a gateway that is not synchronized reads an empty register again. In a large fleet many
    /// may start at once, so their reads are spread.
    pub(super) fn reread_empty(&mut self, now: Millis) -> Millis {
        if self.is_small_fleet() {
            return now + CONVERGING_INTERVAL;
        }
        now + CONVERGING_INTERVAL.max(self.gateway_count * SPREAD_PER_GATEWAY * self.draw())
    }

    /// Returns when to call again after a failure, with exponential backoff.
    pub(super) fn retry_after_failure(
        &mut self, now: Millis, fleet_time: Millis, synchronized: bool,
    ) -> Millis {
        self.consecutive_failures += 1;
        let factor = f64::from(self.consecutive_failures - 1).exp2();
        if synchronized {
            let skipped_ttls = (INITIAL_SKIPPED_TTLS * factor).min(MAX_SKIPPED_TTLS);
            self.next_read(now, fleet_time) + skipped_ttls * REGISTER_TTL
        } else {
            let initial = INITIAL_BACKOFF.max(self.gateway_count * SPREAD_PER_GATEWAY);
            now + (initial * factor).min(MAX_BACKOFF.max(initial)) * (0.5 + self.draw())
        }
    }

    /// Draws whether a gateway that has written the register also adds to the presence key.
    pub(super) fn sample_presence_write(&mut self) -> bool {
        let probability =
            (EXPECTED_PRESENCE_WRITERS / self.gateway_count).clamp(MIN_PRESENCE_PROBABILITY, 1.0);
        self.draw() < probability
    }

    /// Draws a number in (0, 1).
    fn draw(&mut self) -> f64 {
        self.random.uniform().max(f64::MIN_POSITIVE)
    }
}
