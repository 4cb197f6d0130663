//! The scenarios of the simulation: fleet size, traffic, failures, and the endpoints that start.

use crate::common::settings;
use ryefront_policy::*;

/// Requests of mean cost per second that one endpoint can serve at full capacity.
pub(crate) const CAPACITY: f64 = 40.0;
/// The latency of an attempt that is served, or fails otherwise than below.
pub(crate) const LATENCY: Millis = 50.0;
/// The latency of a rejected attempt.
pub(crate) const REJECTION_LATENCY: Millis = 2.0;
/// The latency of an attempt that times out.
pub(crate) const TIMEOUT: Millis = 2000.0;
pub(crate) const OVERLOAD_WINDOW: Millis = 1000.0;
pub(crate) const OVERLOAD_FACTOR: f64 = 2.0;
/// When the endpoints in slow start were started.
pub(crate) const START: Millis = 1000.0;
pub(crate) const SLOW_START_DURATION: Millis = 5000.0;
/// The end of the simulation, which is also the end of slow start.
pub(crate) const END: Millis = START + SLOW_START_DURATION;

/// The distribution of requests over the gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Traffic {
    Even,
    /// A tenth of the gateways, at least one, get eight times as many requests as each of the others.
    EightfoldAtTenth,
    /// One gateway gets half of all requests.
    HalfAtOne,
}

/// Which attempts fail, and how.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Failures {
    None,
    /// This fraction of all attempts, at random.
    Fraction(f64, Outcome),
    /// All attempts at endpoints that are not in slow start, from [`START`] on.
    AllOtherEndpoints(Outcome),
}

/// A fleet in which some endpoints go through slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) gateways: u32,
    pub(crate) endpoints: usize,
    /// The fraction of the endpoints that start, at least one endpoint.
    pub(crate) starting_fraction: f64,
    /// The request rate, as a fraction of what all endpoints can serve at full capacity.
    pub(crate) load: f64,
    pub(crate) traffic: Traffic,
    pub(crate) failures: Failures,
    /// Gateways learn of the start after random delays up to this.
    pub(crate) max_discovery_delay: Millis,
    /// Whether the starting endpoints ran before. Gateways that have not learned of the restart still use
    /// them as endpoints at full capacity.
    pub(crate) restarted: bool,
    pub(crate) counter_available: bool,
}

/// One endpoint in slow start, with as many requests as all endpoints together can serve. The numbers of
/// gateways and endpoints are set by each test.
pub(crate) const BASE_SCENARIO: Scenario = Scenario {
    gateways: 0,
    endpoints: 0,
    starting_fraction: 0.0,
    load: 1.0,
    traffic: Traffic::Even,
    failures: Failures::None,
    max_discovery_delay: 0.0,
    restarted: false,
    counter_available: true,
};

/// The names of the endpoints of a scenario.
pub(crate) struct EndpointNames {
    /// The endpoints at full capacity.
    pub(crate) warm: Vec<Name>,
    /// The endpoints that start.
    pub(crate) starting: Vec<Name>,
}

impl Scenario {
    pub(crate) fn endpoint_names(&self) -> EndpointNames {
        let starting_count = ((self.endpoints as f64 * self.starting_fraction) as usize).max(1);
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

    /// Returns the relative request rate of each gateway.
    pub(crate) fn traffic_weights(&self) -> Vec<f64> {
        (0..self.gateways)
            .map(|gateway| match self.traffic {
                Traffic::EightfoldAtTenth if gateway % 10 == 0 => 8.0,
                Traffic::HalfAtOne if gateway == 0 => f64::from(self.gateways - 1),
                _ => 1.0,
            })
            .collect()
    }
}
