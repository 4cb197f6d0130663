//! Accepts client connections while the gateway serves, and drains the accept queue when it shuts down.

use crate::client::connection_table::ConnectionTable;
use crate::socket::is_local_error;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// The delay before a failed accept is retried, as the process may be out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The listening socket for clients, subject to the limit on connections.
pub(super) struct ClientListener {
    listener: TcpListener,
    connections: Rc<ConnectionTable>,
}

impl ClientListener {
    pub(super) fn new(listener: TcpListener, connections: Rc<ConnectionTable>) -> Self {
        Self { listener, connections }
    }

    /// Accepts the next connection as soon as the limit on connections allows.
    ///
    /// Until then the connection waits in the kernel's accept queue, where it uses no descriptor of this
    /// process.
    pub(super) async fn accept(&self) -> TcpStream {
        loop {
            self.connections.wait_for_capacity().await;
            match self.listener.accept().await {
                Ok((stream, _)) => return stream,
                // Only this connection was aborted: the next one in the queue may be accepted at once.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Accepts every connection in the kernel's accept queue, passes each to `serve` and closes the listener.
    /// Returns after `timeout` if the queue cannot be read.
    ///
    /// The kernel has established these connections, so clients may have sent requests on them; closing the
    /// listener resets those left in the queue. The queue is read without the event loop, which may not have
    /// been notified of the newest connections yet. A failed accept does not end the loop, as the connections
    /// behind it in the queue would be lost.
    pub(super) async fn drain_accept_queue(self, timeout: Duration, serve: impl Fn(TcpStream)) {
        let Ok(listener) = self.listener.into_std() else { return };
        let deadline = Instant::now() + timeout;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    if let Ok(stream) = stream {
                        serve(stream);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) if Instant::now() >= deadline => return,
                // File descriptors may become available when connections end.
                Err(error) if is_local_error(&error) => sleep(ACCEPT_RETRY_DELAY).await,
                Err(_) => {}
            }
        }
    }
}
