//! Connections between gateways and endpoints: a pool of idle ones, and what a new one costs.

use crate::experiment;
use crate::network::Network;
use crate::time::{self, Micros};
use ryefront_policy::Outcome;
use std::collections::HashMap;

/// The way from a gateway to an endpoint.
pub(crate) struct EndpointRoute {
    pub(crate) gateway_zone: u32,
    pub(crate) endpoint_zone: u32,
    pub(crate) endpoint: u32,
}

/// Where the connection of an attempt comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionOrigin {
    /// It was idle in the pool.
    Reused,
    /// It was opened for the attempt.
    New,
}

/// The connection of an attempt, and what it costs before the attempt reaches its endpoint.
pub(crate) struct Connection {
    /// One way to the endpoint.
    pub(crate) delay: Micros,
    /// 0 for a pooled connection.
    pub(crate) handshake: Micros,
    /// Work of the handshake at the endpoint, µs.
    pub(crate) handshake_work: f64,
    pub(crate) origin: ConnectionOrigin,
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
    /// Removes the most recently used idle connection that has not reached the idle timeout; a new one is
    /// needed where there is none.
    fn acquire(&mut self, endpoint: u32, now: Micros, idle_timeout: Micros) -> ConnectionOrigin {
        let Some(idle_since) = self.idle_since.get_mut(&endpoint) else { return ConnectionOrigin::New };
        idle_since.retain(|since| now - since < idle_timeout);
        if idle_since.pop().is_some() { ConnectionOrigin::Reused } else { ConnectionOrigin::New }
    }

    /// Reuses a pooled connection, or opens one.
    pub(crate) fn connect(
        &mut self, route: &EndpointRoute, settings: &experiment::Endpoints, network: &mut Network,
        now: Micros,
    ) -> Connection {
        let idle_timeout = time::from_s(settings.idle_timeout_s);
        let origin = self.acquire(route.endpoint, now, idle_timeout);
        let delay = network.network_delay(route.gateway_zone, route.endpoint_zone);
        let round_trips = u64::from(settings.handshake_round_trips);
        let (handshake, handshake_work) = match origin {
            ConnectionOrigin::Reused => (0, 0.0),
            ConnectionOrigin::New => (delay * 2 * round_trips, settings.handshake_work_ms * 1000.0),
        };
        Connection {
            delay,
            handshake,
            handshake_work,
            origin,
            crosses_zones: route.gateway_zone != route.endpoint_zone,
            crosses_regions: !network.same_region(route.gateway_zone, route.endpoint_zone),
        }
    }

    /// Keeps the connection of an attempt that had a response, and closes all to an endpoint that is gone.
    /// Any other end closes the attempt's connection.
    pub(crate) fn release(&mut self, endpoint: u32, outcome: Outcome, now: Micros) {
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
