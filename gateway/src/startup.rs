//! What a gateway needs from the system at its start: the listener, and its share of file descriptors.

use crate::config::ConfigError;
use crate::socket::is_local_error;
use ryefront_policy::SettingsError;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Descriptors for all but clients and endpoints: standard streams, event loop, listener, counter, discovery.
const RESERVED_SOCKETS: usize = 32;
/// The fraction of the other descriptors that clients get; endpoints get the rest.
const CLIENT_FRACTION: f64 = 0.55;
/// The connections that the kernel accepts ahead of the gateway.
const ACCEPT_QUEUE_LENGTH: u32 = 1024;
/// How long a call is repeated while the system lacks descriptors or memory, or a process that has just ended
/// holds the address.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two such calls.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// The signal handlers cannot be installed.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop cannot be created.
    #[error("cannot start the event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The address for clients cannot be used.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// How the file descriptors of the process are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBudget {
    /// The most connections of clients.
    pub clients: usize,
    /// The most connections to endpoints.
    pub endpoints: usize,
}

impl SocketBudget {
    /// Divides the descriptors that a process may hold.
    pub fn new(max_sockets: usize) -> Self {
        let available = max_sockets.saturating_sub(RESERVED_SOCKETS).max(2);
        let clients = ((available as f64 * CLIENT_FRACTION) as usize).max(1);
        let endpoints = available.saturating_sub(clients).max(1);
        Self { clients, endpoints }
    }
}

/// Listens for clients. Retries as [`retry_local_errors`] does.
///
/// # Errors
/// When the address cannot be used.
pub fn listen(address: SocketAddr) -> Result<TcpListener, StartupError> {
    retry_local_errors(|| bind(address)).map_err(|source| StartupError::Listen { address, source })
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}

/// Repeats a call for up to 5 s while it fails for lack of resources of this machine. Blocks the thread
/// meanwhile, as a gateway can do nothing else before its start.
///
/// # Errors
/// The last error, or the first one with another cause.
pub fn retry_local_errors<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_local_error(&error) && started.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_PAUSE)
            }
            result => return result,
        }
    }
}
