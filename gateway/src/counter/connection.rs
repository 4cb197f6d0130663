//! One pipelined connection to the counter, re-established with backoff.

use crate::counter::call_queue::{CallQueue, CompletionCallback};
use crate::counter::pipeline::Pipeline;
use crate::counter::resp::Command;
use crate::counter::session::{Session, SessionError};
use crate::log;
use crate::socket::connect;
use crate::task::spawn;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A connection attempt may last this much longer than a call.
const CONNECT_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// The delay after a connection without a reply, doubled with each further one up to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A connection that is kept established until it is drained.
pub(super) struct PipelinedConnection {
    address: SocketAddr,
    calls: CallQueue,
    reply_error_logged: Cell<bool>,
}

impl PipelinedConnection {
    /// Connects in a task of its own.
    pub(super) fn start(
        address: SocketAddr, call_timeout: Duration, on_completion: Rc<CompletionCallback>,
    ) -> Rc<Self> {
        let calls = CallQueue::open(call_timeout, on_completion);
        let connection = Rc::new(Self { address, calls, reply_error_logged: Cell::new(false) });
        spawn(connection.clone().run());
        connection
    }

    /// Makes a call; its completion is reported later, or at once when the connection accepts none.
    pub(super) fn call(&self, command: Command) {
        self.calls.call(command);
    }

    /// Closes the connection once the completion of all calls in flight is reported. No calls may be made
    /// after this.
    pub(super) fn drain(&self) {
        self.calls.drain();
    }

    async fn run(self: Rc<Self>) {
        let mut backoff = MIN_BACKOFF;
        while !self.calls.is_draining() {
            if self.connect_and_run_session().await {
                // A counter that has replied is reachable, and every moment without a connection to it leaves
                // quotas unmetered: reconnect at once, and enqueue calls for the next connection meanwhile.
                self.calls.fail_calls_in_flight(Pipeline::open());
                backoff = MIN_BACKOFF;
                continue;
            }
            self.calls.fail_calls_in_flight(Pipeline::closed());
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Runs one connection to its end; returns whether the counter sent any valid reply on it.
    async fn connect_and_run_session(&self) -> bool {
        let Some(stream) = self.connect().await else { return false };
        let mut session = Session::new(&self.calls, &stream);
        let ended = session.run().await;
        let has_replied = session.has_replied();
        drop(stream);
        if let Err(SessionError::Reply(error)) = ended
            && !self.reply_error_logged.replace(true)
        {
            log::write(format_args!("counter: {error} (logged once)"));
        }
        has_replied
    }

    /// Connects. Calls are enqueued meanwhile, until the first of them may have timed out; later ones are
    /// reported as not added until the connection is established.
    async fn connect(&self) -> Option<TcpStream> {
        self.calls.accept_calls();
        let call_timeout = self.calls.call_timeout();
        let mut connecting = pin!(connect(self.address, call_timeout + CONNECT_TIMEOUT_MARGIN));
        if let Ok(connected) = timeout(call_timeout, connecting.as_mut()).await {
            return connected.ok();
        }
        self.calls.fail_calls_in_flight(Pipeline::closed());
        let stream = connecting.await.ok()?;
        self.calls.accept_calls();
        Some(stream)
    }
}
