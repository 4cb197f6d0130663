//! States of TCP connections that a test needs to force or to observe.

use super::{ok_response, read_message, wait_until};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How many checks in a row have to miss a connection before it counts as ended.
const MISSES_UNTIL_CLOSED: u32 = 10;
/// How long a connection attempt may take before the backlog counts as full.
const BACKLOG_FULL_TIMEOUT: Duration = Duration::from_millis(300);

/// The state of a connection in `/proc/net/tcp`.
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

/// Whether the system has a connection in this state to a port, from a port or from any. What changes during
/// the check may be missed, so absence proves nothing.
fn has_connection(state: TcpState, from: Option<u16>, to: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = |field: &str| field.rsplit(':').next().and_then(|p| u16::from_str_radix(p, 16).ok());
    table.lines().skip(1).any(|line| {
        let fields: Vec<_> = line.split_whitespace().take(4).collect();
        let from_matches = from.is_none() || port(fields[1]) == from;
        fields[3] == state.code() && port(fields[2]) == Some(to) && from_matches
    })
}

/// How a peer ends its side of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PeerClose {
    /// With a FIN, after which the connection is in `CLOSE_WAIT`.
    Fin,
    /// With a RST, which leaves no trace.
    Reset,
}

/// Waits until the end of a connection has reached the socket at `local`, whose peer is `peer`: on a busy
/// machine that takes a while, also over loopback. A reset shows only as a connection that is missing check
/// after check.
pub(crate) async fn wait_for_peer_close(local: SocketAddr, peer: SocketAddr, close: PeerClose) {
    let missing = AtomicU32::new(0);
    wait_until("the end of the connection", || {
        if has_connection(TcpState::Established, Some(local.port()), peer.port()) {
            missing.store(0, SeqCst);
        }
        let is_half_closed =
            close == PeerClose::Fin && has_connection(TcpState::CloseWait, Some(local.port()), peer.port());
        is_half_closed || missing.fetch_add(1, SeqCst) == MISSES_UNTIL_CLOSED
    })
    .await;
}

/// Waits until a connection attempt to an address with a full backlog is under way.
pub(crate) async fn wait_for_connection_attempt(to: SocketAddr) {
    wait_until("a connection attempt", || has_connection(TcpState::SynSent, None, to.port())).await;
}

/// A port that is bound but not listened at: it refuses connections, and no other process can bind it.
pub(crate) struct RefusingPort {
    pub(crate) address: SocketAddr,
    socket: TcpSocket,
}

impl RefusingPort {
    /// Binds a port that the system chooses.
    pub(crate) fn bind() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = socket.local_addr().expect("an address");
        Self { address, socket }
    }

    /// Accepts connections from now on.
    pub(crate) fn listen(self, backlog: u32) -> TcpListener {
        self.socket.listen(backlog).expect("a listener")
    }
}

/// A listener whose backlog is full: further connections are not established until [`Self::accept_all`].
pub(crate) struct FullBacklog {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    waiting: Vec<TcpStream>,
}

impl FullBacklog {
    /// Listens, and connects until the backlog is full.
    pub(crate) async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
        let listener = socket.listen(1).expect("listening");
        let address = listener.local_addr().expect("an address");
        let mut waiting = Vec::new();
        let connect = || tokio::time::timeout(BACKLOG_FULL_TIMEOUT, TcpStream::connect(address));
        while let Ok(Ok(stream)) = connect().await {
            waiting.push(stream);
        }
        Self { address, listener, waiting }
    }

    /// Frees the backlog, and responds to all requests on the connections that are established then.
    pub(crate) fn accept_all(self) -> LateConnections {
        let state = Arc::<LateState>::default();
        let own: Vec<_> = self.waiting.iter().filter_map(|stream| stream.local_addr().ok()).collect();
        drop(self.waiting);
        tokio::spawn(state.clone().accept_connections(self.listener, own));
        LateConnections { state }
    }
}

#[derive(Default)]
struct LateState {
    request_lines: Mutex<Vec<String>>,
    opened: AtomicUsize,
    closed: AtomicUsize,
}

/// Connections that were established once a full backlog was freed, without those that had filled it.
pub(crate) struct LateConnections {
    state: Arc<LateState>,
}

impl LateConnections {
    /// Waits until at least `count` have been established.
    pub(crate) async fn wait_until_opened(&self, count: usize) {
        wait_until("late connections", || self.state.opened.load(SeqCst) >= count).await;
    }

    /// Waits until all that were established have been closed by the peer.
    pub(crate) async fn wait_until_all_closed(&self) {
        let all_closed = || self.state.opened.load(SeqCst) == self.state.closed.load(SeqCst);
        wait_until("the end of the late connections", all_closed).await;
    }

    /// The request lines of all requests that came.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.state.request_lines.lock().expect("lock").clone()
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
            self.request_lines.lock().expect("lock").push(request.start_line);
            let _ = stream.write_all(ok_response("late").as_bytes()).await;
        }
        self.closed.fetch_add(1, SeqCst);
    }
}
