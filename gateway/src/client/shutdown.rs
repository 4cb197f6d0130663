//! Graceful shutdown, step by step: see [`ShutdownPhase`].
//!
//! The process may be killed 3.7 s after SIGTERM. Until then every request that was accepted gets its final
//! response, and clients stop using their connections.

use crate::client::connection_table::ConnectionTable;
use crate::client::listener::ClientListener;
use crate::engine::Engine;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long after SIGTERM new connections may still arrive.
pub(super) const LATE_ARRIVAL_PERIOD: Duration = Duration::from_millis(500);
/// The time for returning leases to the quotas, before the accept queue is drained.
const LEASE_RETURN_TIME: Duration = Duration::from_millis(200);
/// An accept queue that cannot be read is abandoned after this.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(300);
/// Requests without a response get a final response this long after SIGTERM: just before the process may be
/// killed.
const FINAL_RESPONSES_AFTER: Duration = Duration::from_millis(3500);
/// Connections are abandoned this long after the last final response, as clients may stop reading or sending
/// half-way.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the end of the last requests is checked while connections close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The phases of serving and shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownPhase {
    /// Accepts and serves.
    Serving,
    /// Readiness fails, and each response closes its connection; new connections are still accepted.
    NotReady,
    /// The connections from the phases before are closed when idle. A client whose request crosses the close
    /// sends it again on a new connection, so these are still accepted.
    ClosingIdleConnections,
    /// Leased units are returned to the quotas; new connections are still accepted.
    ReturningLeases,
    /// The connections in the accept queue are accepted, and the listener is closed.
    DrainingAcceptQueue,
    /// All connections are closed when idle.
    ClosingAllConnections,
}

/// Which connections the shutdown closes, in order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRound {
    /// None yet.
    NotClosing,
    /// Those opened before this round.
    OpenedBefore,
    /// All that are left.
    All,
}

impl ShutdownPhase {
    fn close_round(self) -> CloseRound {
        match self {
            Self::Serving | Self::NotReady => CloseRound::NotClosing,
            Self::ClosingIdleConnections | Self::ReturningLeases | Self::DrainingAcceptQueue => {
                CloseRound::OpenedBefore
            }
            Self::ClosingAllConnections => CloseRound::All,
        }
    }
}

/// Signals to one connection that the shutdown closes it.
pub(super) struct CloseSignal {
    phase: watch::Receiver<ShutdownPhase>,
    round_at_open: CloseRound,
}

impl CloseSignal {
    /// Resolves once the connection is to be closed.
    pub(super) async fn received(&mut self) {
        let round_at_open = self.round_at_open;
        let closes = |phase: &ShutdownPhase| phase.close_round() > round_at_open;
        // Dropped at once: the value locks the channel, and a phase change on this thread would wait for it
        // forever.
        drop(self.phase.wait_for(closes).await);
    }
}

/// The shutdown of the client side.
pub(super) struct Shutdown {
    phase: watch::Sender<ShutdownPhase>,
    /// From SIGTERM on: when requests without a response get a final response.
    final_responses_at: watch::Sender<Option<Instant>>,
}

impl Shutdown {
    pub(super) fn new() -> Self {
        Self {
            phase: watch::Sender::new(ShutdownPhase::Serving),
            final_responses_at: watch::Sender::new(None),
        }
    }

    /// Whether the shutdown has begun.
    pub(super) fn is_draining(&self) -> bool {
        *self.phase.borrow() >= ShutdownPhase::NotReady
    }

    /// The close signal for a connection that is opened now.
    pub(super) fn close_signal(&self) -> CloseSignal {
        let phase = self.phase.subscribe();
        let round_at_open = phase.borrow().close_round();
        CloseSignal { phase, round_at_open }
    }

    /// Resolves when requests without a response get a final response, as the process may be killed.
    pub(super) async fn final_responses_due(&self) {
        let mut final_responses_at = self.final_responses_at.subscribe();
        let at = final_responses_at.wait_for(Option::is_some).await.map(|at| *at);
        match at {
            Ok(Some(at)) => sleep_until(at).await,
            _ => std::future::pending().await,
        }
    }

    /// The phases in which new connections are accepted: fails readiness, waits for late connections, closes
    /// idle connections, and returns the leases. Runs beside the listener.
    pub(super) async fn drain_while_accepting(&self, engine: &Engine) {
        self.final_responses_at.send_replace(Some(Instant::now() + FINAL_RESPONSES_AFTER));
        self.enter(ShutdownPhase::NotReady);
        sleep(LATE_ARRIVAL_PERIOD / 2).await;

        self.enter(ShutdownPhase::ClosingIdleConnections);
        sleep(LATE_ARRIVAL_PERIOD / 2).await;

        self.enter(ShutdownPhase::ReturningLeases);
        engine.return_leases(LEASE_RETURN_TIME).await;
    }

    /// Serves the connections in the accept queue and closes the listener.
    pub(super) async fn drain_accept_queue(&self, listener: ClientListener, serve: impl Fn(TcpStream)) {
        self.enter(ShutdownPhase::DrainingAcceptQueue);
        listener.drain_accept_queue(ACCEPT_QUEUE_TIMEOUT, serve).await;
    }

    /// Closes all connections once they are idle. Returns when they are closed, or some time after the last
    /// final response.
    pub(super) async fn close_all_connections(&self, engine: &Engine, connections: &ConnectionTable) {
        self.enter(ShutdownPhase::ClosingAllConnections);
        let mut idle_since = Instant::now();
        while !connections.is_empty() && idle_since.elapsed() < CLOSE_TIMEOUT {
            let _ = timeout(CLOSE_CHECK_INTERVAL, connections.removed()).await;
            if engine.requests_in_progress() > 0 {
                idle_since = Instant::now();
            }
        }
    }

    fn enter(&self, phase: ShutdownPhase) {
        self.phase.send_replace(phase);
    }
}
