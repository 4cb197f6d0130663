//! Overload protection of a large fleet: sheds first attempts while too many responses are late.
//!
//! A gateway of a large fleet sees too little of each endpoint to judge it alone, but enough of all of them
//! together. It admits first attempts with a probability that falls with each late response (adaptive
//! admission control). The probability applies to a request of mean priority weight; requests of a lower
//! weight are shed first, as it is raised to the power of the mean weight divided by theirs.

use crate::quota::QuotaReading;
use crate::random::Random;
use crate::response_latency::Timeliness;
use crate::{RequestClass, Settings};

/// By how much one response changes the admission probability ([`Timeliness::adjustment`]).
const PROBABILITY_STEP: f64 = 0.2;
/// The lowest admission probability.
const MIN_PROBABILITY: f64 = 0.1;
/// By how much one shed request raises the probability, so that admission resumes where all requests are
/// shed.
const PROBABILITY_RECOVERY: f64 = 0.01;
/// Divides the priority weight of requests admitted without a quota reading, as some of them exceed their
/// quota.
const UNMETERED_WEIGHT_DIVISOR: f64 = 2.0;
/// The least priority weight that is divided by.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;

/// Whether a first attempt is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    Admitted,
    Shed,
}

/// The load shedder of one gateway.
#[derive(Debug)]
pub(crate) struct LoadShedder {
    /// In a small fleet nothing is shed here.
    enabled: bool,
    probability: f64,
    mean_weight: f64,
}

impl LoadShedder {
    pub(crate) fn new(settings: &Settings, large_fleet: bool) -> Self {
        let classes = &settings.classes;
        let mean_weight =
            classes.iter().map(|class| class.priority_weight).sum::<f64>() / classes.len() as f64;
        Self { enabled: large_fleet, probability: 1.0, mean_weight }
    }

    /// Decides whether a first attempt of a class is admitted.
    pub(crate) fn admit(
        &mut self, class: &RequestClass, quota_reading: QuotaReading, random: &mut Random,
    ) -> Admission {
        if !self.enabled {
            return Admission::Admitted;
        }
        let divisor = match quota_reading {
            QuotaReading::Known => 1.0,
            QuotaReading::Missing => UNMETERED_WEIGHT_DIVISOR,
        };
        let exponent = self.mean_weight / class.priority_weight.max(MIN_PRIORITY_WEIGHT) * divisor;
        if random.uniform() < self.probability.powf(exponent) {
            return Admission::Admitted;
        }
        self.probability = (self.probability * (1.0 + PROBABILITY_RECOVERY)).min(1.0);
        Admission::Shed
    }

    /// Records a response.
    pub(crate) fn record_response(&mut self, timeliness: Timeliness) {
        let probability = self.probability * timeliness.adjustment(PROBABILITY_STEP);
        self.probability = probability.clamp(MIN_PROBABILITY, 1.0);
    }
}
