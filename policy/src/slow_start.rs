//! Slow start: limits the traffic to an endpoint that has just started to what it can certainly handle.
//!
//! The capacity of an endpoint rises at least linearly from an initial fraction to all of it, and the
//! endpoint fails if all gateways together send it much more. They stay within that without coordination:
//! each request makes one random draw that decides whether it may go to a given endpoint in slow start.

use crate::{Millis, Settings};

/// At a capacity fraction `c`, an endpoint in slow start gets `c * (c + INITIAL_SHARE_FACTOR)` of an even
/// share of all requests, and never more than an even share. The factor on `c` rises with the capacity,
/// because random variation of the load then matters less.
const INITIAL_SHARE_FACTOR: f64 = 0.75;

/// A lower bound of the clock that start times are reported by, derived from the reports themselves: when a
/// start is reported, that clock has reached the start time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiscoveryClock {
    /// A lower bound of that clock's offset from this gateway's clock.
    min_offset: Millis,
}

impl Default for DiscoveryClock {
    fn default() -> Self {
        Self { min_offset: f64::NEG_INFINITY }
    }
}

impl DiscoveryClock {
    /// Records a start time that is reported now.
    pub(crate) fn record(&mut self, started_at: Millis, now: Millis) {
        self.min_offset = self.min_offset.max(started_at - now);
    }

    /// Returns the earliest time that the clock can show now.
    fn lower_bound(&self, now: Millis) -> Millis {
        now + self.min_offset
    }
}

/// When an endpoint started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointStart {
    /// By the clock of the endpoint list. `None` if unknown: the endpoint then counts as at full capacity.
    pub(crate) started_at: Option<Millis>,
    /// When this gateway first learned of the start, by its local clock.
    pub(crate) learned_at: Millis,
}

impl EndpointStart {
    /// Returns the fraction of its capacity that the endpoint has reached at least.
    pub(crate) fn capacity_fraction(&self, now: Millis, clock: &DiscoveryClock, settings: &Settings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = self.min_age(started_at, now, clock) / settings.slow_start_duration.max(1.0);
        let initial = settings.slow_start_initial_fraction;
        initial + (1.0 - initial) * progress.clamp(0.0, 1.0)
    }

    /// Returns how long the endpoint has been running at least.
    ///
    /// This gateway's clock may be ahead or behind, and so may the clock of a single report. The result is
    /// the lesser of the ages by this gateway's clock and by the discovery clock, where the former is at
    /// least the time since this gateway learned of the start.
    fn min_age(&self, started_at: Millis, now: Millis, clock: &DiscoveryClock) -> Millis {
        let age_by_local_clock = (now - started_at).max(now - self.learned_at);
        age_by_local_clock.min(clock.lower_bound(now) - started_at)
    }
}

/// Returns the fraction of an even share of all requests that an endpoint in slow start gets.
pub(crate) fn traffic_fraction(capacity_fraction: f64) -> f64 {
    (capacity_fraction * (capacity_fraction + INITIAL_SHARE_FACTOR)).min(1.0)
}
