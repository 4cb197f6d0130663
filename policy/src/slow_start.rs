//! Slow start: an endpoint that has just started gets only the traffic that it surely has capacity for.
//!
//! Its capacity rises from an initial fraction to all of it, at least linearly, and it fails when all
//! gateways together send it much more. They keep to that without coordination: each request draws once, at
//! random, whether it may go to a given endpoint in slow start.

use crate::{Millis, Settings};

/// An endpoint in slow start gets its capacity fraction of an even part of all requests, times this factor at
/// a capacity of 0. The factor rises with the capacity fraction, as random variation matters less.
const INITIAL_SHARE_FACTOR: f64 = 0.75;

/// The clock by which endpoints report their starts, as far as the reported starts themselves show it: when a
/// start is reported, that clock has reached the time of the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartClock {
    /// How far that clock is ahead of this gateway's, at least.
    lead: Millis,
}

impl Default for StartClock {
    fn default() -> Self {
        Self { lead: f64::NEG_INFINITY }
    }
}

impl StartClock {
    /// Notes a start that is reported now.
    pub(crate) fn record(&mut self, started_at: Millis, now: Millis) {
        self.lead = self.lead.max(started_at - now);
    }

    /// Returns a lower bound of what the clock shows now.
    fn lower_bound(&self, now: Millis) -> Millis {
        now + self.lead
    }
}

/// When an endpoint started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EndpointStart {
    /// By the clock of the endpoint list; `None` for long ago.
    pub(crate) started_at: Option<Millis>,
    /// When this gateway first learned of the start.
    pub(crate) learned_at: Millis,
}

impl EndpointStart {
    /// Returns the fraction of its capacity that the endpoint surely has by now.
    pub(crate) fn capacity_fraction(&self, now: Millis, clock: &StartClock, settings: &Settings) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = self.age(started_at, now, clock) / settings.slow_start_duration.max(1.0);
        let initial = settings.slow_start_initial_fraction;
        initial + (1.0 - initial) * progress.clamp(0.0, 1.0)
    }

    /// Returns how long the endpoint has surely run.
    ///
    /// This gateway's clock may be ahead or behind, and so may that of a single report: the lesser of the two
    /// ages counts, and at least the time since the start was learned of.
    fn age(&self, started_at: Millis, now: Millis, clock: &StartClock) -> Millis {
        let by_own_clock = (now - started_at).max(now - self.learned_at);
        by_own_clock.min(clock.lower_bound(now) - started_at)
    }
}

/// Returns the share of an even part of all requests that an endpoint gets with this fraction of its
/// capacity.
pub(crate) fn traffic_share(capacity_fraction: f64) -> f64 {
    (capacity_fraction * (capacity_fraction + INITIAL_SHARE_FACTOR)).min(1.0)
}
