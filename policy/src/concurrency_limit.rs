//! The adaptive concurrency limit of an endpoint, at one gateway.
//!
//! A gateway knows neither the capacity of an endpoint nor the load from other gateways. The limit bounds the
//! attempts in flight so that most responses meet their latency objective: each timely response raises it and
//! each late one lowers it, both multiplicatively (MIMD).

use crate::response_latency::Timeliness;

/// The initial limit of one endpoint, summed over all gateways.
const INITIAL_FLEET_LIMIT: f64 = 3.5;
/// The gain with which one response changes the limit ([`Timeliness::adjustment`]).
const LIMIT_GAIN: f64 = 0.12;
/// The lowest limit of one endpoint at one gateway. A limit below 1 still admits one attempt, but lowers the
/// limit on the attempts at all endpoints together.
const MIN_LIMIT: f64 = 0.2;

/// Returns whether a gateway's part of the initial limit is below [`MIN_LIMIT`]: it then gets too few
/// responses from an endpoint to adapt the limit by them. Gateways of a large fleet use subsets of the
/// endpoints, and choose among them by random draws and load reports.
pub(crate) fn is_large_fleet(gateway_count: u32) -> bool {
    INITIAL_FLEET_LIMIT < MIN_LIMIT * f64::from(gateway_count)
}

/// The concurrency limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
}

impl ConcurrencyLimit {
    /// Returns one gateway's part of the initial limit.
    pub(crate) fn initial(gateway_count: u32) -> Self {
        Self { limit: INITIAL_FLEET_LIMIT / f64::from(gateway_count) }
    }

    /// Returns the limit in attempts. It may be fractional, for the sum over all endpoints.
    pub(crate) fn value(self) -> f64 {
        self.limit
    }

    /// Returns whether another attempt may be sent while `in_flight` attempts are in flight.
    pub(crate) fn has_capacity(self, in_flight: u32) -> bool {
        f64::from(in_flight) < self.limit.ceil()
    }

    /// Adapts the limit to a response, with `in_flight` attempts still in flight.
    ///
    /// A timely response raises the limit only if the limit was reached.
    pub(crate) fn record_response(&mut self, timeliness: Timeliness, in_flight: u32) {
        let limit_reached = f64::from(in_flight) + 1.0 >= self.limit.floor();
        if limit_reached || timeliness == Timeliness::Late {
            self.limit = (self.limit * timeliness.adjustment(LIMIT_GAIN)).max(MIN_LIMIT);
        }
    }
}
