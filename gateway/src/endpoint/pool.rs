//! Idle connections, by endpoint: its cost follows the connections that are kept, not the endpoints that are known.

use rustc_hash::FxHashMap;
use ryefront_policy::Name;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections to endpoints, of any kind.
pub struct Pool<T> {
    /// Those of one endpoint in the order in which they came, and since when each is idle. Never empty.
    idle: FxHashMap<Name, Vec<(T, Instant)>>,
    count: usize,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self { idle: FxHashMap::default(), count: 0 }
    }
}

impl<T> Pool<T> {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Keeps a connection that is idle since then.
    pub fn put(&mut self, endpoint: &Name, connection: T, since: Instant) {
        self.idle.entry(endpoint.clone()).or_default().push((connection, since));
        self.count += 1;
    }

    /// Takes out the connection to an endpoint that came last of those that have been idle for at least `rest`.
    pub fn take(&mut self, endpoint: &Name, rest: Duration) -> Option<(T, Instant)> {
        let at = self.idle.get(endpoint)?.iter().rposition(|(_, since)| since.elapsed() >= rest)?;
        self.remove(endpoint, at)
    }

    /// Drops all connections to an endpoint.
    pub fn clear(&mut self, endpoint: &Name) {
        self.count -= self.idle.remove(endpoint).map_or(0, |idle| idle.len());
    }

    /// Drops the oldest connection to the endpoint with the most, if there are any.
    pub fn evict(&mut self) {
        let fullest = self.idle.iter().max_by_key(|(_, idle)| idle.len()).map(|(name, _)| name.clone());
        fullest.and_then(|name| self.remove(&name, 0));
    }

    fn remove(&mut self, endpoint: &Name, at: usize) -> Option<(T, Instant)> {
        let idle = self.idle.get_mut(endpoint)?;
        let removed = idle.remove(at);
        if idle.is_empty() {
            self.idle.remove(endpoint);
        }
        self.count -= 1;
        Some(removed)
    }

    /// Drops those of which `keep` says so, given each and since when it is idle.
    pub fn retain(&mut self, keep: impl Fn(&T, Instant) -> bool) {
        self.idle.retain(|_, idle| {
            idle.retain(|(connection, since)| keep(connection, *since));
            !idle.is_empty()
        });
        self.count = self.idle.values().map(Vec::len).sum();
    }
}
