//! The calls of one connection, shared by the callers and the task that drives the connection.

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

/// How one increment ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompletedCall {
    /// The key of the counter.
    pub key: u64,
    /// Whether the amount was added, and the total.
    pub result: CounterResult,
    /// The time from the call to its completion.
    pub latency: Millis,
}

/// Called exactly once for each increment.
pub type CompletionCallback = dyn Fn(CompletedCall);

/// Accepts calls and reports how each completed.
///
/// The callback may make new calls, so no borrow of the pipeline is held while it runs.
pub(super) struct CallQueue {
    call_timeout: Duration,
    on_completion: Rc<CompletionCallback>,
    pipeline: RefCell<Pipeline>,
    /// Wakes the session when there is a new call, or when draining begins.
    wake: Notify,
    draining: Cell<bool>,
}

impl CallQueue {
    /// An empty queue that accepts calls.
    pub(super) fn open(call_timeout: Duration, on_completion: Rc<CompletionCallback>) -> Self {
        Self {
            call_timeout,
            on_completion,
            pipeline: RefCell::new(Pipeline::open()),
            wake: Notify::new(),
            draining: Cell::new(false),
        }
    }

    /// A call without a reply for this long is reported as unknown.
    pub(super) fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// Enqueues a call, or reports at once that it was not added.
    pub(super) fn call(&self, command: Command) {
        if !self.enqueue(command)
            && let Command::Increment { key, .. } = command
        {
            (self.on_completion)(CompletedCall { key, result: CounterResult::NotAdded, latency: 0.0 });
        }
    }

    /// Enqueues a command; false when no more are accepted.
    fn enqueue(&self, command: Command) -> bool {
        let accepted = self.pipeline.borrow_mut().push(command);
        if accepted {
            self.wake.notify_one();
        }
        accepted
    }

    /// Enqueues a ping. A queue that accepts no more calls needs none.
    pub(super) fn ping(&self) {
        self.enqueue(Command::Ping);
    }

    /// Accepts calls from now on.
    pub(super) fn accept_calls(&self) {
        self.pipeline.borrow_mut().accept_calls();
    }

    /// Ends the connection once the completion of all calls in flight is reported.
    pub(super) fn drain(&self) {
        self.draining.set(true);
        self.wake.notify_one();
    }

    /// Whether the connection is to end.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether the connection is to end now.
    pub(super) fn has_drained(&self) -> bool {
        self.is_draining() && !self.pipeline.borrow().has_unreported()
    }

    /// Resolves when there is a new call, or when draining begins.
    pub(super) async fn woken(&self) {
        self.wake.notified().await;
    }

    /// Whether no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.pipeline.borrow().is_idle()
    }

    /// Whether bytes wait to be written.
    pub(super) fn has_output(&self) -> bool {
        self.pipeline.borrow().has_output()
    }

    /// Writes as much as the socket accepts now.
    pub(super) fn write_to(&self, stream: &TcpStream) -> io::Result<()> {
        self.pipeline.borrow_mut().write_to(stream)
    }

    /// The command that the next reply belongs to.
    pub(super) fn oldest_command(&self) -> Option<Command> {
        self.pipeline.borrow().oldest().map(|call| call.command)
    }

    /// When the call was made that the next reply belongs to.
    pub(super) fn oldest_started_at(&self) -> Option<Instant> {
        self.pipeline.borrow().oldest().map(|call| call.started_at)
    }

    /// When the next call times out.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let pipeline = self.pipeline.borrow();
        pipeline.oldest_unreported().map(|call| call.started_at + self.call_timeout)
    }

    /// Removes the oldest call and reports its completion, unless that has been done.
    pub(super) fn complete_oldest(&self, result: CounterResult) {
        let call = self.pipeline.borrow_mut().pop();
        if let Some(call) = call {
            self.report(&call, result);
        }
    }

    /// Reports calls past their timeout as unknown, also those not completely written: they may be written
    /// later. They remain in the queue, as their replies may still arrive.
    pub(super) fn report_timed_out(&self) {
        loop {
            let timed_out = self.pipeline.borrow_mut().time_out_next(self.call_timeout);
            let Some(call) = timed_out else { return };
            self.report(&call, CounterResult::Unknown);
        }
    }

    /// Replaces the pipeline and reports all calls that got no reply. A call of which some byte was not
    /// written was not added.
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
