//! The adaptive concurrency limit of an endpoint, at one gateway.
//!
//! The size of an endpoint and the load that other gateways put on it are not known. The limit bounds the
//! attempts in flight so that most responses meet their latency objective: it grows and shrinks with each
//! response, in time or late (an adaptive concurrency limit by multiplicative increase and decrease).

use crate::response_latency::Timeliness;

/// The attempts that all gateways together keep in flight at one endpoint at first.
const INITIAL_FLEET_LIMIT: f64 = 3.5;
/// By how much one response changes the limit ([`Timeliness::adjustment`]).
const LIMIT_STEP: f64 = 0.12;
/// The lowest limit of one endpoint at one gateway. Below 1 the sum over all endpoints still binds.
const MIN_LIMIT: f64 = 0.2;

/// Returns whether one gateway sees too little of an endpoint to judge it alone. Gateways of a large fleet
/// keep to subsets, and choose by random draws and load reports.
pub(crate) fn is_large_fleet(gateway_count: u32) -> bool {
    INITIAL_FLEET_LIMIT < MIN_LIMIT * f64::from(gateway_count)
}

/// The concurrency limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// Returns the initial limit at one of `gateway_count` gateways.
    pub(crate) fn initial(gateway_count: u32) -> Self {
        Self { limit: INITIAL_FLEET_LIMIT / f64::from(gateway_count) }
    }

    /// Returns the limit in attempts; a fraction counts in the sum over all endpoints.
    pub(crate) fn value(self) -> f64 {
        self.limit
    }

    /// Returns whether another attempt fits beside those in flight.
    pub(crate) fn has_capacity(self, in_flight: u32) -> bool {
        f64::from(in_flight) < self.limit.ceil()
    }

    /// Records a response, with `in_flight` attempts still in flight.
    ///
    /// The limit grows only while it is used.
    pub(crate) fn record_response(&mut self, timeliness: Timeliness, in_flight: u32) {
        let used = f64::from(in_flight) + 1.0 >= self.limit.floor();
        if used || timeliness == Timeliness::Late {
            self.limit = (self.limit * timeliness.adjustment(LIMIT_STEP)).max(MIN_LIMIT);
        }
    }
}
