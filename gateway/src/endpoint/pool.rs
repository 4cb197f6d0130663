//! The pool of idle connections, by endpoint. Its memory and time are proportional to the number of idle
//! connections, not to the number of endpoints.

use rustc_hash::FxHashMap;
use ryefront_policy::Name;
use std::time::Duration;
use tokio::time::Instant;

/// The idle connections to endpoints. Generic over the type of a connection.
pub struct Pool<T> {
    /// The connections to each endpoint, in the order in which they were added. No list is empty.
    by_endpoint: FxHashMap<Name, Vec<IdleConnection<T>>>,
    count: usize,
}

/// A connection that carries no request.
#[derive(Debug, PartialEq, Eq)]
pub struct IdleConnection<T> {
    /// The connection.
    pub connection: T,
    /// When it became idle.
    pub idle_since: Instant,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self { by_endpoint: FxHashMap::default(), count: 0 }
    }
}

impl<T> Pool<T> {
    /// The number of connections to all endpoints.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a connection that has been idle since `idle_since`.
    pub fn put(&mut self, endpoint: &Name, connection: T, idle_since: Instant) {
        let idle = IdleConnection { connection, idle_since };
        self.by_endpoint.entry(endpoint.clone()).or_default().push(idle);
        self.count += 1;
    }

    /// Removes and returns the endpoint's most recently added connection among those idle for at least
    /// `min_idle`.
    pub fn take(&mut self, endpoint: &Name, min_idle: Duration) -> Option<IdleConnection<T>> {
        let connections = self.by_endpoint.get(endpoint)?;
        let index = connections.iter().rposition(|idle| idle.idle_since.elapsed() >= min_idle)?;
        self.remove(endpoint, index)
    }

    /// Removes and drops all connections to an endpoint.
    pub fn remove_endpoint(&mut self, endpoint: &Name) {
        self.count -= self.by_endpoint.remove(endpoint).map_or(0, |connections| connections.len());
    }

    /// Drops the connection that was added first to the endpoint with the most connections, if there are any.
    pub fn evict(&mut self) {
        let fullest = self.by_endpoint.iter().max_by_key(|(_, connections)| connections.len());
        if let Some(endpoint) = fullest.map(|(endpoint, _)| endpoint.clone()) {
            self.remove(&endpoint, 0);
        }
    }

    /// Drops the connections for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&IdleConnection<T>) -> bool) {
        self.by_endpoint.retain(|_, connections| {
            connections.retain(&keep);
            !connections.is_empty()
        });
        self.count = self.by_endpoint.values().map(Vec::len).sum();
    }

    fn remove(&mut self, endpoint: &Name, index: usize) -> Option<IdleConnection<T>> {
        let connections = self.by_endpoint.get_mut(endpoint)?;
        let removed = connections.remove(index);
        if connections.is_empty() {
            self.by_endpoint.remove(endpoint);
        }
        self.count -= 1;
        Some(removed)
    }
}
