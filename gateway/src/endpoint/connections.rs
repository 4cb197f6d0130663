//! Connections to endpoints: reuse of idle ones, establishment of new ones, and the limit on their number.

use crate::endpoint::connection_limit::{ConnectionLimit, ConnectionSlot};
use crate::endpoint::pool::{IdleConnection, Pool};
use crate::endpoint::settings::EndpointSettings;
use crate::endpoint::stale_connections::{ExchangeResult, StaleEstimator};
use crate::http_connection::Connection;
use crate::socket::ConnectError;
use ryefront_policy::{Idempotency, Name};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A connection is reused no sooner than this after its last response. An endpoint may write bytes after its
/// response, which would be read as the response to the next request, or close the connection as the next
/// request is written.
const MIN_IDLE: Duration = Duration::from_millis(25);
/// A connection is kept idle for this fraction of the endpoints' idle timeout, to close it well before they
/// do.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// Why no connection to an endpoint could be acquired.
#[derive(Debug, Error)]
pub(super) enum AcquireError {
    /// As many connections are in use as the gateway may open.
    #[error("the limit on connections in use is reached")]
    LimitReached,
    /// This machine lacks a resource, such as file descriptors. The endpoint is not at fault.
    #[error("the connection could not be started on this machine")]
    Local,
    /// The endpoint refused, could not be reached, or did not respond in time.
    #[error("the endpoint could not be connected to")]
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

/// A connection in use by one request. Dropping it closes the connection, then frees its slot.
pub(super) struct AcquiredConnection {
    /// The connection.
    pub(super) connection: Connection,
    /// The address of the endpoint.
    pub(super) address: SocketAddr,
    /// How long it was idle before it was acquired; `None` for a new one.
    pub(super) idle: Option<Duration>,
    slot: ConnectionSlot,
}

/// An idle connection that may be reused.
struct ReusableConnection {
    connection: Connection,
    /// How long it was idle.
    idle: Duration,
}

/// The connections to all endpoints.
pub(super) struct EndpointConnections {
    pool: RefCell<Pool<Connection>>,
    limit: ConnectionLimit,
    stale_estimator: RefCell<StaleEstimator>,
    connect_timeout: Duration,
    max_idle: Duration,
}

impl EndpointConnections {
    /// No connections yet.
    pub(super) fn new(settings: EndpointSettings) -> Self {
        Self {
            pool: RefCell::default(),
            limit: ConnectionLimit::new(settings.max_connections),
            stale_estimator: RefCell::default(),
            connect_timeout: settings.connect_timeout,
            max_idle: settings.endpoint_idle_timeout.mul_f64(MAX_IDLE_FRACTION),
        }
    }

    /// How long a new connection may take to be established.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Acquires a connection for one request: an idle one that may be reused, or else a new one.
    ///
    /// # Errors
    /// When the limit is reached or no connection is established in time.
    pub(super) async fn acquire(
        &self, endpoint: &Name, address: SocketAddr, idempotency: Idempotency,
    ) -> Result<AcquiredConnection, AcquireError> {
        let reusable = self.take_reusable(endpoint, idempotency);
        let slot = self.reserve_slot().ok_or(AcquireError::LimitReached)?;
        if let Some(ReusableConnection { connection, idle }) = reusable {
            return Ok(AcquiredConnection { connection, address, idle: Some(idle), slot });
        }
        let connection = Connection::connect(address, self.connect_timeout).await?;
        Ok(AcquiredConnection { connection, address, idle: None, slot })
    }

    /// Records how an exchange on a connection ended.
    pub(super) fn record_exchange(&self, idle: Option<Duration>, result: ExchangeResult) {
        self.stale_estimator.borrow_mut().record(idle, result);
    }

    /// Keeps a connection that has become idle now for reuse, and frees its slot.
    pub(super) fn release(&self, endpoint: &Name, acquired: AcquiredConnection, now: Instant) {
        let AcquiredConnection { connection, slot, .. } = acquired;
        self.pool.borrow_mut().put(endpoint, connection, now);
        drop(slot);
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close_idle(&self, endpoint: &Name) {
        self.pool.borrow_mut().remove_endpoint(endpoint);
    }

    /// Closes connections that have been idle for too long or that their endpoint has closed.
    pub(super) fn close_expired(&self) {
        let is_usable = |idle: &IdleConnection<Connection>| {
            idle.idle_since.elapsed() < self.max_idle && idle.connection.is_alive()
        };
        self.pool.borrow_mut().retain(is_usable);
    }

    /// Takes the most recently used idle connection that is alive and not likely stale. Those passed over are
    /// closed: a non-idempotent request written to a connection that its endpoint closes could neither be
    /// served nor retried.
    fn take_reusable(&self, endpoint: &Name, idempotency: Idempotency) -> Option<ReusableConnection> {
        let mut pool = self.pool.borrow_mut();
        while let Some(IdleConnection { connection, idle_since }) = pool.take(endpoint, MIN_IDLE) {
            let idle = idle_since.elapsed();
            let is_usable = idle < self.max_idle && connection.is_alive();
            if is_usable && self.stale_estimator.borrow_mut().allows_reuse(idle, idempotency) {
                return Some(ReusableConnection { connection, idle });
            }
        }
        None
    }

    /// Reserves a slot for one more connection in use, and closes idle ones that exceed the limit then.
    fn reserve_slot(&self) -> Option<ConnectionSlot> {
        let slot = self.limit.reserve()?;
        let mut pool = self.pool.borrow_mut();
        for _ in 0..self.limit.excess(pool.len()) {
            pool.evict();
        }
        Some(slot)
    }
}
