//! What gives way when the memory limit is reached.
//!
//! Requests that are not complete yet give way first: the stalled ones, so that clients which stop in the middle of a
//! request make room for those which go on; then those that hold the most. They are answered at once, and
//! the rest of what their clients send is dropped (`lingering_close`). A close without a response would lose a request
//! whose last bytes wait unread in the socket or are on their way. If that does not suffice, complete requests are
//! rejected before anything is forwarded. Requests in progress never give way.

use crate::client::connection_state::ConnectionState;
use crate::client::connection_table::ConnectionTable;
use crate::memory::MemoryMonitor;
use std::rc::Rc;
use std::time::Duration;

/// Incomplete requests that hold less than this do not give way unless they are stalled: there are never enough of them to
/// matter, and most are those of well-behaved clients.
const MIN_REJECTED_BYTES: usize = 4096;

/// How long an incomplete request has to wait for its next bytes before it is stalled. Clients send a request at once.
const MIN_STALL: Duration = Duration::from_millis(50);

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
            let Some(connection) = self.next_to_give_way() else {
                return;
            };
            connection.reject_incomplete_request();
            self.memory.record_incomplete_rejected();
        }
    }

    /// The connection whose incomplete request gives way before all others.
    fn next_to_give_way(&self) -> Option<Rc<ConnectionState>> {
        let stalled = self.connections.stalled_request(MIN_STALL);
        stalled.or_else(|| self.connections.largest_incomplete_request(MIN_REJECTED_BYTES))
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
