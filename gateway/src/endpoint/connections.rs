//! Acquires connections to endpoints: reuses idle ones, establishes new ones, and limits their number.

use crate::endpoint::connection_limit::{ConnectionLimit, ConnectionSlot};
use crate::endpoint::pool::{IdleConnection, Pool};
use crate::endpoint::settings::EndpointSettings;
use crate::endpoint::stale_connections::{ConnectionOutcome, StaleConnectionEstimator};
use crate::http_connection::Connection;
use crate::socket::ConnectError;
use ryefront_policy::{Idempotency, Millis, Name};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The minimum time from a response to the reuse of its connection. Just after the response, an endpoint may
/// send unsolicited bytes, which would be read as the response to the next request, or may close the
/// connection while the next request is written.
const MIN_IDLE_TIME: Duration = Duration::from_millis(25);
/// The fraction of the endpoints' idle timeout after which the gateway closes an idle connection, well before
/// the endpoints do.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// Why no connection to an endpoint could be acquired.
#[derive(Debug, Error)]
pub(super) enum AcquireError {
    /// As many connections are in use as the gateway may have open.
    #[error("the limit on connections in use is reached")]
    LimitReached,
    /// This machine lacks a resource, such as file descriptors. The endpoint is not at fault.
    #[error("cannot open a connection for lack of a local resource")]
    Local,
    /// The endpoint refused the connection, is unreachable, or did not respond in time.
    #[error("cannot connect to the endpoint")]
    Unreachable,
}

impl From<ConnectError> for AcquireError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Local(_) => Self::Local,
            ConnectError::Peer(_) | ConnectError::TimedOut => Self::Unreachable,
        }
    }
}

/// The process of an endpoint, as given by the endpoint list. One that started later is another process, also at
/// the same address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndpointProcess {
    pub(super) address: SocketAddr,
    /// When it started, by the clock of the endpoint list; `None` if unknown.
    pub(super) started_at: Option<Millis>,
}

/// A connection in use by one request. Dropping it closes the connection before it frees its slot.
pub(super) struct AcquiredConnection {
    pub(super) connection: Connection,
    /// The process that the connection was established to.
    pub(super) process: EndpointProcess,
    /// How long the connection was idle before it was acquired; `None` for a new connection.
    pub(super) idle_time: Option<Duration>,
    slot: ConnectionSlot,
}

/// An idle connection that may be reused.
struct ReusableConnection {
    connection: Connection,
    idle_time: Duration,
}

/// The connections to all endpoints.
pub(super) struct EndpointConnections {
    pool: RefCell<Pool<Connection>>,
    limit: ConnectionLimit,
    stale_estimator: RefCell<StaleConnectionEstimator>,
    connect_timeout: Duration,
    max_idle_time: Duration,
}

impl EndpointConnections {
    /// Starts without connections.
    pub(super) fn new(settings: &EndpointSettings) -> Self {
        Self {
            pool: RefCell::default(),
            limit: ConnectionLimit::new(settings.max_connections),
            stale_estimator: RefCell::default(),
            connect_timeout: settings.connect_timeout,
            max_idle_time: settings.endpoint_idle_timeout.mul_f64(MAX_IDLE_FRACTION),
        }
    }

    /// The time after which an attempt to connect fails.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Acquires a connection for one request: an idle one if one may be reused, otherwise a new one.
    ///
    /// # Errors
    /// If the limit is reached or no connection is established in time.
    pub(super) async fn acquire(
        &self, endpoint: &Name, process: EndpointProcess, idempotency: Idempotency,
    ) -> Result<AcquiredConnection, AcquireError> {
        let reusable = self.take_reusable(endpoint, idempotency);
        let slot = self.reserve_slot().ok_or(AcquireError::LimitReached)?;
        if let Some(ReusableConnection { connection, idle_time }) = reusable {
            return Ok(AcquiredConnection { connection, process, idle_time: Some(idle_time), slot });
        }
        let connection = Connection::connect(process.address, self.connect_timeout).await?;
        Ok(AcquiredConnection { connection, process, idle_time: None, slot })
    }

    /// Records how an exchange on a connection ended.
    pub(super) fn record_exchange(&self, idle_time: Option<Duration>, outcome: ConnectionOutcome) {
        self.stale_estimator.borrow_mut().record(idle_time, outcome);
    }

    /// Returns a connection that is idle from `now` on to the pool, and frees its slot.
    pub(super) fn release(&self, endpoint: &Name, acquired: AcquiredConnection, now: Instant) {
        let AcquiredConnection { connection, slot, .. } = acquired;
        self.pool.borrow_mut().put(endpoint, connection, now);
        drop(slot);
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close_idle(&self, endpoint: &Name) {
        self.pool.borrow_mut().remove_endpoint(endpoint);
    }

    /// Closes idle connections that have expired or that their endpoint has closed.
    pub(super) fn close_expired(&self) {
        let is_usable = |idle: &IdleConnection<Connection>| {
            idle.idle_since.elapsed() < self.max_idle_time && idle.connection.is_alive()
        };
        self.pool.borrow_mut().retain(is_usable);
    }

    /// Takes the most recently used idle connection that is alive and unlikely to be stale, and closes those
    /// that it skips. A non-idempotent request that is written to a connection which its endpoint closes can
    /// be neither served nor retried.
    fn take_reusable(&self, endpoint: &Name, idempotency: Idempotency) -> Option<ReusableConnection> {
        let mut pool = self.pool.borrow_mut();
        while let Some(IdleConnection { connection, idle_since }) = pool.take(endpoint, MIN_IDLE_TIME) {
            let idle_time = idle_since.elapsed();
            let is_usable = idle_time < self.max_idle_time && connection.is_alive();
            if is_usable && self.stale_estimator.borrow_mut().allows_reuse(idle_time, idempotency) {
                return Some(ReusableConnection { connection, idle_time });
            }
        }
        None
    }

    /// Reserves a slot for one more connection in use, and closes idle connections that then exceed the
    /// limit.
    fn reserve_slot(&self) -> Option<ConnectionSlot> {
        let slot = self.limit.reserve()?;
        let mut pool = self.pool.borrow_mut();
        for _ in 0..self.limit.excess(pool.len()) {
            pool.evict();
        }
        Some(slot)
    }
}
