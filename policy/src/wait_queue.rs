//! A priority queue of requests that wait for an endpoint with capacity.
//!
//! Requests of a higher priority weight come first; requests of equal weight, in the order of insertion.

use crate::RequestId;
use crate::request::{Request, RequestTable};
use std::collections::VecDeque;

/// The wait queue of one gateway. The entry of a finished request stays until the next [`take_all`].
///
/// [`take_all`]: Self::take_all
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    ids: VecDeque<RequestId>,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Inserts a request before the first one of a lower priority weight.
    pub(crate) fn insert(
        &mut self, id: RequestId, requests: &RequestTable, weight: impl Fn(&Request) -> f64,
    ) {
        let Some(request) = requests.get(&id) else { return };
        let own_weight = weight(request);
        let has_lower_weight =
            |other: &RequestId| requests.get(other).is_some_and(|other| weight(other) < own_weight);
        let position = self.ids.iter().position(has_lower_weight).unwrap_or(self.ids.len());
        self.ids.insert(position, id);
    }

    /// Removes and returns all entries, in order.
    pub(crate) fn take_all(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.ids)
    }

    /// Appends a request that [`take_all`](Self::take_all) has removed and that still waits.
    pub(crate) fn push_back(&mut self, id: RequestId) {
        self.ids.push_back(id);
    }
}
