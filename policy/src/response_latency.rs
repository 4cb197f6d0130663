//! Whether responses are late, judged by the latency objective of their class and by what is typical of it.
//!
//! Concurrency limits and load shedding adapt to the fraction of late responses. A served response is late if
//! it leaves too little of its objective; a failure, if it took much longer than responses usually do.

use crate::settings::ClassIndex;
use crate::{Millis, Outcome};

/// Responses should arrive within this fraction of the latency objective; the rest is for the network and
/// waiting.
const OBJECTIVE_FRACTION: f64 = 0.6;
/// The weight of the newest latency in the typical latency of its class.
const NEWEST_WEIGHT: f64 = 0.02;
/// A failure counts as a late response if it took this many times the typical latency.
const LATE_FAILURE_FACTOR: f64 = 4.0;

/// The fraction of responses that may be late.
const LATE_FRACTION_TARGET: f64 = 0.1;

/// Whether a response came in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Timeliness {
    InTime,
    Late,
}

impl Timeliness {
    /// Returns the factor by which one response changes a limit that is to keep the fraction of late
    /// responses at its target: it grows by a tenth of `step` for one in time, and shrinks by nine tenths for
    /// a late one.
    pub(crate) fn adjustment(self, step: f64) -> f64 {
        let late = match self {
            Self::InTime => 0.0,
            Self::Late => 1.0,
        };
        1.0 + step * (LATE_FRACTION_TARGET - late)
    }
}

/// The typical latency of each class's responses, as an exponentially weighted moving average.
#[derive(Debug)]
pub(crate) struct ResponseLatency {
    typical: Vec<Millis>,
}

impl ResponseLatency {
    pub(crate) fn new(classes: usize) -> Self {
        Self { typical: vec![0.0; classes] }
    }

    /// Records how an attempt ended. Returns whether it counts as a late response, or `None` if its outcome
    /// shows nothing about latency.
    pub(crate) fn record(
        &mut self, class: ClassIndex, latency_objective: Millis, outcome: Outcome, latency: Millis,
    ) -> Option<Timeliness> {
        let typical = &mut self.typical[class];
        match outcome {
            Outcome::Served => {
                *typical =
                    if *typical == 0.0 { latency } else { *typical + NEWEST_WEIGHT * (latency - *typical) };
                Some(late_if(latency > latency_objective * OBJECTIVE_FRACTION))
            }
            Outcome::Error | Outcome::NotSent | Outcome::Cancelled => None,
            Outcome::Rejected => Some(Timeliness::Late),
            // A short wait proves nothing: the client may have had little time left.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::ConnectionReset => {
                Some(late_if(latency > *typical * LATE_FAILURE_FACTOR))
            }
        }
    }
}

fn late_if(late: bool) -> Timeliness {
    if late { Timeliness::Late } else { Timeliness::InTime }
}
