//! The event queue of a simulation.

use ryefront_policy::Millis;
use std::collections::BTreeMap;

/// Simulation steps, ordered by time; steps of the same time keep the order in which they were added.
pub(crate) struct Schedule<T> {
    /// By time in microseconds, then by sequence number.
    steps: BTreeMap<(u64, u64), T>,
    /// The sequence number of the last step that was added.
    last_sequence: u64,
}

impl<T> Schedule<T> {
    pub(crate) fn new() -> Self {
        Self { steps: BTreeMap::new(), last_sequence: 0 }
    }

    /// Adds a step; its time is rounded up to a microsecond.
    pub(crate) fn at(&mut self, time: Millis, step: T) {
        self.last_sequence += 1;
        self.steps.insert(((time * 1000.0).ceil() as u64, self.last_sequence), step);
    }

    /// Removes the earliest step, and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(Millis, T)> {
        self.steps.pop_first().map(|((micros, _), step)| (micros as f64 / 1000.0, step))
    }
}
