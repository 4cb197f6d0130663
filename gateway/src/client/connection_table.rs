//! The open client connections, the limit on their number, and the eviction of idle ones.
//!
//! Clients that send one request and then keep the connection open could use up the connections, and other
//! clients would wait in the accept queue. From half of the limit on, each new connection therefore evicts an
//! idle one. Clients that send requests on many connections rarely have to reconnect because of this.

use crate::client::connection_state::ConnectionState;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Eviction begins at the limit on connections divided by this. This is long before the limit, as clients and
/// proxies in front of the gateway limit their connections as well.
const EVICTION_THRESHOLD_DIVISOR: usize = 2;
/// A connection without a response is new until this age: its first request may be in transit.
const NEW_CONNECTION_AGE: Duration = Duration::from_millis(100);

/// The order in which idle connections are evicted, lowest rank first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has sent its last response, and waits for its client to close.
    Lingering,
    /// No longer new, and has never had a complete request.
    NeverRequested,
    /// Has had a response and has no request in progress.
    IdleAfterResponse,
    /// Just accepted. Closing it may lose its first request, which clients do not retry.
    New,
}

impl EvictionRank {
    fn of(connection: &ConnectionState, now: Instant) -> Self {
        if connection.is_closing() {
            Self::Lingering
        } else if connection.has_responded() {
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

    /// Waits until one more connection may be accepted, and evicts idle connections to make room for it.
    pub(super) async fn wait_for_capacity(&self) {
        if self.connections.borrow().len() >= self.max_connections / EVICTION_THRESHOLD_DIVISOR {
            self.evict_idle();
        }
        while self.is_full() {
            self.removed().await;
            self.evict_idle();
        }
    }

    /// The connection whose incomplete request has been waiting for its next bytes for longest, if that is at least
    /// `min_wait` and no bytes are unread in its socket.
    pub(super) fn stalled_request(&self, min_wait: Duration) -> Option<Rc<ConnectionState>> {
        let connections = self.connections.borrow();
        let waiting =
            connections.iter().filter_map(|connection| Some((connection.waiting_since()?, connection)));
        let (since, connection) = waiting.min_by_key(|(since, _)| *since)?;
        let is_stalled = since.elapsed() >= min_wait && !connection.socket().has_unread_bytes();
        is_stalled.then(|| connection.clone())
    }

    /// The connection whose incomplete request holds the most memory, if that is at least `min_bytes`.
    pub(super) fn largest_incomplete_request(&self, min_bytes: usize) -> Option<Rc<ConnectionState>> {
        let connections = self.connections.borrow();
        let largest = connections.iter().max_by_key(|connection| connection.incomplete_request_bytes())?;
        (largest.incomplete_request_bytes() >= min_bytes).then(|| largest.clone())
    }

    /// The sum of `bytes` over all connections.
    pub(super) fn total_of(&self, bytes: impl Fn(&ConnectionState) -> usize) -> usize {
        self.connections.borrow().iter().map(|connection| bytes(connection)).sum()
    }

    /// Whether a connection is evicted only at the limit on connections.
    ///
    /// So are new ones: below the limit, all others may have a request in progress, and the new ones would be the
    /// only candidates. So are those that wait for their clients to close, which may not have read the response.
    fn is_evicted_at_limit_only(connection: &ConnectionState, now: Instant) -> bool {
        matches!(EvictionRank::of(connection, now), EvictionRank::Lingering | EvictionRank::New)
    }

    /// Evicts the idle connection of the lowest rank; among those of the same rank, the one idle for longest.
    fn evict_idle(&self) {
        let connections = self.connections.borrow();
        let now = Instant::now();
        let is_below_limit = connections.len() < self.max_connections;
        let is_candidate = |connection: &&Rc<ConnectionState>| {
            let is_protected = is_below_limit && Self::is_evicted_at_limit_only(connection, now);
            connection.is_idle() && !connection.is_evicted() && !is_protected
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
