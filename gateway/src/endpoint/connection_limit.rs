//! The limit on connections to endpoints.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the connections in use and limits the number of open connections, in use or idle.
pub(super) struct ConnectionLimit {
    max_open: usize,
    in_use: Rc<Cell<usize>>,
}

impl ConnectionLimit {
    /// A limit of `max_open` connections, none of them in use.
    pub(super) fn new(max_open: usize) -> Self {
        Self { max_open, in_use: Rc::default() }
    }

    /// Reserves a slot for a connection in use. Returns `None` if as many connections are in use as may be
    /// open.
    pub(super) fn reserve(&self) -> Option<ConnectionSlot> {
        let in_use = self.in_use.get();
        if in_use >= self.max_open {
            return None;
        }
        self.in_use.set(in_use + 1);
        Some(ConnectionSlot(self.in_use.clone()))
    }

    /// How many open connections exceed the limit if `idle` connections are open besides those in use.
    pub(super) fn excess(&self, idle: usize) -> usize {
        (self.in_use.get() + idle).saturating_sub(self.max_open)
    }
}

/// Counts a connection as in use until it is dropped.
pub(super) struct ConnectionSlot(Rc<Cell<usize>>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
