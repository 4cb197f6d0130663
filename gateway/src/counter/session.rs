//! The session on one established connection: writes calls, matches replies to them, and enforces the
//! timeouts.

use crate::counter::call_queue::CallQueue;
use crate::counter::resp::{Reply, ReplyBuffer, ReplyError};
use crate::socket::{is_transient, wait_for_pending_read};
use redis_protocol::resp2::types::OwnedFrame;
use ryefront_policy::CounterResult;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// A connection with calls in flight fails if nothing is received for this long, as a counter whose machine
/// lost power or network does not reset its connections.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a reply may take to complete after its first byte. Without this limit, the calls behind a reply
/// that never completes would time out one by one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// The interval at which an idle connection is pinged, as the counter closes connections that are idle for
/// longer.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// The size of the read buffer.
const READ_BYTES: usize = 4096;

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionError {
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("the counter closed the connection")]
    ClosedByPeer,
    #[error("nothing was received for {} ms", RECEIVE_TIMEOUT.as_millis())]
    ReceiveTimeout,
    #[error(transparent)]
    Reply(#[from] ReplyError),
}

/// The state of one established connection.
pub(super) struct Session<'a> {
    calls: &'a CallQueue,
    stream: &'a TcpStream,
    replies: ReplyBuffer,
    last_received_at: Instant,
    /// When the beginning of the current partial reply was received, if there is one.
    partial_since: Option<Instant>,
    has_replied: bool,
}

impl<'a> Session<'a> {
    pub(super) fn new(calls: &'a CallQueue, stream: &'a TcpStream) -> Self {
        Self {
            calls,
            stream,
            replies: ReplyBuffer::default(),
            last_received_at: Instant::now(),
            partial_since: None,
            has_replied: false,
        }
    }

    /// Returns whether any valid reply was received.
    pub(super) fn has_replied(&self) -> bool {
        self.has_replied
    }

    /// Runs until the connection has drained or failed.
    pub(super) async fn run(&mut self) -> Result<(), SessionError> {
        while !self.calls.has_drained() {
            self.wait_for_work().await?;
            if Instant::now() >= self.next_deadline() {
                wait_for_pending_read(self.stream).await;
            }
            self.calls.write_to(self.stream)?;
            // Replies are read before timeouts are checked, so that a reply that has arrived counts as in
            // time.
            self.read_replies()?;
            self.check_partial_reply()?;
            self.calls.report_timed_out();
            self.ping_if_idle();
            self.check_receive_timeout()?;
        }
        Ok(())
    }

    /// Waits until there is something to write or read, or a timeout expires.
    async fn wait_for_work(&self) -> io::Result<()> {
        let has_output = self.calls.has_output();
        let deadline = self.next_deadline();
        tokio::select! {
            () = self.calls.woken() => Ok(()),
            ready = self.stream.readable() => ready,
            ready = self.stream.writable(), if has_output => ready,
            () = sleep_until(deadline) => Ok(()),
        }
    }

    /// Returns when the next timeout expires or the next ping is due.
    fn next_deadline(&self) -> Instant {
        let receive_timeout = if self.calls.is_idle() { PING_INTERVAL } else { RECEIVE_TIMEOUT };
        let receive_deadline = match self.partial_since {
            Some(since) => since + REPLY_TIMEOUT,
            None => self.last_received_at + receive_timeout,
        };
        let call_deadline = self.calls.next_timeout();
        call_deadline.map_or(receive_deadline, |deadline| deadline.min(receive_deadline))
    }

    /// Reads all bytes that have arrived and handles the complete replies in them.
    fn read_replies(&mut self) -> Result<(), SessionError> {
        let mut received = false;
        let mut bytes = [0; READ_BYTES];
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return Err(SessionError::ClosedByPeer),
                Ok(length) => self.replies.extend(&bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if is_transient(&error) => continue,
                Err(error) => return Err(error.into()),
            }
            received = true;
            self.handle_complete_replies()?;
        }
        if received {
            self.last_received_at = Instant::now();
        }
        Ok(())
    }

    /// Handles the complete replies in the buffer.
    fn handle_complete_replies(&mut self) -> Result<(), ReplyError> {
        while let Some(frame) = self.replies.next_frame()? {
            self.handle_reply(&frame)?;
            self.has_replied = true;
        }
        self.replies.check_length()
    }

    /// Matches a reply to the oldest call, as replies arrive in the order of the calls. A call with an
    /// invalid reply remains in the pipeline; it and those after it are reported as unknown when the
    /// session ends.
    fn handle_reply(&self, frame: &OwnedFrame) -> Result<(), ReplyError> {
        let result = match Reply::decode(frame, self.calls.oldest_command())? {
            Reply::Total(total) => CounterResult::Total(total),
            Reply::Rejected | Reply::Pong => CounterResult::NotAdded,
        };
        self.calls.complete_oldest(result);
        Ok(())
    }

    /// Returns an error if a partial reply was not completed in time.
    fn check_partial_reply(&mut self) -> Result<(), ReplyError> {
        if !self.replies.has_partial_reply() {
            self.partial_since = None;
            return Ok(());
        }
        let since = *self.partial_since.get_or_insert(self.last_received_at);
        if since.elapsed() >= REPLY_TIMEOUT {
            return Err(ReplyError::Incomplete { limit_ms: REPLY_TIMEOUT.as_millis() });
        }
        Ok(())
    }

    fn ping_if_idle(&mut self) {
        if self.calls.is_idle() && self.last_received_at.elapsed() >= PING_INTERVAL {
            self.last_received_at = Instant::now();
            self.calls.ping();
        }
    }

    /// Returns an error if calls are in flight and nothing was received for too long.
    fn check_receive_timeout(&self) -> Result<(), SessionError> {
        let waiting_since = self.calls.oldest_started_at().map(|at| at.max(self.last_received_at));
        match waiting_since {
            Some(since) if since.elapsed() >= RECEIVE_TIMEOUT => Err(SessionError::ReceiveTimeout),
            _ => Ok(()),
        }
    }
}
