//! The rolling replacement of endpoints. Each replaced endpoint drains and stops after the drain grace. Its
//! successor begins in slow start.

use crate::discovery::Discovery;
use crate::endpoints::Endpoints;
use crate::event_queue::{EventQueue, ReplacementStep, SimEvent};
use crate::experiment::{self, Interval};
use crate::gateway_process::GatewayProcess;
use crate::random::Random;
use crate::time::{self, Micros};
use ryefront_policy::EndpointState;
use std::collections::HashMap;

/// The components of the fleet that a replacement changes.
pub(crate) struct RolloutContext<'a> {
    pub(crate) endpoints: &'a mut Endpoints,
    pub(crate) discovery: &'a mut Discovery,
    pub(crate) events: &'a mut EventQueue,
    /// For the speed of new endpoints.
    pub(crate) random: &'a mut Random,
}

/// The rolling replacement of a fraction of the endpoints.
pub(crate) struct Rollout {
    settings: experiment::Rollout,
    endpoint_speed: Interval<f64>,
    /// For each endpoint that drains or has stopped, the index of the first list that contained its drain.
    first_list_with_drain: HashMap<u32, usize>,
    /// Draining endpoints whose drain is not in a published list yet.
    unpublished_drains: Vec<u32>,
}

impl Rollout {
    /// Schedules the replacement of endpoints, drawn at random from those numbered below `endpoint_count`.
    pub(crate) fn schedule(
        settings: &experiment::Rollout, endpoint_speed: Interval<f64>, endpoint_count: u32,
        random: &mut Random, events: &mut EventQueue,
    ) -> Self {
        let mut order: Vec<u32> = (0..endpoint_count).collect();
        let replaced_count = (f64::from(endpoint_count) * settings.replaced_fraction).round() as usize;
        // A partial Fisher-Yates shuffle: the first `replaced_count` elements of `order` are drawn.
        for n in 0..replaced_count {
            order.swap(n, n + random.uniform_below(endpoint_count as usize - n));
            let at_s = settings.start_s + settings.duration_s * n as f64 / replaced_count as f64;
            let drain = ReplacementStep::Drain { endpoint: order[n] };
            events.schedule(time::from_s(at_s), SimEvent::Replacement(drain));
        }
        Self {
            settings: settings.clone(),
            endpoint_speed,
            first_list_with_drain: HashMap::new(),
            unpublished_drains: Vec::new(),
        }
    }

    /// Records that a published list contains all drains so far.
    pub(crate) fn record_published_drains(&mut self, list: usize) {
        for endpoint in self.unpublished_drains.drain(..) {
            self.first_list_with_drain.insert(endpoint, list);
        }
    }

    /// Whether more than the drain grace has passed since a gateway received the drain of an endpoint.
    pub(crate) fn is_past_drain_grace(&self, endpoint: u32, gateway: &GatewayProcess, now: Micros) -> bool {
        let list = self.first_list_with_drain.get(&endpoint);
        let received_at = list.and_then(|list| gateway.received_list_at(*list));
        received_at.is_some_and(|at| at + self.drain_grace() < now)
    }

    /// Performs a step of a replacement and schedules the next step.
    pub(crate) fn perform(&mut self, step: ReplacementStep, now: Micros, context: RolloutContext<'_>) {
        let RolloutContext { endpoints, discovery, events, random } = context;
        match step {
            ReplacementStep::Drain { endpoint } => {
                self.unpublished_drains.push(endpoint);
                discovery.record_change(endpoints.set_state(endpoint, EndpointState::Draining));
                let stop = ReplacementStep::Stop { endpoint };
                events.schedule(now + self.drain_grace(), SimEvent::Replacement(stop));
            }
            ReplacementStep::Stop { endpoint } => {
                discovery.record_change(endpoints.set_state(endpoint, EndpointState::Removed));
                let boot_time = time::from_s(self.settings.boot_s);
                let start = ReplacementStep::StartSuccessor { replaced: endpoint };
                events.schedule(now + boot_time, SimEvent::Replacement(start));
            }
            ReplacementStep::StartSuccessor { replaced } => {
                let speed = random.uniform_in(self.endpoint_speed);
                let successor = endpoints.add_successor(replaced, speed, now);
                discovery.record_change(endpoints.list_entry(successor));
            }
        }
    }

    fn drain_grace(&self) -> Micros {
        time::from_s(self.settings.drain_grace_s)
    }
}
