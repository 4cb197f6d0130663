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

/// How much longer than the call timeout the connect timeout is.
const CONNECT_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// The delay after a connection on which no reply was received. It doubles with each further one, up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A connection that is re-established whenever it ends, until it is drained.
pub(super) struct PipelinedConnection {
    address: SocketAddr,
    calls: CallQueue,
    reply_error_logged: Cell<bool>,
}

impl PipelinedConnection {
    /// Starts a task that keeps the connection established.
    pub(super) fn start(
        address: SocketAddr, call_timeout: Duration, on_completion: Rc<CompletionCallback>,
    ) -> Rc<Self> {
        let calls = CallQueue::new(call_timeout, on_completion);
        let connection = Rc::new(Self { address, calls, reply_error_logged: Cell::new(false) });
        spawn(connection.clone().run());
        connection
    }

    /// Makes a call. Its result is reported later, or at once if the connection accepts no calls.
    pub(super) fn call(&self, command: Command) {
        self.calls.call(command);
    }

    /// Closes the connection once the results of all calls in flight are reported. No further calls may be
    /// made.
    pub(super) fn drain(&self) {
        self.calls.drain();
    }

    async fn run(self: Rc<Self>) {
        let mut backoff = MIN_BACKOFF;
        while !self.calls.is_draining() {
            if self.connect_and_run_session().await {
                // A counter that has replied is reachable, and usage cannot be counted without a connection:
                // reconnect at once, and enqueue calls for the next connection meanwhile.
                self.calls.fail_calls_in_flight(Pipeline::open());
                backoff = MIN_BACKOFF;
                continue;
            }
            self.calls.fail_calls_in_flight(Pipeline::closed());
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Runs one connection to its end. Returns whether any valid reply was received on it.
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

    /// Connects. Calls are enqueued meanwhile, for at most the call timeout; after that, enqueued and further
    /// calls are reported as not added until the connection is established.
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
