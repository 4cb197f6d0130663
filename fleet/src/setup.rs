//! Creates the endpoints and gateways of a fleet at the start of a simulation.

use crate::endpoint_list::Registry;
use crate::endpoints::Endpoints;
use crate::experiment::Experiment;
use crate::gateway_process::{self, GatewayProcess};
use crate::random::Random;
use crate::time::Micros;
use ryefront_policy::SettingsError;
use std::time::Duration;

/// Gateways start at random times within this interval, so that their maintenance ticks do not coincide.
const GATEWAY_START_SPREAD: Micros = 25_000;

/// Draws the time at which a gateway starts, which is when it receives its first endpoint list.
pub(crate) fn gateway_start_time(random: &mut Random) -> Micros {
    random.uniform_below(GATEWAY_START_SPREAD as usize) as Micros
}

/// Creates the endpoints of a fraction of the fleet, distributed evenly over zones.
pub(crate) fn endpoints(
    experiment: &Experiment, fraction: f64, gateway_count: u32, random: &mut Random,
) -> Endpoints {
    let settings = &experiment.endpoints;
    let zones = experiment.fleet.regions * experiment.fleet.zones_per_region;
    let mut endpoints = Endpoints::new(settings, &experiment.classes, gateway_count);
    let count = ((f64::from(experiment.fleet.endpoints) * fraction).round() as u32).max(1);
    for number in 0..count {
        // All endpoints of a cell are in the same zone.
        let zone = number % zones;
        let cell = number / zones / settings.cell_size * zones + zone;
        endpoints.add(zone, cell.into(), random.uniform_in(settings.speed), None);
    }
    endpoints
}

/// Creates the gateways, distributed evenly over regions and zones.
///
/// # Errors
/// When the policy engine rejects their settings.
pub(crate) fn gateways(
    experiment: &Experiment, count: u32, random: &mut Random,
) -> Result<Vec<GatewayProcess>, SettingsError> {
    let fleet = &experiment.fleet;
    let with_registry = experiment.scale.gateways_with_registry.unwrap_or(count);
    let idle_timeout = Duration::from_secs_f64(experiment.endpoints.idle_timeout_s);
    let create = |index: u32| {
        let region = (u64::from(index) * u64::from(fleet.regions) / u64::from(count)) as u32;
        let zone = region * fleet.zones_per_region + index % fleet.zones_per_region;
        let settings = gateway_process::settings(experiment, count, index, zone);
        let registry = (index < with_registry).then(|| Registry::new(idle_timeout));
        GatewayProcess::new(settings, zone, random.next_u64(), registry)
    };
    (0..count).map(create).collect()
}
