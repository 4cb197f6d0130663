//! Clients that disconnect, in all the ways there are.

use super::{GatewayProcess, PeerClose, TestClient, idempotent_request, sleep_ms, wait_for_peer_close};
use std::net::Shutdown;
use std::time::Duration;

/// A deadline that no request of a disconnected client reaches.
const LONG_DEADLINE_MS: u64 = 500_000;
/// In the path of each request whose client disconnects, and of no other.
pub(crate) const ABANDONED_PATH: &str = "abandoned";

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
    pub(crate) fn peer_close(self) -> PeerClose {
        if matches!(self, Self::Reset) { PeerClose::Reset } else { PeerClose::Fin }
    }
}

/// Which of two events comes first.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EventOrder {
    DisconnectFirst,
    EventFirst,
}

/// How a client disconnects.
pub(crate) struct DisconnectCase {
    pub(crate) kind: DisconnectKind,
    /// What the client has written behind its request.
    pub(crate) trailing: String,
    /// Whether it disconnects before or after what its request waits for comes.
    pub(crate) order: EventOrder,
}

impl DisconnectCase {
    /// Each kind with each trailing text, in alternating order.
    pub(crate) fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for (n, kind) in DISCONNECT_KINDS.into_iter().enumerate() {
            let pipelined = (0..99).map(|_| abandoned_request()).collect();
            let trailing = [String::new(), "G".into(), abandoned_request(), pipelined];
            for (m, trailing) in trailing.into_iter().enumerate() {
                let order =
                    if (n + m) % 2 == 0 { EventOrder::DisconnectFirst } else { EventOrder::EventFirst };
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
    pub(crate) fn disconnect(&self, client: TestClient) -> Option<TestClient> {
        disconnect(client, self.kind)
    }

    /// The same, and waits until the other side's system knows.
    pub(crate) async fn disconnect_and_wait(&self, client: TestClient) -> Option<TestClient> {
        disconnect_and_wait(client, self.kind).await
    }

    /// Writes a request and the trailing text.
    pub(crate) async fn send_request(&self, client: &mut TestClient, request: &str) {
        client.write(&(request.to_owned() + &self.trailing)).await;
    }

    /// While the gateway is suspended the client disconnects and what its request waits for comes: the
    /// gateway finds both in one turn of its event loop.
    pub(crate) async fn disconnect_while_suspended(
        &self, gateway: &GatewayProcess, client: TestClient, event: impl Future,
    ) -> Option<TestClient> {
        gateway.suspend();
        let client = match self.order {
            EventOrder::DisconnectFirst => {
                let client = self.disconnect_and_wait(client).await;
                event.await;
                client
            }
            EventOrder::EventFirst => {
                event.await;
                self.disconnect_and_wait(client).await
            }
        };
        // What was written to the gateway has reached its system by then.
        sleep_ms(50).await;
        gateway.resume();
        client
    }
}

/// An idempotent request whose path contains [`ABANDONED_PATH`].
pub(crate) fn abandoned_request() -> String {
    idempotent_request(LONG_DEADLINE_MS).replace("/a%20b", &format!("/{ABANDONED_PATH}"))
}

/// Ends a client's connection; one that continues to read is handed back.
fn disconnect(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let socket = socket2::SockRef::from(client.stream.get_ref());
    match kind {
        DisconnectKind::Close => {}
        DisconnectKind::Reset => socket.set_linger(Some(Duration::ZERO)).expect("set"),
        DisconnectKind::HalfClose => socket.shutdown(Shutdown::Write).expect("shut"),
    }
    Some(client).filter(|_| matches!(kind, DisconnectKind::HalfClose))
}

/// The same, and waits until the other side's system knows.
pub(crate) async fn disconnect_and_wait(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let stream = client.stream.get_ref();
    let local = stream.local_addr().expect("an address");
    let peer = stream.peer_addr().expect("an address");
    let client = disconnect(client, kind);
    wait_for_peer_close(peer, local, kind.peer_close()).await;
    client
}
