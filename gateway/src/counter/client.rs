//! The public interface of the counter client.

use crate::counter::call_queue::CompletionCallback;
use crate::counter::connection::PipelinedConnection;
use crate::counter::resp::Command;
use ryefront_policy::Millis;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The number of connections to the counter. Calls for one key always use the same connection, which keeps
/// them in order.
pub const CONNECTION_COUNT: usize = 2;

/// Calls the shared counter and reports the result of each call.
pub struct CounterClient {
    address: Cell<SocketAddr>,
    call_timeout: Duration,
    on_completion: Rc<CompletionCallback>,
    connections: RefCell<Vec<Rc<PipelinedConnection>>>,
}

impl CounterClient {
    /// Starts the tasks that keep the connections established. A call without a reply within `call_timeout`
    /// is reported as [`Unknown`](ryefront_policy::CounterResult::Unknown).
    ///
    /// # Panics
    /// If called outside of a [`LocalSet`](tokio::task::LocalSet).
    pub fn start(address: SocketAddr, call_timeout: Duration, on_completion: Rc<CompletionCallback>) -> Self {
        let connections = open_connections(address, call_timeout, &on_completion);
        Self {
            address: Cell::new(address),
            call_timeout,
            on_completion,
            connections: RefCell::new(connections),
        }
    }

    /// Sends all further calls to `address`. Calls in flight complete on the old connections.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) == address {
            return;
        }
        let connections = open_connections(address, self.call_timeout, &self.on_completion);
        for connection in self.connections.replace(connections) {
            connection.drain();
        }
    }

    /// Adds `amount` to the counter with this key, which expires `ttl` after its first use. The result is
    /// reported later, or at once if the connection accepts no calls.
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
