//! The calls in flight on one connection, and their bytes that are yet to be written.

use crate::counter::resp::Command;
use crate::socket::is_transient;
use std::collections::VecDeque;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The maximum number of calls in flight on one connection.
const MAX_CALLS_IN_FLIGHT: usize = 1024;

/// A call that has not been replied to.
#[derive(Clone, Copy)]
pub(super) struct PendingCall {
    pub(super) command: Command,
    pub(super) started_at: Instant,
    /// Whether the result is yet to be reported. The result of a ping never is.
    pub(super) awaits_report: bool,
    /// The offset of the end of the call in the bytes written on this connection.
    end_offset: u64,
}

/// The calls in flight, in the order in which they are written and replied to.
#[derive(Default)]
pub(super) struct Pipeline {
    accepts_calls: bool,
    /// The bytes that are yet to be written.
    output: VecDeque<u8>,
    /// The number of bytes written on this connection.
    bytes_written: u64,
    calls: VecDeque<PendingCall>,
}

impl Pipeline {
    /// Creates an empty pipeline that accepts calls.
    pub(super) fn open() -> Self {
        Self { accepts_calls: true, ..Self::default() }
    }

    /// Creates an empty pipeline that rejects calls.
    pub(super) fn closed() -> Self {
        Self::default()
    }

    /// Accepts calls from now on.
    pub(super) fn accept_calls(&mut self) {
        self.accepts_calls = true;
    }

    /// Enqueues a call. Returns false if the pipeline is closed or full.
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

    /// Returns whether there are bytes to write.
    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns whether no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the call that the next reply belongs to.
    pub(super) fn oldest(&self) -> Option<&PendingCall> {
        self.calls.front()
    }

    /// Returns the oldest call whose result is yet to be reported.
    pub(super) fn oldest_unreported(&self) -> Option<&PendingCall> {
        self.calls.iter().find(|call| call.awaits_report)
    }

    /// Returns whether the result of any call is yet to be reported.
    pub(super) fn has_unreported(&self) -> bool {
        self.oldest_unreported().is_some()
    }

    /// Removes the call that the next reply belongs to.
    pub(super) fn pop(&mut self) -> Option<PendingCall> {
        self.calls.pop_front()
    }

    /// If the oldest unreported call has waited for `timeout`, marks it as reported and returns a copy of
    /// it in its unreported state. It remains in the pipeline, as its reply may still arrive.
    pub(super) fn time_out_next(&mut self, timeout: Duration) -> Option<PendingCall> {
        let oldest = self.calls.iter_mut().find(|call| call.awaits_report)?;
        if oldest.started_at.elapsed() < timeout {
            return None;
        }
        let timed_out = *oldest;
        oldest.awaits_report = false;
        Some(timed_out)
    }

    /// Returns whether a call is fully written.
    pub(super) fn is_written(&self, call: &PendingCall) -> bool {
        call.end_offset <= self.bytes_written
    }

    /// Iterates over the calls in flight, oldest first.
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
