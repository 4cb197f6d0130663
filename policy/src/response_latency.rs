//! Whether responses are late, judged by the latency objective of their class and by what is typical of it.

use crate::settings::ClassIndex;
use crate::{Millis, Outcome};

/// Responses should arrive within this fraction of the latency objective; the rest is for the network and
/// waiting.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// The weight of the newest latency in the typical latency of its class.
const NEWEST_WEIGHT: f64 = 0.02;
/// A failure counts as a late response if it took this many times the typical latency.
const LATE_FAILURE_FACTOR: f64 = 4.0;

/// The typical latency of each class's responses, as an exponentially weighted moving average.
#[derive(Debug)]
pub(crate) struct ResponseLatency {
    typical: Vec<Millis>,
}

impl ResponseLatency {
    pub(crate) fn new(classes: usize) -> Self {
        Self { typical: vec![0.0; classes] }
    }

    /// Records how an attempt ended. Returns whether it counts as a late response, or `None` if it says
    /// nothing about latency.
    pub(crate) fn record(
        &mut self, class: ClassIndex, latency_objective: Millis, outcome: Outcome, latency: Millis,
    ) -> Option<bool> {
        let typical = &mut self.typical[class];
        match outcome {
            Outcome::Served => {
                *typical =
                    if *typical == 0.0 { latency } else { *typical + NEWEST_WEIGHT * (latency - *typical) };
                Some(latency > latency_objective * OBJECTIVE_FRACTION)
            }
            Outcome::Error | Outcome::NotSent | Outcome::Cancelled => None,
            Outcome::Rejected => Some(true),
            // A short wait proves nothing: the client may have had little time left.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                Some(latency > *typical * LATE_FAILURE_FACTOR)
            }
        }
    }
}
