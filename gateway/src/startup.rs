//! The startup of a gateway: its listener, and the division of its file descriptors.

use crate::config::ConfigError;
use crate::socket::is_local_error;
use ryefront_policy::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// The number of descriptors that are not for clients or endpoints but for the standard streams, the event
/// loop, the listener, the counter and discovery.
const RESERVED_DESCRIPTORS: usize = 32;
/// The fraction of the remaining descriptors for client connections. The rest is for endpoint connections.
const CLIENT_FRACTION: f64 = 0.55;
/// The maximum number of connections in the kernel's accept queue.
const LISTEN_BACKLOG: u32 = 1024;
/// How long a call is retried while the system lacks descriptors or memory, or the address is still held by a
/// process that has just ended.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between two such calls.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The signal handlers cannot be installed.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop cannot be created.
    #[error("cannot start the event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The gateway cannot listen for clients.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The connection limits that keep the process within its limit of file descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum number of client connections.
    pub clients: usize,
    /// The maximum number of endpoint connections.
    pub endpoints: usize,
}

impl ConnectionLimits {
    /// Divides the file descriptors that the process may hold.
    pub fn new(max_descriptors: usize) -> Self {
        let available = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let clients = ((available as f64 * CLIENT_FRACTION) as usize).max(1);
        let endpoints = available.saturating_sub(clients).max(1);
        Self { clients, endpoints }
    }
}

/// Listens for clients. Retries as [`retry_local_errors`] does.
///
/// # Errors
/// If the gateway cannot listen at the address, or still cannot after the retries.
pub fn listen(address: SocketAddr) -> Result<TcpListener, StartupError> {
    retry_local_errors(|| bind(address)).map_err(|source| StartupError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Retries a call for up to 5 s while it fails for lack of a resource of this machine. Blocks the thread, as
/// nothing else runs before a gateway has started.
///
/// # Errors
/// The error of the last call, or the first error with another cause.
pub fn retry_local_errors<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_local_error(&error) && started.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_DELAY)
            }
            result => return result,
        }
    }
}
