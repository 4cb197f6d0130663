//! The calls in flight on one connection, and those of their bytes that are not written yet.

use crate::counter::resp::Command;
use crate::socket::is_transient;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most calls on one connection without a reply.
const MAX_CALLS_IN_FLIGHT: usize = 1024;

/// A call without a reply.
#[derive(Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) command: Command,
    pub(super) started_at: Instant,
    /// Whether its completion is still to be reported. That of a ping never is.
    pub(super) awaits_report: bool,
    /// The offset of the byte after its last one, in all bytes written on this connection.
    end_offset: u64,
}

/// A queue of calls in the order in which they are written and replied to.
#[derive(Default)]
pub(super) struct Pipeline {
    accepts_calls: bool,
    output: VecDeque<u8>,
    bytes_written: u64,
    calls: VecDeque<PendingCall>,
}

impl Pipeline {
    /// An empty pipeline that accepts calls.
    pub(super) fn open() -> Self {
        Self { accepts_calls: true, ..Self::default() }
    }

    /// An empty pipeline that rejects calls.
    pub(super) fn closed() -> Self {
        Self::default()
    }

    /// Accepts calls from now on.
    pub(super) fn accept_calls(&mut self) {
        self.accepts_calls = true;
    }

    /// Enqueues a call; false when the pipeline is closed or full.
    #[must_use]
    pub(super) fn push(&mut self, command: Command) -> bool {
        if !self.accepts_calls || self.calls.len() >= MAX_CALLS_IN_FLIGHT {
            return false;
        }
        command.encode(&mut self.output);
        self.calls.push_back(PendingCall {
            command,
            started_at: Instant::now(),
            awaits_report: command != Command::Ping,
            end_offset: self.bytes_written + self.output.len() as u64,
        });
        true
    }

    /// Whether bytes wait to be written.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Whether no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// The call that the next reply belongs to.
    pub(super) fn oldest(&self) -> Option<&PendingCall> {
        self.calls.front()
    }

    /// The oldest call whose completion is still to be reported.
    pub(super) fn oldest_unreported(&self) -> Option<&PendingCall> {
        self.calls.iter().find(|call| call.awaits_report)
    }

    /// Whether the completion of a call is still to be reported.
    pub(super) fn has_unreported(&self) -> bool {
        self.oldest_unreported().is_some()
    }

    /// Removes the call that the next reply belongs to.
    pub(super) fn pop(&mut self) -> Option<PendingCall> {
        self.calls.pop_front()
    }

    /// Marks the oldest unreported call as reported, if it has waited for `timeout`, and returns it as it
    /// was. It keeps its position in the queue, as its reply may still arrive.
    pub(super) fn time_out_next(&mut self, timeout: Duration) -> Option<PendingCall> {
        let oldest = self.calls.iter_mut().find(|call| call.awaits_report)?;
        if oldest.started_at.elapsed() < timeout {
            return None;
        }
        let timed_out = *oldest;
        oldest.awaits_report = false;
        Some(timed_out)
    }

    /// Whether the last byte of a call has been written.
    pub(super) fn is_written(&self, call: &PendingCall) -> bool {
        call.end_offset <= self.bytes_written
    }

    /// All calls in flight, oldest first.
    pub(super) fn calls(&self) -> impl Iterator<Item = &PendingCall> {
        self.calls.iter()
    }

    /// Writes as much as the socket accepts now.
    pub(super) fn write_to(&mut self, stream: &TcpStream) -> io::Result<()> {
        while !self.output.is_empty() {
            match stream.try_write(self.output.as_slices().0) {
                Ok(written) => {
                    self.output.drain(..written);
                    self.bytes_written += written as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
