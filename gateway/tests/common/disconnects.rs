//! Clients that disconnect: the kinds of disconnect, and their order relative to other events.

use super::{GatewayProcess, PeerClose, TestClient, idempotent_request, sleep_ms, wait_for_peer_close};
use std::net::Shutdown;
use std::time::Duration;

/// Long enough that no request of a disconnected client reaches its deadline.
const LONG_DEADLINE_MS: u64 = 500_000;
/// Part of the path of every request whose client disconnects, and of no other request.
pub(crate) const ABANDONED_PATH: &str = "abandoned";

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DisconnectKind {
    Close,
    Reset,
    /// Shuts down the sending side and continues to read.
    HalfClose,
}

pub(crate) const DISCONNECT_KINDS: [DisconnectKind; 3] =
    [DisconnectKind::Close, DisconnectKind::Reset, DisconnectKind::HalfClose];

impl DisconnectKind {
    /// How the peer's kernel sees the disconnect.
    pub(crate) fn peer_close(self) -> PeerClose {
        if matches!(self, Self::Reset) { PeerClose::Reset } else { PeerClose::Fin }
    }
}

/// Whether the client disconnects before or after the event its request waits for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EventOrder {
    DisconnectFirst,
    EventFirst,
}

/// One combination of the ways a client can disconnect.
pub(crate) struct DisconnectCase {
    pub(crate) kind: DisconnectKind,
    /// What the client writes after its request, on the same connection.
    pub(crate) trailing: String,
    pub(crate) order: EventOrder,
}

impl DisconnectCase {
    /// Each kind with each trailing text; the event order alternates between the cases.
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

    /// A description for assertion messages.
    pub(crate) fn describe(&self) -> String {
        format!("{:?}, {} trailing bytes, {:?}", self.kind, self.trailing.len(), self.order)
    }

    /// Disconnects a client. Returns the client if it continues to read.
    pub(crate) fn disconnect(&self, client: TestClient) -> Option<TestClient> {
        disconnect(client, self.kind)
    }

    /// Disconnects a client, and waits until the gateway's kernel has received the FIN or RST.
    pub(crate) async fn disconnect_and_wait(&self, client: TestClient) -> Option<TestClient> {
        disconnect_and_wait(client, self.kind).await
    }

    /// Writes a request, followed by the trailing text.
    pub(crate) async fn send_request(&self, client: &mut TestClient, request: &str) {
        client.write(&(request.to_owned() + &self.trailing)).await;
    }

    /// Disconnects the client and triggers the event its request waits for while the gateway is suspended, so
    /// that the gateway sees both in one iteration of its event loop.
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
        // Allows time for data in flight to reach the socket buffers of the gateway.
        sleep_ms(50).await;
        gateway.resume();
        client
    }
}

/// An idempotent request whose path contains [`ABANDONED_PATH`].
pub(crate) fn abandoned_request() -> String {
    idempotent_request(LONG_DEADLINE_MS).replace("/a%20b", &format!("/{ABANDONED_PATH}"))
}

/// Disconnects a client. Returns the client if it continues to read.
fn disconnect(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let socket = socket2::SockRef::from(client.stream.get_ref());
    match kind {
        DisconnectKind::Close => {}
        DisconnectKind::Reset => socket.set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER"),
        DisconnectKind::HalfClose => {
            socket.shutdown(Shutdown::Write).expect("failed to shut down the sending side")
        }
    }
    Some(client).filter(|_| matches!(kind, DisconnectKind::HalfClose))
}

/// Disconnects a client, and waits until the kernel on the other side has received the FIN or RST.
pub(crate) async fn disconnect_and_wait(client: TestClient, kind: DisconnectKind) -> Option<TestClient> {
    let stream = client.stream.get_ref();
    let local = stream.local_addr().expect("socket has no local address");
    let peer = stream.peer_addr().expect("socket has no peer");
    let client = disconnect(client, kind);
    wait_for_peer_close(peer, local, kind.peer_close()).await;
    client
}
