//! The policy engine: dispatches events to the modules of this crate and collects the actions they return.
//!
//! A first attempt is forwarded only if it passes three checks: the tenant's quota
//! ([`quota`](crate::quota)), load shedding ([`load_shedder`](crate::load_shedder)), and the selection of an
//! endpoint with spare capacity ([`load_balancer`](crate::load_balancer)). A retry is subject to the last
//! check only. A request waits for the counter or for an endpoint for at most a fraction of its latency
//! objective.

mod admission;
mod forwarding;

use crate::concurrency_limit::is_large_fleet;
use crate::endpoint_table::{EndpointTable, ListKind};
use crate::hash::mix;
use crate::load_shedder::LoadShedder;
use crate::quota::{QuotaDecision, QuotaGate, TenantArrival};
use crate::random::Random;
use crate::request::{Request, RequestStage, RequestTable};
use crate::response_latency::ResponseLatency;
use crate::subset::Subset;
use crate::wait_queue::WaitQueue;
use crate::{
    Action, Arrival, AttemptEnd, EndpointEntry, Event, Millis, Name, RequestId, Settings, SettingsError,
    retry, retry_after,
};

/// The interval of the maintenance timer. It is short compared with any latency objective.
const MAINTENANCE_INTERVAL: Millis = 25.0;
/// The token of the maintenance timer. The token of a request's timer is twice the request ID, so the two
/// never collide.
pub const MAINTENANCE_TOKEN: u64 = 1;
/// A timer may expire this much early because of rounding.
const TIMER_TOLERANCE: Millis = 1e-6;

/// The decision logic of one gateway, driven by events.
pub struct PolicyEngine {
    settings: Settings,
    /// The seed from which each request's endpoint sample is derived.
    seed: u64,
    random: Random,
    now: Millis,
    endpoints: EndpointTable,
    requests: RequestTable,
    wait_queue: WaitQueue,
    quota: QuotaGate,
    load_shedder: LoadShedder,
    response_latency: ResponseLatency,
    /// Whether the maintenance timer has been set for the first time.
    maintenance_started: bool,
}

impl PolicyEngine {
    /// Creates an engine without endpoints, requests or tenants.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let Settings { gateway_index: index, gateway_count: count, .. } = settings;
        let large_fleet = is_large_fleet(count);
        let subset =
            if large_fleet { Subset::new(index, count) } else { Subset::of_all_endpoints(index, count) };
        Ok(Self {
            seed: mix(seed),
            random: Random::new(seed),
            now: 0.0,
            endpoints: EndpointTable::new(count, subset),
            requests: RequestTable::new(),
            wait_queue: WaitQueue::default(),
            quota: QuotaGate::new(&settings),
            load_shedder: LoadShedder::new(&settings, large_fleet),
            response_latency: ResponseLatency::new(settings.classes.len()),
            maintenance_started: false,
            settings,
        })
    }

    /// Returns the number of endpoints for which the engine keeps state.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Iterates over the names of the endpoints in this gateway's subset.
    pub fn subset(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.subset().members().iter().map(|slot| &self.endpoints.get(*slot).name)
    }

    /// Handles one event at time `now` and appends the resulting actions, which the host must perform.
    ///
    /// The engine's time never goes backwards: if `now` is earlier than the time of a previous event, the
    /// previous time is used.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.start_maintenance(actions);
        match event {
            Event::EndpointSnapshot(entries) => self.on_endpoint_list(entries, ListKind::Snapshot, actions),
            Event::EndpointDelta(entries) => self.on_endpoint_list(entries, ListKind::Delta, actions),
            Event::EndpointListFailed => actions.push(Action::WatchEndpoints),
            Event::RequestArrived(arrival) => self.on_arrival(&arrival, actions),
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientDisconnected { id } => self.remove_request(id),
            Event::Timer { token: MAINTENANCE_TOKEN } => self.on_maintenance(actions),
            Event::Timer { token } => self.on_request_timer(token / 2, actions),
            Event::FleetClock { time } => self.quota.update_fleet_time(time, self.now),
            Event::CountsLost => self.quota.on_counts_lost(self.now),
            Event::ProcessResumed => self.quota.resume(self.now),
            Event::DrainStarted => self.quota.start_drain(),
            Event::CounterReply { key, result, latency } => {
                let outcome = self.quota.on_counter_reply(key, result, latency, self.now, actions);
                self.admit_waiting_requests(outcome, actions);
            }
            Event::GossipReceived { bytes, .. } => self.quota.record_gossip(&bytes, self.now),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Sets the maintenance timer and requests the endpoint list on the first event.
    fn start_maintenance(&mut self, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.maintenance_started, true) {
            return;
        }
        actions.push(Action::SetTimer { after: MAINTENANCE_INTERVAL, token: MAINTENANCE_TOKEN });
        if self.settings.polls_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    // ---- Event handlers ----

    fn on_endpoint_list(&mut self, entries: Vec<EndpointEntry>, kind: ListKind, actions: &mut Vec<Action>) {
        self.endpoints.apply(entries, kind, self.now);
        self.forward_queued_requests(actions);
    }

    /// Registers a request and applies the quota. Requests of an unknown class or plan are rejected.
    fn on_arrival(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        let id = arrival.id;
        let class = self.settings.classes.iter().position(|class| class.name == arrival.class);
        let plan = self.settings.plans.iter().position(|plan| plan.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return actions.push(Action::Reject { id, retry_after: 0.0 });
        };
        let request = Request::new(arrival, plan, class, self.now);
        let tenant_arrival = TenantArrival {
            gateway_index: self.settings.gateway_index,
            gateway_count: self.settings.gateway_count,
            first_gateway: arrival.first_gateway,
            gateways_per_tenant: arrival.gateways_per_tenant,
        };
        self.quota.record_arrival(&request.quota_request(id), &tenant_arrival, self.now);
        self.requests.insert(id, request);
        if self.admit(id, actions) == Some(QuotaDecision::Wait) {
            self.quota.request_block(&arrival.tenant, self.now, actions);
        }
    }

    fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        self.record_attempt_outcome(end, actions);
        self.finish_or_retry(end, actions);
        self.forward_queued_requests(actions);
    }

    fn on_maintenance(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after: MAINTENANCE_INTERVAL, token: MAINTENANCE_TOKEN });
        self.endpoints.free_removed();
        self.quota.maintain(self.now, actions);
        self.forward_queued_requests(actions);
    }

    /// Ends the wait of a request. A timer that was set for an earlier, shorter wait has no effect.
    fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.now + TIMER_TOLERANCE < request.wait_until {
            return;
        }
        match request.stage {
            RequestStage::AwaitingEndpoint => self.reject_or_fail(id, actions),
            RequestStage::AwaitingQuota => self.admit_from_fallback(id, actions),
            RequestStage::InFlight => {}
        }
    }

    // ---- Waiting and final responses ----

    /// Moves a request to a stage in which it waits until `wait_until`, but not beyond the latest time at
    /// which it may be forwarded.
    fn start_waiting(
        &mut self, id: RequestId, stage: RequestStage, wait_until: Millis, actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let wait_until = wait_until.min(retry::forward_deadline(request, &self.settings));
        request.stage = stage;
        request.wait_until = wait_until;
        actions.push(Action::SetTimer { after: (wait_until - self.now).max(0.0), token: id * 2 });
    }

    /// Sends the final response to a request that is not attempted again. The request is rejected if its
    /// deadline has not passed and the client can safely retry it; otherwise it fails.
    fn reject_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let safe_to_retry = retry::is_client_retry_safe(request, &self.settings.classes[request.class]);
        if safe_to_retry && self.now < request.deadline {
            let retry_after = retry_after::load_shed(self.settings.max_retry_after, &mut self.random);
            self.reject(id, retry_after, actions);
        } else {
            self.remove_request(id);
            actions.push(Action::Fail { id });
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Millis, actions: &mut Vec<Action>) {
        self.remove_request(id);
        let retry_after = retry_after.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Reject { id, retry_after });
    }

    /// Removes a finished request. If it was admitted but never forwarded, its units are refunded to the
    /// tenant.
    fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        match request.stage {
            RequestStage::AwaitingQuota => self.quota.stop_waiting(&request.tenant, id),
            RequestStage::InFlight => self.quota.attempt_ended(&request.tenant),
            RequestStage::AwaitingEndpoint if request.is_first_attempt() => {
                self.quota.refund(&request.tenant, request.units);
            }
            RequestStage::AwaitingEndpoint => {}
        }
    }
}
