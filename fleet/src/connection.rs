//! Connections between gateways and endpoints: a pool of idle ones, and what a new one costs.

use crate::experiment;
use crate::network::Network;
use crate::time::{self, Micros};
use ryefront_policy::Outcome;
use std::collections::HashMap;

/// From a gateway to an endpoint.
pub(crate) struct Route {
    /// The zone of the gateway.
    pub(crate) from: u32,
    /// The zone of the endpoint.
    pub(crate) to: u32,
    pub(crate) endpoint: u32,
}

/// The connection of an attempt, and what it costs before the attempt reaches its endpoint.
pub(crate) struct Connection {
    /// One way to the endpoint.
    pub(crate) delay: Micros,
    /// 0 for a pooled connection.
    pub(crate) handshake: Micros,
    /// Work of the handshake at the endpoint, µs.
    pub(crate) handshake_work: f64,
    /// Whether it was opened for the attempt.
    pub(crate) is_new: bool,
    pub(crate) crosses_zones: bool,
    pub(crate) crosses_regions: bool,
}

/// The idle connections of a gateway.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    /// For each endpoint, since when each connection is idle.
    idle_since: HashMap<u32, Vec<Micros>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if one has not reached the idle timeout.
    fn acquire(&mut self, endpoint: u32, now: Micros, idle_timeout: Micros) -> bool {
        let Some(idle_since) = self.idle_since.get_mut(&endpoint) else { return false };
        idle_since.retain(|since| now - since < idle_timeout);
        idle_since.pop().is_some()
    }

    /// Takes a pooled connection, or opens one.
    pub(crate) fn connect(
        &mut self, route: &Route, settings: &experiment::Endpoints, network: &mut Network, now: Micros,
    ) -> Connection {
        let idle_timeout = time::from_s(settings.idle_timeout_s);
        let is_new = !self.acquire(route.endpoint, now, idle_timeout);
        let delay = network.network_delay(route.from, route.to);
        let round_trips = u64::from(settings.handshake_round_trips);
        Connection {
            delay,
            handshake: if is_new { delay * 2 * round_trips } else { 0 },
            handshake_work: if is_new { settings.handshake_work_ms * 1000.0 } else { 0.0 },
            is_new,
            crosses_zones: route.from != route.to,
            crosses_regions: !network.same_region(route.from, route.to),
        }
    }

    /// Keeps the connection of an attempt that had a response, and closes all to an endpoint that is gone.
    /// Any other end closes the attempt's connection.
    pub(crate) fn attempt_ended(&mut self, endpoint: u32, outcome: Outcome, now: Micros) {
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                self.idle_since.entry(endpoint).or_default().push(now);
            }
            Outcome::ConnectFailed => {
                self.idle_since.remove(&endpoint);
            }
            _ => {}
        }
    }
}
