//! Classifies responses as timely or late, by the latency objective and the mean latency of their class.
//!
//! Concurrency limits and load shedding adapt to the fraction of late responses. A served response is late if
//! it took too large a part of the latency objective; a failure, if it took much longer than the class's mean
//! latency.

use crate::settings::ClassIndex;
use crate::{Millis, Outcome};

/// The fraction of the latency objective that a timely attempt may take; the rest is left for the network and
/// for waiting.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// The weight of a new sample in the moving average of a class's latency.
const SMOOTHING_FACTOR: f64 = 0.02;
/// A failure counts as a late response if it took more than this multiple of the mean latency.
const LATE_FAILURE_FACTOR: f64 = 4.0;
/// The fraction of late responses at which a limit stays the same.
const TARGET_LATE_FRACTION: f64 = 0.1;

/// Whether a response was timely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Timeliness {
    InTime,
    Late,
}

impl Timeliness {
    /// Returns [`Late`](Self::Late) for a latency above `limit`.
    fn of(latency: Millis, limit: Millis) -> Self {
        if latency > limit { Self::Late } else { Self::InTime }
    }

    /// Returns the factor that a limit is multiplied by after one response, to keep the fraction of late
    /// responses at [`TARGET_LATE_FRACTION`]: a timely response adds a tenth of `gain`, a late one subtracts
    /// nine tenths of it.
    pub(crate) fn adjustment(self, gain: f64) -> f64 {
        let late = match self {
            Self::InTime => 0.0,
            Self::Late => 1.0,
        };
        1.0 + gain * (TARGET_LATE_FRACTION - late)
    }
}

/// The mean latency of each class's served responses, as an exponentially weighted moving average.
#[derive(Debug)]
pub(crate) struct ResponseLatency {
    /// By class; 0 before the first response.
    mean: Vec<Millis>,
}

impl ResponseLatency {
    pub(crate) fn new(class_count: usize) -> Self {
        Self { mean: vec![0.0; class_count] }
    }

    /// Records the latency of an attempt. Returns whether it counts as a timely or a late response, or `None`
    /// if its outcome says nothing about the load.
    pub(crate) fn record(
        &mut self, class: ClassIndex, latency_objective: Millis, outcome: Outcome, latency: Millis,
    ) -> Option<Timeliness> {
        let mean = &mut self.mean[class];
        match outcome {
            Outcome::Served => {
                *mean = if *mean == 0.0 { latency } else { *mean + SMOOTHING_FACTOR * (latency - *mean) };
                Some(Timeliness::of(latency, latency_objective * OBJECTIVE_FRACTION))
            }
            Outcome::Error | Outcome::NotSent | Outcome::Cancelled => None,
            Outcome::Rejected => Some(Timeliness::Late),
            // A failure after a short time is no sign of load: the client's deadline may have been close.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                Some(Timeliness::of(latency, *mean * LATE_FAILURE_FACTOR))
            }
        }
    }

    /// Returns whether the outcome of an attempt that took `latency` says anything about its endpoint.
    ///
    /// Clients choose their deadlines. An attempt that timed out sooner than responses take on average was
    /// given too little time, and would have timed out at any endpoint.
    pub(crate) fn is_conclusive(&self, class: ClassIndex, outcome: Outcome, latency: Millis) -> bool {
        outcome != Outcome::TimedOut || latency >= self.expected(class)
    }

    /// Returns the mean latency of a class; before its first response, the least mean of the other classes,
    /// or 0 if there is none.
    fn expected(&self, class: ClassIndex) -> Millis {
        if self.mean[class] > 0.0 {
            return self.mean[class];
        }
        let least = self.mean.iter().copied().filter(|mean| *mean > 0.0).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }
}
