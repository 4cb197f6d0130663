//! The limit on connections in use at the same time.

use std::cell::Cell;
use std::rc::Rc;

/// Counts connections in use and bounds connections in use and idle together.
pub(super) struct ConnectionLimit {
    max_open: usize,
    in_use: Rc<Cell<usize>>,
}

impl ConnectionLimit {
    /// A limit of `max_open` connections, none of them in use.
    pub(super) fn new(max_open: usize) -> Self {
        Self { max_open, in_use: Rc::default() }
    }

    /// Reserves a slot for a connection in use, unless none is free.
    pub(super) fn reserve(&self) -> Option<ConnectionSlot> {
        let in_use = self.in_use.get();
        if in_use >= self.max_open {
            return None;
        }
        self.in_use.set(in_use + 1);
        Some(ConnectionSlot(self.in_use.clone()))
    }

    /// The number of connections above the limit, with `idle` connections besides those in use.
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
