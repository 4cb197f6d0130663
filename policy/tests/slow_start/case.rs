//! The cases that are played: fleet, traffic, failures, and what starts.

use crate::common::settings;
use ryefront_policy::*;

/// Requests of mean work per second that one endpoint with all its capacity can do.
pub(crate) const CAPACITY: f64 = 40.0;
/// How long an attempt takes that is served or fails.
pub(crate) const LATENCY: Millis = 50.0;
/// How long a rejected attempt takes.
pub(crate) const REJECTION_LATENCY: Millis = 2.0;
/// How long an attempt takes that times out.
pub(crate) const TIMEOUT: Millis = 2000.0;
pub(crate) const OVERLOAD_WINDOW: Millis = 1000.0;
pub(crate) const OVERLOAD_FACTOR: f64 = 2.0;
/// When the endpoints in slow start have started.
pub(crate) const START: Millis = 1000.0;
pub(crate) const SLOW_START_DURATION: Millis = 5000.0;
/// When the last request arrives: slow start is over by then.
pub(crate) const END: Millis = START + SLOW_START_DURATION;

/// How the requests are spread over the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Traffic {
    Even,
    /// A tenth of the gateways, at least one, get eight times the requests of the others.
    Eightfold,
    /// One gateway gets half of all requests.
    Half,
}

/// Which attempts fail, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Failures {
    None,
    /// This fraction of all attempts.
    Fraction(f64, Outcome),
    /// All attempts at endpoints that are not in slow start, from the start on.
    AllOtherEndpoints(Outcome),
}

/// One fleet with endpoints in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) gateways: u32,
    pub(crate) endpoints: usize,
    /// The fraction of the endpoints that start; at least one.
    pub(crate) starting: f64,
    /// Requests made, as a fraction of what all endpoints could do with all their capacity.
    pub(crate) load: f64,
    pub(crate) traffic: Traffic,
    pub(crate) failures: Failures,
    /// Gateways learn of the start up to this much later.
    pub(crate) max_delay: Millis,
    /// The starting endpoints ran before, and gateways that have not learned of the start use them as before.
    pub(crate) restarted: bool,
    /// Whether the counter replies.
    pub(crate) counter: bool,
}

/// One endpoint in slow start, with traffic that all endpoints together can just serve; sizes are added.
pub(crate) const CASE: Case = Case {
    gateways: 0,
    endpoints: 0,
    starting: 0.0,
    load: 1.0,
    traffic: Traffic::Even,
    failures: Failures::None,
    max_delay: 0.0,
    restarted: false,
    counter: true,
};

/// The names of the endpoints of a case.
pub(crate) struct EndpointNames {
    /// Those with all their capacity.
    pub(crate) warm: Vec<Name>,
    /// Those that start.
    pub(crate) starting: Vec<Name>,
}

impl Case {
    pub(crate) fn endpoint_names(&self) -> EndpointNames {
        let starting_count = ((self.endpoints as f64 * self.starting) as usize).max(1);
        let mut warm: Vec<Name> =
            (0..self.endpoints).map(|index| format!("a{index}").as_str().into()).collect();
        let starting = warm.split_off(self.endpoints - starting_count);
        EndpointNames { warm, starting }
    }

    pub(crate) fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.gateway_count = self.gateways;
        settings.slow_start_duration = SLOW_START_DURATION;
        settings.overload_window = OVERLOAD_WINDOW;
        settings.overload_factor = OVERLOAD_FACTOR;
        settings.plans[0].rate = 500.0;
        settings.plans[0].burst = 1000.0;
        settings
    }

    /// Returns the relative number of requests that each gateway gets.
    pub(crate) fn traffic_weights(&self) -> Vec<f64> {
        (0..self.gateways)
            .map(|gateway| match self.traffic {
                Traffic::Eightfold if gateway % 10 == 0 => 8.0,
                Traffic::Half if gateway == 0 => f64::from(self.gateways - 1),
                _ => 1.0,
            })
            .collect()
    }
}
