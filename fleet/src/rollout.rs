//! Replacement of endpoints: each drains, stops after its grace, and has a successor that starts in slow
//! start.

use crate::discovery::Discovery;
use crate::endpoints::Endpoints;
use crate::event_queue::{EventQueue, ReplacementStep, SimEvent};
use crate::experiment::{self, Interval};
use crate::gateway_process::GatewayProcess;
use crate::random::Random;
use crate::time::{self, Micros};
use ryefront_policy::EndpointState;
use std::collections::HashMap;

/// The parts of the fleet that a replacement changes.
pub(crate) struct RolloutContext<'a> {
    pub(crate) endpoints: &'a mut Endpoints,
    pub(crate) discovery: &'a mut Discovery,
    pub(crate) events: &'a mut EventQueue,
    /// Draws the speed of new endpoints.
    pub(crate) random: &'a mut Random,
}

/// The replacement of a part of all endpoints.
pub(crate) struct Rollout {
    settings: experiment::Rollout,
    endpoint_speed: Interval<f64>,
    /// For a draining endpoint, the index of the first list that says so.
    drain_published_in: HashMap<u32, usize>,
    /// Endpoints that drain, but in no list yet.
    unpublished_drains: Vec<u32>,
}

impl Rollout {
    /// Schedules the replacement of endpoints drawn at random from the first `endpoint_count`.
    pub(crate) fn schedule(
        settings: &experiment::Rollout, endpoint_speed: Interval<f64>, endpoint_count: u32,
        random: &mut Random, events: &mut EventQueue,
    ) -> Self {
        let mut order: Vec<u32> = (0..endpoint_count).collect();
        let replaced = (f64::from(endpoint_count) * settings.replaced_fraction).round() as usize;
        // A partial Fisher-Yates shuffle: the first `replaced` of the order are drawn.
        for n in 0..replaced {
            order.swap(n, n + random.uniform_below(endpoint_count as usize - n));
            let at_s = settings.start_s + settings.duration_s * n as f64 / replaced as f64;
            let drain = ReplacementStep::Drain { endpoint: order[n] };
            events.schedule(time::from_s(at_s), SimEvent::Replacement(drain));
        }
        Self {
            settings: settings.clone(),
            endpoint_speed,
            drain_published_in: HashMap::new(),
            unpublished_drains: Vec::new(),
        }
    }

    /// Records that a list was published with all drains so far.
    pub(crate) fn record_published_drains(&mut self, list: usize) {
        for endpoint in self.unpublished_drains.drain(..) {
            self.drain_published_in.insert(endpoint, list);
        }
    }

    /// Whether a gateway has known for longer than the drain grace that an endpoint drains.
    pub(crate) fn is_past_drain_grace(&self, endpoint: u32, gateway: &GatewayProcess, now: Micros) -> bool {
        let list = self.drain_published_in.get(&endpoint);
        let notified_at = list.and_then(|list| gateway.received_list_at(*list));
        notified_at.is_some_and(|at| at + self.drain_grace() < now)
    }

    /// Performs a step of a replacement and schedules the next one.
    pub(crate) fn perform(&mut self, step: ReplacementStep, now: Micros, context: RolloutContext<'_>) {
        let RolloutContext { endpoints, discovery, events, random } = context;
        match step {
            ReplacementStep::Drain { endpoint } => {
                self.unpublished_drains.push(endpoint);
                discovery.record(endpoints.set_state(endpoint, EndpointState::Draining));
                let stop = ReplacementStep::Stop { endpoint };
                events.schedule(now + self.drain_grace(), SimEvent::Replacement(stop));
            }
            ReplacementStep::Stop { endpoint } => {
                discovery.record(endpoints.set_state(endpoint, EndpointState::Removed));
                let boot_time = time::from_s(self.settings.boot_s);
                let start = ReplacementStep::StartSuccessor { replaced: endpoint };
                events.schedule(now + boot_time, SimEvent::Replacement(start));
            }
            ReplacementStep::StartSuccessor { replaced } => {
                let speed = random.uniform_in(self.endpoint_speed);
                let successor = endpoints.add_successor(replaced, speed, now);
                discovery.record(endpoints.list_entry(successor));
            }
        }
    }

    fn drain_grace(&self) -> Micros {
        time::from_s(self.settings.drain_grace_s)
    }
}
