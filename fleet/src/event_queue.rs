//! The events of a simulation in the order of their time; events of the same time in the order of their
//! scheduling.

use crate::clients::ClientRequest;
use crate::counter::CounterCall;
use crate::endpoints::Job;
use crate::time::Micros;
use ryefront_policy::{CounterResult, Outcome};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Something that happens in the simulated fleet.
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
    /// The deadline of a client passes.
    ClientDeadline { id: u64 },
    /// A client disconnects before its deadline.
    ClientDisconnected { id: u64 },
    /// A call reaches the counter.
    CounterCalled(CounterCall),
    /// The end of a counter call reaches its gateway.
    CounterReplied { gateway: u32, key: u64, result: CounterResult, sent_at: Micros },
    /// Discovery publishes the changes it has collected.
    ChangesPublished,
    /// An endpoint list reaches a gateway.
    ListReceived { gateway: u32, list: usize },
    /// An endpoint is replaced, step by step.
    Replacement(ReplacementStep),
}

/// A step in the replacement of an endpoint.
#[derive(Clone, Copy)]
pub(crate) enum ReplacementStep {
    /// It starts to drain.
    Drain { endpoint: u32 },
    /// Its drain grace is over, and it stops.
    Stop { endpoint: u32 },
    /// Its successor starts.
    StartSuccessor { replaced: u32 },
}

/// An event with its time.
pub(crate) struct Scheduled {
    pub(crate) at: Micros,
    sequence: u64,
    pub(crate) event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// The earliest is the greatest, as the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The events to come.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.last_sequence, event });
    }

    /// Removes the next event.
    pub(crate) fn pop(&mut self) -> Option<Scheduled> {
        self.heap.pop()
    }
}
