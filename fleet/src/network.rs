//! Network delays between zones, and the delay with which endpoint lists reach gateways.

use crate::experiment::{self, Discovery, Experiment};
use crate::random::Random;
use crate::time::{self, Micros};

/// The network between zones. Zones are numbered across all regions.
pub(crate) struct Network {
    delays: experiment::Network,
    zones_per_region: u32,
    random: Random,
}

impl Network {
    pub(crate) fn new(experiment: &Experiment, random: Random) -> Self {
        let zones_per_region = experiment.fleet.zones_per_region;
        Self { delays: experiment.network.clone(), zones_per_region, random }
    }

    pub(crate) fn same_region(&self, zone: u32, other: u32) -> bool {
        zone / self.zones_per_region == other / self.zones_per_region
    }

    /// Draws a one-way delay from one zone to another.
    pub(crate) fn network_delay(&mut self, from: u32, to: u32) -> Micros {
        let ms = if from == to {
            self.delays.within_zone_ms
        } else if self.same_region(from, to) {
            self.delays.within_region_ms
        } else {
            self.delays.cross_region_ms
        };
        (ms * 1000.0 * (1.0 + self.delays.jitter * self.random.uniform())).ceil() as Micros
    }

    /// Draws the time from the publication of an endpoint list to its receipt by a gateway.
    pub(crate) fn notification_delay(&mut self, discovery: &Discovery) -> Micros {
        let spread_ms = discovery.notification_spread_ms * self.random.uniform();
        time::from_ms(discovery.notification_delay_ms + spread_ms)
    }
}
