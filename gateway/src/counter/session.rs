//! One established connection: writes calls, matches replies to them, and enforces the timeouts.

use crate::counter::call_queue::CallQueue;
use crate::counter::resp::{Reply, ReplyBuffer, ReplyError};
use crate::socket::{is_transient, read_before_timeout};
use redis_protocol::resp2::types::OwnedFrame;
use ryefront_policy::CounterResult;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// A connection with calls in flight on which nothing was received for this long is dead: a machine that
/// vanished resets no connection.
const DEAD_AFTER: Duration = Duration::from_secs(1);
/// A reply is complete within this time of its first byte. Otherwise the calls behind one that never
/// completes would time out one by one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// An idle connection is pinged this often, as the counter closes connections that are idle for longer.
const PING_INTERVAL: Duration = Duration::from_secs(3);
/// The size of one read.
const READ_BYTES: usize = 4096;

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum SessionError {
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("the counter closed the connection")]
    ClosedByPeer,
    #[error("nothing was received for {} ms", DEAD_AFTER.as_millis())]
    Dead,
    #[error(transparent)]
    Reply(#[from] ReplyError),
}

/// One established connection.
pub(super) struct Session<'a> {
    calls: &'a CallQueue,
    stream: &'a TcpStream,
    replies: ReplyBuffer,
    last_received_at: Instant,
    /// When the reply began that is not complete yet.
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

    /// Whether any valid reply was received.
    pub(super) fn has_replied(&self) -> bool {
        self.has_replied
    }

    /// Runs until the connection has drained or failed.
    pub(super) async fn run(&mut self) -> Result<(), SessionError> {
        while !self.calls.has_drained() {
            self.wait_for_work().await?;
            if Instant::now() >= self.next_deadline() {
                read_before_timeout(self.stream).await;
            }
            self.calls.write_to(self.stream)?;
            // Before the timeouts: a reply that has arrived is in time.
            self.read_replies()?;
            self.check_partial_reply()?;
            self.calls.report_timed_out();
            self.ping_if_idle();
            self.check_liveness()?;
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

    /// When the next timeout expires: that of a call, of a partial reply, or of the connection.
    fn next_deadline(&self) -> Instant {
        let receive_timeout = if self.calls.is_idle() { PING_INTERVAL } else { DEAD_AFTER };
        let receive_deadline = match self.partial_since {
            Some(since) => since + REPLY_TIMEOUT,
            None => self.last_received_at + receive_timeout,
        };
        let call_deadline = self.calls.next_timeout();
        call_deadline.map_or(receive_deadline, |deadline| deadline.min(receive_deadline))
    }

    /// Reads all that has arrived and handles the complete replies in it.
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

    fn handle_complete_replies(&mut self) -> Result<(), ReplyError> {
        while let Some(frame) = self.replies.next_frame()? {
            self.handle_reply(&frame)?;
            self.has_replied = true;
        }
        self.replies.check_length()
    }

    /// Matches a reply to the oldest call, as replies come in the order of the calls. A call with an invalid
    /// reply remains in the queue and is reported as unknown with those behind it when the session ends.
    fn handle_reply(&self, frame: &OwnedFrame) -> Result<(), ReplyError> {
        let result = match Reply::decode(frame, self.calls.oldest_command())? {
            Reply::Total(total) => CounterResult::Total(total),
            Reply::Rejected | Reply::Pong => CounterResult::NotAdded,
        };
        self.calls.complete_oldest(result);
        Ok(())
    }

    /// Fails the session when a reply has begun and was not completed in time.
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

    /// Fails the session when calls are in flight and nothing was received for too long.
    fn check_liveness(&self) -> Result<(), SessionError> {
        let waiting_since = self.calls.oldest_started_at().map(|at| at.max(self.last_received_at));
        match waiting_since {
            Some(since) if since.elapsed() >= DEAD_AFTER => Err(SessionError::Dead),
            _ => Ok(()),
        }
    }
}
