//! The event queue of a simulation. Events are ordered by time, and events of the same time by the order in
//! which they were scheduled.

use crate::clients::ClientRequest;
use crate::counter::CounterCall;
use crate::endpoints::Job;
use crate::time::Micros;
use ryefront_policy::{CounterResult, Outcome};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event in the simulated fleet.
pub(crate) enum SimEvent {
    /// A client sends the first attempt of a request.
    ClientRequest(Box<ClientRequest>),
    /// A client retries a rejected request.
    ClientRetry(Box<ClientRequest>),
    /// A timer of a gateway expires.
    GatewayTimer { gateway: u32, token: u64 },
    /// An attempt reaches its endpoint.
    AttemptArrived { endpoint: u32, job: Job },
    /// An endpoint has processed a job.
    JobFinished { endpoint: u32, job: Job },
    /// The response to an attempt reaches its gateway.
    AttemptEnded { id: u64, attempt: u32, outcome: Outcome, queue_length: f64 },
    /// The deadline of a client attempt passes.
    ClientDeadline { id: u64 },
    /// A client disconnects before its deadline.
    ClientDisconnected { id: u64 },
    /// A call reaches the counter.
    CounterCalled(CounterCall),
    /// The reply to a counter call, or its timeout, reaches the gateway.
    CounterReplied { gateway: u32, key: u64, result: CounterResult, sent_at: Micros },
    /// Discovery publishes the changes since the last endpoint list.
    ChangesPublished,
    /// An endpoint list reaches a gateway.
    ListReceived { gateway: u32, list: usize },
    /// A step in the replacement of an endpoint is due.
    Replacement(ReplacementStep),
}

/// A step in the replacement of an endpoint.
#[derive(Clone, Copy)]
pub(crate) enum ReplacementStep {
    /// The endpoint starts to drain.
    Drain { endpoint: u32 },
    /// The drain grace has passed, and the endpoint stops.
    Stop { endpoint: u32 },
    /// The successor of the endpoint starts.
    StartSuccessor { replaced: u32 },
}

/// An event and the time at which it occurs.
pub(crate) struct ScheduledEvent {
    pub(crate) at: Micros,
    /// Orders events of the same time.
    sequence: u64,
    pub(crate) event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Orders the earliest event last, because `BinaryHeap` is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// All scheduled events.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// Removes the earliest event.
    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.heap.pop()
    }
}
