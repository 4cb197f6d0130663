//! Load shedding in a large fleet: rejects first attempts while too many responses are late.
//!
//! A gateway of a large fleet gets too few responses from each endpoint to adapt a limit per endpoint, but
//! enough from all endpoints together. It admits first attempts with a probability that each late response
//! lowers and each timely one raises (adaptive admission control). The probability applies to a request of
//! mean priority weight. For other requests it is raised to the power of the mean weight divided by their
//! weight, so that requests of a lower weight are shed first.

use crate::quota::QuotaReading;
use crate::random::Random;
use crate::response_latency::Timeliness;
use crate::{RequestClass, Settings};

/// The gain with which one response changes the admission probability ([`Timeliness::adjustment`]).
const PROBABILITY_GAIN: f64 = 0.2;
const MIN_PROBABILITY: f64 = 0.1;
/// The fraction by which each shed request raises the admission probability, so that admission resumes where
/// all requests are shed and no responses arrive.
const PROBABILITY_RECOVERY: f64 = 0.01;
/// Divides the priority weight of requests that are admitted without a quota reading, as some of them are
/// over quota.
const MISSING_READING_DIVISOR: f64 = 2.0;
/// Lower bound of the priority weight, which avoids a division by zero.
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
    /// False in a small fleet, where the concurrency limits bound the load.
    enabled: bool,
    /// The admission probability of a request of mean priority weight.
    probability: f64,
    /// The mean priority weight of all classes.
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
            QuotaReading::Missing => MISSING_READING_DIVISOR,
        };
        let exponent = self.mean_weight / class.priority_weight.max(MIN_PRIORITY_WEIGHT) * divisor;
        if random.uniform() < self.probability.powf(exponent) {
            return Admission::Admitted;
        }
        self.probability = (self.probability * (1.0 + PROBABILITY_RECOVERY)).min(1.0);
        Admission::Shed
    }

    /// Lowers the admission probability after a late response, and raises it after a timely one.
    pub(crate) fn record_response(&mut self, timeliness: Timeliness) {
        let probability = self.probability * timeliness.adjustment(PROBABILITY_GAIN);
        self.probability = probability.clamp(MIN_PROBABILITY, 1.0);
    }
}
