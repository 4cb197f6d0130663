//! The client of the counter as the rest of the gateway sees it.

use crate::counter::call_queue::CompletionCallback;
use crate::counter::connection::PipelinedConnection;
use crate::counter::resp::Command;
use ryefront_policy::Millis;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How many connections are open to the counter. A key always uses the same one, so that its calls keep their
/// order.
pub const CONNECTION_COUNT: usize = 2;

/// Calls the shared counter and reports how each call completed.
pub struct CounterClient {
    address: Cell<SocketAddr>,
    call_timeout: Duration,
    on_completion: Rc<CompletionCallback>,
    connections: RefCell<Vec<Rc<PipelinedConnection>>>,
}

impl CounterClient {
    /// Connects, and reconnects whenever a connection breaks. A call without a reply within `call_timeout` is
    /// reported as [`Unknown`](ryefront_policy::CounterResult::Unknown).
    ///
    /// # Panics
    /// Outside of a [`LocalSet`](tokio::task::LocalSet).
    pub fn start(address: SocketAddr, call_timeout: Duration, on_completion: Rc<CompletionCallback>) -> Self {
        let connections = open_connections(address, call_timeout, &on_completion);
        Self {
            address: Cell::new(address),
            call_timeout,
            on_completion,
            connections: RefCell::new(connections),
        }
    }

    /// Sends further calls to another address. Calls in flight complete on the old connections.
    pub fn migrate_to(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        let connections = open_connections(address, self.call_timeout, &self.on_completion);
        for connection in self.connections.replace(connections) {
            connection.drain();
        }
    }

    /// Adds `amount` to the counter with this key, which expires `ttl` after its first use. The completion is
    /// reported later, or at once when no connection accepts the call.
    pub fn increment(&self, key: u64, amount: f64, ttl: Millis) {
        let connection = self.connections.borrow()[key as usize % CONNECTION_COUNT].clone();
        connection.call(Command::Increment { key, amount, ttl });
    }
}

fn open_connections(
    address: SocketAddr, call_timeout: Duration, on_completion: &Rc<CompletionCallback>,
) -> Vec<Rc<PipelinedConnection>> {
    (0..CONNECTION_COUNT)
        .map(|_| PipelinedConnection::start(address, call_timeout, on_completion.clone()))
        .collect()
}
