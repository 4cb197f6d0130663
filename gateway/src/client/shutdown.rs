//! Graceful shutdown, in the order of [`ShutdownPhase`] and at the times of [`ShutdownSchedule`].
//!
//! Until the process may be killed, every request that was accepted gets its final response, and clients stop
//! using their connections.

use crate::client::connection_table::ConnectionTable;
use crate::client::listener::ClientListener;
use crate::client::shutdown_schedule::ShutdownSchedule;
use crate::engine::Engine;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How long a new connection is kept for its first request during the shutdown.
const FIRST_REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// How long accepting from the queue is retried while it fails.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after the last final response the remaining connections are abandoned, as clients may stop
/// reading a response or sending a request halfway.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between checks for requests in progress while connections close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The phases of serving and shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownPhase {
    /// Connections are accepted and requests served.
    Serving,
    /// Readiness checks fail, and each response closes its connection. New connections are still accepted.
    NotReady,
    /// Connections from earlier phases are closed when idle. A client whose request is in transit when its
    /// connection is closed retries it on a new connection, so new connections are still accepted.
    ClosingIdleConnections,
    /// Leased units are returned to the quotas. New connections are still accepted.
    ReturningLeases,
    /// The connections in the accept queue are accepted, and the listener is closed.
    DrainingAcceptQueue,
    /// All connections are closed when idle.
    ClosingAllConnections,
}

/// The rounds in which the shutdown closes connections, in order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRound {
    /// No connection is closed yet.
    NotClosing,
    /// Connections opened before this round are closed.
    OpenedBefore,
    /// All remaining connections are closed.
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

/// Signals to one connection that the shutdown is to close it.
pub(super) struct CloseSignal {
    phase: watch::Receiver<ShutdownPhase>,
    round_at_open: CloseRound,
    opened_at: Instant,
    /// When the remaining requests are timed out.
    final_responses_at: watch::Receiver<Option<Instant>>,
}

impl CloseSignal {
    /// Resolves once the connection is to be closed.
    pub(super) async fn received(&mut self) {
        let round_at_open = self.round_at_open;
        let closes = |phase: &ShutdownPhase| phase.close_round() > round_at_open;
        // The returned guard locks the channel. If it were kept, a phase change on this thread would
        // deadlock.
        drop(self.phase.wait_for(closes).await);
    }

    /// Until when the connection is kept for its first request, once it is to be closed. No request may arrive
    /// after the final responses, as the process may be killed before it is answered.
    pub(super) fn first_request_deadline(&self) -> Instant {
        let deadline = self.opened_at + FIRST_REQUEST_PERIOD;
        self.final_responses_at
            .borrow()
            .map_or(deadline, |final_responses_at| deadline.min(final_responses_at))
    }
}

/// The shutdown of the client side.
pub(super) struct Shutdown {
    schedule: ShutdownSchedule,
    phase: watch::Sender<ShutdownPhase>,
    /// When the remaining requests are timed out; `None` before SIGTERM.
    final_responses_at: watch::Sender<Option<Instant>>,
}

impl Shutdown {
    pub(super) fn new(schedule: ShutdownSchedule) -> Self {
        Self {
            schedule,
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
        let final_responses_at = self.final_responses_at.subscribe();
        CloseSignal { phase, round_at_open, opened_at: Instant::now(), final_responses_at }
    }

    /// Resolves when the remaining requests are to be timed out, as the process may be killed soon.
    pub(super) async fn final_responses_due(&self) {
        let mut final_responses_at = self.final_responses_at.subscribe();
        let at = final_responses_at.wait_for(Option::is_some).await.map(|at| *at);
        match at {
            Ok(Some(at)) => sleep_until(at).await,
            _ => std::future::pending().await,
        }
    }

    /// Runs the phases in which new connections are still accepted: fails readiness checks, waits for late
    /// connections, closes idle connections, and returns the leases. Runs concurrently with the listener.
    /// Returns when the shutdown began.
    pub(super) async fn drain_while_accepting(&self, engine: &Engine) -> Instant {
        let began_at = Instant::now();
        self.final_responses_at.send_replace(Some(began_at + self.schedule.final_responses));
        self.enter(ShutdownPhase::NotReady);
        sleep_until(began_at + self.schedule.close_idle).await;

        self.enter(ShutdownPhase::ClosingIdleConnections);
        sleep_until(began_at + self.schedule.return_leases).await;

        self.enter(ShutdownPhase::ReturningLeases);
        engine.return_leases();
        sleep_until(began_at + self.schedule.close_listener).await;
        began_at
    }

    /// Serves the connections in the accept queue and closes the listener.
    pub(super) async fn drain_accept_queue(&self, listener: ClientListener, serve: impl Fn(TcpStream)) {
        self.enter(ShutdownPhase::DrainingAcceptQueue);
        listener.drain_accept_queue(ACCEPT_QUEUE_TIMEOUT, serve).await;
    }

    /// Closes all connections once they are idle. Returns when they are closed, [`CLOSE_TIMEOUT`] after the
    /// last final response, or just before the process may be killed.
    pub(super) async fn close_all_connections(
        &self, engine: &Engine, connections: &ConnectionTable, began_at: Instant,
    ) {
        self.enter(ShutdownPhase::ClosingAllConnections);
        let exit_at = began_at + self.schedule.exit;
        let mut last_in_progress_at = Instant::now();
        while !connections.is_empty()
            && last_in_progress_at.elapsed() < CLOSE_TIMEOUT
            && Instant::now() < exit_at
        {
            let check_at = exit_at.min(Instant::now() + CLOSE_CHECK_INTERVAL);
            let _ = timeout_at(check_at, connections.removed()).await;
            if engine.requests_in_progress() > 0 {
                last_in_progress_at = Instant::now();
            }
        }
    }

    fn enter(&self, phase: ShutdownPhase) {
        self.phase.send_replace(phase);
    }
}
