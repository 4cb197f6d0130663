//! Replacement of endpoints: each drains, stops after its grace, and has a successor that starts in slow start.

use crate::discovery::Discovery;
use crate::endpoints::Endpoints;
use crate::event_queue::{EventQueue, SimEvent};
use crate::experiment;
use crate::random::Random;
use crate::time::{self, Micros};
use ryefront_policy::EndpointState;
use std::collections::HashMap;

/// The replacement of a part of all endpoints.
pub(crate) struct Rollout {
    settings: experiment::Rollout,
    /// For a draining endpoint, the index of the first list that says so.
    drain_published_in: HashMap<u32, usize>,
    /// Endpoints that drain, but in no list yet.
    unpublished_drains: Vec<u32>,
}

impl Rollout {
    /// Schedules the replacement of endpoints drawn at random from so many.
    pub(crate) fn schedule(
        settings: &experiment::Rollout, endpoint_count: u32, random: &mut Random, events: &mut EventQueue,
    ) -> Self {
        let mut order: Vec<u32> = (0..endpoint_count).collect();
        let replaced = (f64::from(endpoint_count) * settings.replaced_fraction).round() as usize;
        for n in 0..replaced {
            order.swap(n, n + random.below(endpoint_count as usize - n));
            let at_s = settings.start_s + settings.duration_s * n as f64 / replaced as f64;
            events.schedule(time::from_s(at_s), SimEvent::EndpointDrains { endpoint: order[n] });
        }
        let settings = settings.clone();
        Self { settings, drain_published_in: HashMap::new(), unpublished_drains: Vec::new() }
    }

    pub(crate) fn drain_grace(&self) -> Micros {
        time::from_s(self.settings.drain_grace_s)
    }

    /// The index of the first list that says that an endpoint drains.
    pub(crate) fn drain_published_in(&self, endpoint: u32) -> Option<usize> {
        self.drain_published_in.get(&endpoint).copied()
    }

    /// Records that a list was published with all drains so far.
    pub(crate) fn drains_published(&mut self, list: usize) {
        for endpoint in self.unpublished_drains.drain(..) {
            self.drain_published_in.insert(endpoint, list);
        }
    }

    pub(crate) fn drain(
        &mut self, endpoint: u32, now: Micros, endpoints: &mut Endpoints, discovery: &mut Discovery,
        events: &mut EventQueue,
    ) {
        self.unpublished_drains.push(endpoint);
        discovery.record(endpoints.set_state(endpoint, EndpointState::Draining));
        events.schedule(now + self.drain_grace(), SimEvent::EndpointStops { endpoint });
    }

    pub(crate) fn stop(
        &mut self, endpoint: u32, now: Micros, endpoints: &mut Endpoints, discovery: &mut Discovery,
        events: &mut EventQueue,
    ) {
        discovery.record(endpoints.set_state(endpoint, EndpointState::Removed));
        let boot_time = time::from_s(self.settings.boot_s);
        events.schedule(now + boot_time, SimEvent::EndpointStarts { replaced: endpoint });
    }
}
