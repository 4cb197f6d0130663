//! All client connections, the limit on their number, and the eviction of idle ones.
//!
//! Clients that connect, send one request and keep the connection could use up the connections, and others
//! would wait in the accept queue. So from half of the limit on, each new connection evicts an idle one.
//! Clients that send requests on many connections rarely have to reconnect because of it.

use crate::client::connection_state::ConnectionState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Eviction begins at the limit on connections divided by this. Long before the limit: clients and proxies in
/// front of the gateway have limits on their connections as well.
const EVICTION_THRESHOLD_DIVISOR: usize = 2;
/// A connection younger than this is new: its first request may be on its way.
const NEW_CONNECTION_AGE: Duration = Duration::from_millis(100);

/// The order in which idle connections are evicted, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Open for a while without a complete request.
    NeverRequested,
    /// Has had a response, and has no request in progress.
    IdleAfterResponse,
    /// Accepted just now. Closing it loses its first request, which clients do not send again.
    New,
}

impl EvictionRank {
    fn of(connection: &ConnectionState, now: Instant) -> Self {
        if connection.has_responded() {
            Self::IdleAfterResponse
        } else if now.duration_since(connection.idle_since()) < NEW_CONNECTION_AGE {
            Self::New
        } else {
            Self::NeverRequested
        }
    }
}

/// The open client connections.
pub(super) struct ConnectionTable {
    connections: RefCell<Vec<Rc<ConnectionState>>>,
    max_connections: usize,
    removed: Notify,
}

impl ConnectionTable {
    pub(super) fn new(max_connections: usize) -> Self {
        Self { connections: RefCell::default(), max_connections, removed: Notify::new() }
    }

    pub(super) fn add(&self, connection: Rc<ConnectionState>) {
        self.connections.borrow_mut().push(connection);
    }

    pub(super) fn remove(&self, connection: &Rc<ConnectionState>) {
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, connection));
        self.removed.notify_one();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// Resolves when a connection has been removed.
    pub(super) async fn removed(&self) {
        self.removed.notified().await;
    }

    /// Waits until one more connection may be accepted, and evicts idle ones for it.
    pub(super) async fn wait_for_capacity(&self) {
        if self.connections.borrow().len() >= self.max_connections / EVICTION_THRESHOLD_DIVISOR {
            self.evict_idle();
        }
        while self.is_full() {
            self.removed().await;
            self.evict_idle();
        }
    }

    /// Evicts the idle connection of the lowest rank; among equals the one idle for longest.
    fn evict_idle(&self) {
        let connections = self.connections.borrow();
        let now = Instant::now();
        // New connections are evicted at the limit only: below it the others may all be busy, and the new
        // ones would be the only candidates.
        let spares_new = connections.len() < self.max_connections;
        let is_candidate = |connection: &&Rc<ConnectionState>| {
            let is_spared = spares_new && EvictionRank::of(connection, now) == EvictionRank::New;
            connection.is_idle() && !connection.is_evicted() && !is_spared
        };
        let candidate = connections
            .iter()
            .filter(is_candidate)
            .min_by_key(|connection| (EvictionRank::of(connection, now), connection.idle_since()));
        if let Some(connection) = candidate {
            connection.evict();
        }
    }
}
