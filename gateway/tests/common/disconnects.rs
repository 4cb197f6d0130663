//! Clients that disconnect, in all the ways there are.

use super::{GatewayProcess, PeerEnd, TestClient, idempotent_request, sleep_ms, wait_for_peer_end};
use std::net::Shutdown;
use std::time::Duration;

/// A deadline that no request of a disconnected client reaches.
const LONG_DEADLINE_MS: u64 = 500_000;
/// In the path of each request whose client disconnects, and of no other.
pub(crate) const ABANDONED: &str = "abandoned";

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DisconnectKind {
    Close,
    Reset,
    /// It shuts down its sending side and continues to read.
    HalfClose,
}

/// All kinds.
pub(crate) const DISCONNECT_KINDS: [DisconnectKind; 3] =
    [DisconnectKind::Close, DisconnectKind::Reset, DisconnectKind::HalfClose];

impl DisconnectKind {
    /// How the other side's system sees the end.
    pub(crate) fn peer_end(self) -> PeerEnd {
        if matches!(self, Self::Reset) { PeerEnd::Reset } else { PeerEnd::Fin }
    }
}

/// Which of two events comes first.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Order {
    DisconnectFirst,
    ReleaseFirst,
}

/// How a client disconnects.
pub(crate) struct Disconnect {
    pub(crate) kind: DisconnectKind,
    /// What the client has written behind its request.
    pub(crate) trailing: String,
    /// Whether it disconnects before or after what its request waits for comes.
    pub(crate) order: Order,
}

impl Disconnect {
    /// Each kind with each trailing text, in alternating order.
    pub(crate) fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for (n, kind) in DISCONNECT_KINDS.into_iter().enumerate() {
            let pipelined = (0..99).map(|_| abandoned_request()).collect();
            let trailing = [String::new(), "G".into(), abandoned_request(), pipelined];
            for (m, trailing) in trailing.into_iter().enumerate() {
                let order = if (n + m) % 2 == 0 { Order::DisconnectFirst } else { Order::ReleaseFirst };
                all.push(Self { kind, trailing, order });
            }
        }
        all
    }

    /// For the messages of assertions.
    pub(crate) fn describe(&self) -> String {
        format!("{:?}, {} trailing bytes, {:?}", self.kind, self.trailing.len(), self.order)
    }

    /// Ends a client's connection; one that continues to read is handed back.
    pub(crate) fn end(&self, client: TestClient) -> Option<TestClient> {
        end(client, self.kind)
    }

    /// The same, and waits until the other side's system knows.
    pub(crate) async fn end_and_wait(&self, client: TestClient) -> Option<TestClient> {
        end_and_wait(client, self.kind).await
    }

    /// Writes a request and the trailing text.
    pub(crate) async fn send_request(&self, client: &mut TestClient, request: &str) {
        client.write(&(request.to_owned() + &self.trailing)).await;
    }

    /// While the gateway is suspended the client disconnects and what its request waits for comes: the
    /// gateway finds both in one turn of its event loop.
    pub(crate) async fn cross(
        &self, gateway: &GatewayProcess, client: TestClient, release: impl Future,
    ) -> Option<TestClient> {
        gateway.suspend();
        let client = match self.order {
            Order::DisconnectFirst => {
                let client = self.end_and_wait(client).await;
                release.await;
                client
            }
            Order::ReleaseFirst => {
                release.await;
                self.end_and_wait(client).await
            }
        };
        // What was written to the gateway has reached its system by then.
        sleep_ms(50).await;
        gateway.resume();
        client
    }
}

/// An idempotent request whose path contains [`ABANDONED`].
pub(crate) fn abandoned_request() -> String {
    idempotent_request(LONG_DEADLINE_MS).replace("/a%20b", &format!("/{ABANDONED}"))
}

/// Ends a client's connection; one that continues to read is handed back.
fn end(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let socket = socket2::SockRef::from(client.stream.get_ref());
    match kind {
        DisconnectKind::Close => {}
        DisconnectKind::Reset => socket.set_linger(Some(Duration::ZERO)).expect("set"),
        DisconnectKind::HalfClose => socket.shutdown(Shutdown::Write).expect("shut"),
    }
    Some(client).filter(|_| matches!(kind, DisconnectKind::HalfClose))
}

/// The same, and waits until the other side's system knows.
pub(crate) async fn end_and_wait(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let stream = client.stream.get_ref();
    let local = stream.local_addr().expect("an address");
    let peer = stream.peer_addr().expect("an address");
    let client = end(client, kind);
    wait_for_peer_end(peer, local, kind.peer_end()).await;
    client
}
