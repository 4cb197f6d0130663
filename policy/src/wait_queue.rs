//! Requests that wait for an endpoint with capacity: a priority queue.
//!
//! Capacity should go to the requests of the highest priority weight first; those of equal weight are served
//! in the order of their arrival in the queue.

use crate::RequestId;
use crate::request::{Request, RequestTable};
use std::collections::VecDeque;

/// The queue of one gateway. Entries of requests that are over stay until the queue is drained the next time.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    ids: VecDeque<RequestId>,
}

impl WaitQueue {
    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Inserts a request behind all requests of at least its priority weight.
    pub(crate) fn insert(
        &mut self, id: RequestId, requests: &RequestTable, weight: impl Fn(&Request) -> f64,
    ) {
        let Some(request) = requests.get(&id) else { return };
        let own_weight = weight(request);
        let is_lighter =
            |other: &RequestId| requests.get(other).is_some_and(|other| weight(other) < own_weight);
        let position = self.ids.iter().position(is_lighter).unwrap_or(self.ids.len());
        self.ids.insert(position, id);
    }

    /// Takes out all entries, in their order.
    pub(crate) fn take(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.ids)
    }

    /// Appends a request that was taken out and still waits.
    pub(crate) fn put_back(&mut self, id: RequestId) {
        self.ids.push_back(id);
    }
}
