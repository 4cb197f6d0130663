//! The queue between the callers and the task that runs the connection.

use crate::clock::millis;
use crate::counter::pipeline::{PendingCall, Pipeline};
use crate::counter::resp::Command;
use ryefront_policy::{CounterResult, Millis};
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The result of one increment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// The counter key.
    pub key: u64,
    /// Whether the amount was added, and the total if so.
    pub result: CounterResult,
    /// The time from the call to its completion or timeout.
    pub latency: Millis,
}

/// Called exactly once for each increment.
pub type CompletionCallback = dyn Fn(CompletedCall);

/// Accepts calls and reports the result of each.
///
/// The callback may make new calls, so the pipeline must not be borrowed while it runs.
pub(super) struct CallQueue {
    call_timeout: Duration,
    on_completion: Rc<CompletionCallback>,
    pipeline: RefCell<Pipeline>,
    /// Wakes the session when there is a new call, or when the drain starts.
    wake: Notify,
    draining: Cell<bool>,
}

impl CallQueue {
    /// Creates an empty queue that accepts calls.
    pub(super) fn new(call_timeout: Duration, on_completion: Rc<CompletionCallback>) -> Self {
        Self {
            call_timeout,
            on_completion,
            pipeline: RefCell::new(Pipeline::open()),
            wake: Notify::new(),
            draining: Cell::new(false),
        }
    }

    /// Returns how long a call may go without a reply before it is reported as unknown.
    pub(super) fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// Enqueues a command. An increment that cannot be enqueued is reported at once as not added.
    pub(super) fn call(&self, command: Command) {
        if !self.enqueue(command)
            && let Command::Increment { key, .. } = command
        {
            (self.on_completion)(CompletedCall { key, result: CounterResult::NotAdded, latency: 0.0 });
        }
    }

    /// Enqueues a command. Returns false if the pipeline is closed or full.
    fn enqueue(&self, command: Command) -> bool {
        let accepted = self.pipeline.borrow_mut().push(command);
        if accepted {
            self.wake.notify_one();
        }
        accepted
    }

    /// Enqueues a ping. If the pipeline is closed or full, none is needed.
    pub(super) fn ping(&self) {
        self.enqueue(Command::Ping);
    }

    /// Accepts calls from now on.
    pub(super) fn accept_calls(&self) {
        self.pipeline.borrow_mut().accept_calls();
    }

    /// Starts the drain: the connection closes once the results of all calls in flight are reported.
    pub(super) fn drain(&self) {
        self.draining.set(true);
        self.wake.notify_one();
    }

    /// Returns whether the drain has started.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns whether the drain is complete, so that the connection can be closed.
    pub(super) fn has_drained(&self) -> bool {
        self.is_draining() && !self.pipeline.borrow().has_unreported()
    }

    /// Resolves when there is a new call, or when the drain starts.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Returns whether no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.borrow().is_idle()
    }

    /// Returns whether there are bytes to write.
    pub(super) fn has_output(&self) -> bool {
        self.pipeline.borrow().has_output()
    }

    /// Writes as much as the socket accepts now.
    pub(super) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        self.pipeline.borrow_mut().write_to(stream)
    }

    /// Returns the command that the next reply belongs to.
    pub(super) fn oldest_command(&self) -> Option<Command> {
        self.pipeline.borrow().oldest().map(|call| call.command)
    }

    /// Returns when the call was made that the next reply belongs to.
    pub(super) fn oldest_started_at(&self) -> Option<Instant> {
        self.pipeline.borrow().oldest().map(|call| call.started_at)
    }

    /// Returns when the next call times out.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let pipeline = self.pipeline.borrow();
        pipeline.oldest_unreported().map(|call| call.started_at + self.call_timeout)
    }

    /// Removes the oldest call and reports its result, unless it has been reported as timed out.
    pub(super) fn complete_oldest(&self, result: CounterResult) {
        let call = self.pipeline.borrow_mut().pop();
        if let Some(call) = call {
            self.report(&call, result);
        }
    }

    /// Reports calls past their timeout as unknown, even if they are not fully written, as they may be
    /// written later. They remain in the pipeline, as their replies may still arrive.
    pub(super) fn report_timed_out(&self) {
        loop {
            let timed_out = self.pipeline.borrow_mut().time_out_next(self.call_timeout);
            let Some(call) = timed_out else { return };
            self.report(&call, CounterResult::Unknown);
        }
    }

    /// Replaces the pipeline and reports all calls that got no reply. A call that was not fully written
    /// cannot have been added; the result of a written one is unknown.
    pub(super) fn fail_calls_in_flight(&self, replacement: Pipeline) {
        let failed = self.pipeline.replace(replacement);
        for call in failed.calls() {
            let written = failed.is_written(call);
            self.report(call, if written { CounterResult::Unknown } else { CounterResult::NotAdded });
        }
    }

    fn report(&self, call: &PendingCall, result: CounterResult) {
        if let Command::Increment { key, .. } = call.command
            && call.awaits_report
        {
            let latency = millis(call.started_at.elapsed());
            (self.on_completion)(CompletedCall { key, result, latency });
        }
    }
}
