//! What gives way when the memory limit is reached.
//!
//! Requests that are not complete yet give way first, those that hold the most before others: they are answered
//! at once, and the rest of what their clients send is dropped (`lingering_close`). A close without a response
//! would lose a request whose last bytes wait unread in the socket or are on their way. If that does not
//! suffice, complete requests are rejected before anything is forwarded. Requests in progress never give way.

use crate::client::connection_state::ConnectionState;
use crate::client::connection_table::ConnectionTable;
use crate::memory::MemoryMonitor;
use std::rc::Rc;

/// Incomplete requests that hold less than this do not give way: there are never enough of them to matter, and
/// most are those of well-behaved clients.
const MIN_REJECTED_BYTES: usize = 4096;

/// Keeps the memory in use below its limit.
pub(super) struct MemoryOverload {
    memory: Rc<MemoryMonitor>,
    connections: Rc<ConnectionTable>,
}

impl MemoryOverload {
    /// Creates the overload protection of a server, which also frees memory for responses.
    pub(super) fn new(memory: Rc<MemoryMonitor>, connections: Rc<ConnectionTable>) -> Rc<Self> {
        let overload = Rc::new(Self { memory, connections });
        let weak = Rc::downgrade(&overload);
        let relieve = move || {
            if let Some(overload) = weak.upgrade() {
                overload.relieve();
            }
        };
        overload.memory.set_relief(Rc::new(relieve));
        overload
    }

    /// Rejects incomplete requests while the memory in use exceeds what requests may fill. Called after each read
    /// from a client, and before a response is received.
    pub(super) fn relieve(&self) {
        while self.is_exceeded() {
            let Some(connection) = self.connections.largest_incomplete_request(MIN_REJECTED_BYTES) else {
                return;
            };
            connection.reject_incomplete_request();
            self.memory.record_incomplete_rejected();
        }
    }

    /// Whether a complete request is to be rejected, as the memory in use exceeds what requests may fill and no
    /// incomplete request can give way.
    pub(super) fn rejects_request(&self) -> bool {
        self.relieve();
        let rejects = self.is_exceeded();
        if rejects {
            self.memory.record_rejected();
        }
        rejects
    }

    /// Whether the memory in use exceeds what requests may fill, without that of requests which are about to be rejected.
    fn is_exceeded(&self) -> bool {
        let excess = self.memory.excess_bytes_of_requests();
        excess > 0 && excess > self.connections.total_of(ConnectionState::bytes_freed_by_rejection)
    }
}
