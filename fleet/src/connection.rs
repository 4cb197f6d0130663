//! Connections from gateways to endpoints: the pool of idle connections, and the cost of new ones.

use crate::experiment;
use crate::network::Network;
use crate::time::{self, Micros};
use ryefront_policy::Outcome;
use std::collections::HashMap;

/// The endpoint of a connection, and the zones at both of its ends.
pub(crate) struct EndpointRoute {
    pub(crate) gateway_zone: u32,
    pub(crate) endpoint_zone: u32,
    pub(crate) endpoint: u32,
}

/// Whether the connection of an attempt was reused or opened.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionOrigin {
    /// The connection was idle in the pool.
    Reused,
    /// The connection was opened for the attempt.
    New,
}

/// The connection of an attempt, and its costs.
pub(crate) struct Connection {
    /// The one-way network delay to the endpoint.
    pub(crate) delay: Micros,
    /// The duration of the handshake; 0 for a reused connection.
    pub(crate) handshake: Micros,
    /// The work of the handshake at an endpoint of speed 1, in µs; 0 for a reused connection.
    pub(crate) handshake_work: f64,
    pub(crate) origin: ConnectionOrigin,
    pub(crate) crosses_zones: bool,
    pub(crate) crosses_regions: bool,
}

/// The idle connections of a gateway.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    /// For each endpoint, the time since which each connection has been idle.
    idle_since: HashMap<u32, Vec<Micros>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection out of the pool, if one has not reached the idle timeout.
    fn acquire(&mut self, endpoint: u32, now: Micros, idle_timeout: Micros) -> ConnectionOrigin {
        let Some(idle_since) = self.idle_since.get_mut(&endpoint) else { return ConnectionOrigin::New };
        idle_since.retain(|since| now - since < idle_timeout);
        if idle_since.pop().is_some() { ConnectionOrigin::Reused } else { ConnectionOrigin::New }
    }

    /// Reuses an idle connection, or opens a new one.
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

    /// Returns the connection of an attempt to the pool if there was a response, and closes it otherwise.
    /// After a failure to connect, all idle connections to the endpoint are closed too.
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
