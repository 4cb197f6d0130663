//! Forces and observes states of TCP connections.

use super::{ok_response, read_message, wait_until};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The number of consecutive checks that must miss a connection before it is considered closed.
const MISSES_UNTIL_CLOSED: u32 = 10;
/// A connection attempt that takes longer than this shows that the backlog is full.
const BACKLOG_FULL_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection state of `/proc/net/tcp`.
#[derive(Clone, Copy)]
enum TcpState {
    Established,
    SynSent,
    CloseWait,
}

impl TcpState {
    fn code(self) -> &'static str {
        match self {
            Self::Established => "01",
            Self::SynSent => "02",
            Self::CloseWait => "08",
        }
    }
}

/// Whether `/proc/net/tcp` lists a connection in this state to port `to`, from port `from` or, if `None`,
/// from any port. The table can change while it is read and omit a connection, so a single negative result is
/// not conclusive.
fn has_connection(state: TcpState, from: Option<u16>, to: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("failed to read /proc/net/tcp");
    let port = |field: &str| field.rsplit(':').next().and_then(|p| u16::from_str_radix(p, 16).ok());
    table.lines().skip(1).any(|line| {
        let fields: Vec<_> = line.split_whitespace().take(4).collect();
        let from_matches = from.is_none() || port(fields[1]) == from;
        fields[3] == state.code() && port(fields[2]) == Some(to) && from_matches
    })
}

/// How a peer closes its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerClose {
    /// A FIN, which leaves the connection in `CLOSE_WAIT`.
    Fin,
    /// An RST, which removes the connection from the table.
    Reset,
}

/// Waits until the FIN or RST of `peer` has reached the socket at `local`, which can take a while on a busy
/// machine, even over loopback. A reset is recognized by repeated checks that do not find the connection.
pub(crate) async fn wait_for_peer_close(local: SocketAddr, peer: SocketAddr, close: PeerClose) {
    let missing = AtomicU32::new(0);
    wait_until("the close of the connection by its peer", || {
        if has_connection(TcpState::Established, Some(local.port()), peer.port()) {
            missing.store(0, SeqCst);
        }
        let is_half_closed =
            close == PeerClose::Fin && has_connection(TcpState::CloseWait, Some(local.port()), peer.port());
        is_half_closed || missing.fetch_add(1, SeqCst) == MISSES_UNTIL_CLOSED
    })
    .await;
}

/// Waits until a connection attempt to an address with a full backlog has started.
pub(crate) async fn wait_for_connection_attempt(to: SocketAddr) {
    wait_until("a connection attempt", || has_connection(TcpState::SynSent, None, to.port())).await;
}

/// A port that is bound but has no listener: it refuses connections, and no other process can bind it.
pub(crate) struct RefusingPort {
    pub(crate) address: SocketAddr,
    socket: TcpSocket,
}

impl RefusingPort {
    /// Binds an ephemeral port.
    pub(crate) fn bind() -> Self {
        let socket = TcpSocket::new_v4().expect("failed to create a socket");
        socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("failed to bind a loopback port");
        let address = socket.local_addr().expect("socket has no address");
        Self { address, socket }
    }

    /// Starts to listen on the port.
    pub(crate) fn listen(self, backlog: u32) -> TcpListener {
        self.socket.listen(backlog).expect("failed to listen")
    }
}

/// A listener with a full backlog: no further connection is established before [`Self::accept_all`].
pub(crate) struct FullBacklog {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullBacklog {
    /// Starts a listener and fills its backlog with connections.
    pub(crate) async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("failed to create a socket");
        socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("failed to bind a loopback port");
        let listener = socket.listen(1).expect("failed to listen");
        let address = listener.local_addr().expect("socket has no address");
        let mut queued = Vec::new();
        let connect = || tokio::time::timeout(BACKLOG_FULL_TIMEOUT, TcpStream::connect(address));
        while let Ok(Ok(stream)) = connect().await {
            queued.push(stream);
        }
        Self { address, listener, queued }
    }

    /// Empties the backlog, and responds to all requests on the connections that are then established.
    pub(crate) fn accept_all(self) -> LateConnections {
        let state = Arc::<LateState>::default();
        let own_addresses: Vec<_> =
            self.queued.iter().filter_map(|stream| stream.local_addr().ok()).collect();
        drop(self.queued);
        tokio::spawn(state.clone().accept_connections(self.listener, own_addresses));
        LateConnections { state }
    }
}

#[derive(Default)]
struct LateState {
    request_lines: Mutex<Vec<String>>,
    opened: AtomicUsize,
    closed: AtomicUsize,
}

/// The connections established after a full backlog was emptied, except for those that had filled it.
pub(crate) struct LateConnections {
    state: Arc<LateState>,
}

impl LateConnections {
    /// Waits until at least `count` connections have been established.
    pub(crate) async fn wait_until_opened(&self, count: usize) {
        wait_until("connections after the backlog was emptied", || self.state.opened.load(SeqCst) >= count)
            .await;
    }

    /// Waits until the peer has closed all established connections.
    pub(crate) async fn wait_until_all_closed(&self) {
        let all_closed = || self.state.opened.load(SeqCst) == self.state.closed.load(SeqCst);
        wait_until("the close of all late connections", all_closed).await;
    }

    /// The request lines of all received requests.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.state.request_lines.lock().expect("lock poisoned").clone()
    }
}

impl LateState {
    async fn accept_connections(self: Arc<Self>, listener: TcpListener, ignored: Vec<SocketAddr>) {
        while let Ok((stream, from)) = listener.accept().await {
            if ignored.contains(&from) {
                continue;
            }
            self.opened.fetch_add(1, SeqCst);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream).await {
            self.request_lines.lock().expect("lock poisoned").push(request.start_line);
            let _ = stream.write_all(ok_response("late").as_bytes()).await;
        }
        self.closed.fetch_add(1, SeqCst);
    }
}
