//! Virtual time: what happens when.

use ryefront_policy::Millis;
use std::collections::BTreeMap;

/// Steps by time; those of the same time come in the order in which they were added.
pub(crate) struct Schedule<T> {
    /// By time in microseconds, and by order.
    steps: BTreeMap<(u64, u64), T>,
    /// The number of steps added so far.
    order: u64,
}

impl<T> Schedule<T> {
    pub(crate) fn new() -> Self {
        Self { steps: BTreeMap::new(), order: 0 }
    }

    /// Adds a step, to the microsecond and never early.
    pub(crate) fn at(&mut self, when: Millis, step: T) {
        self.order += 1;
        self.steps.insert(((when * 1000.0).ceil() as u64, self.order), step);
    }

    /// Removes the next step, and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(Millis, T)> {
        self.steps.pop_first().map(|((at, _), step)| (at as f64 / 1000.0, step))
    }
}
