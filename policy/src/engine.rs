//! The policy engine: passes events to the mechanisms of the other modules and collects their actions.
//!
//! A first attempt passes three gates: its tenant's quota ([`quota`](crate::quota)), load shedding
//! ([`load_shedder`](crate::load_shedder)), and an endpoint with capacity
//! ([`load_balancer`](crate::load_balancer)). A retry passes the last of them only. A request that waits for
//! the counter or for an endpoint does so for a fraction of its latency objective at most.

use crate::concurrency_limit::is_large_fleet;
use crate::endpoint_table::{EndpointTable, ListKind};
use crate::hash::mix;
use crate::load_balancer::LoadBalancer;
use crate::load_shedder::{Admission, LoadShedder};
use crate::quota::{
    MAX_WAIT_FRACTION, QuotaDecision, QuotaGate, QuotaReading, QuotaSource, ReplyOutcome, TenantArrival,
};
use crate::random::Random;
use crate::request::{Request, RequestStage, RequestTable};
use crate::response_latency::ResponseLatency;
use crate::retry::{self, MAX_HOST_PAUSE};
use crate::subset::{Slot, Subset};
use crate::wait_queue::WaitQueue;
use crate::{
    Action, Arrival, AttemptEnd, EndpointEntry, Event, Millis, Name, Outcome, RequestId, Settings,
    SettingsError, retry_after,
};

/// A request waits for an endpoint at most this fraction of its latency objective.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.3;
/// The time between two maintenance ticks: short compared with any latency objective.
const MAINTENANCE_INTERVAL: Millis = 25.0;
/// The token of the timer that the engine sets for its maintenance. A request's timer has twice its number as
/// token.
pub const MAINTENANCE_TOKEN: u64 = 1;
/// Timers may expire early by rounding.
const TIMER_TOLERANCE: Millis = 1e-6;

/// The decisions of one gateway: created from settings and a seed, then fed with events.
pub struct PolicyEngine {
    settings: Settings,
    /// The seed of the per-request samples.
    seed: u64,
    random: Random,
    now: Millis,
    endpoints: EndpointTable,
    requests: RequestTable,
    wait_queue: WaitQueue,
    quota: QuotaGate,
    load_shedder: LoadShedder,
    response_latency: ResponseLatency,
    /// Whether the maintenance timer is set.
    started: bool,
}

impl PolicyEngine {
    /// Returns an engine that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
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
            started: false,
            settings,
        })
    }

    /// Returns the number of endpoints that the engine keeps state of.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Iterates over the endpoints of this gateway's subset.
    pub fn subset(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.subset().members().iter().map(|slot| &self.endpoints.get(*slot).name)
    }

    /// Handles one event at time `now` and appends the actions that the host is to perform.
    ///
    /// A time before that of an earlier event counts as that one's.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.start_once(actions);
        match event {
            Event::EndpointSnapshot(entries) => self.on_endpoint_list(entries, ListKind::Snapshot, actions),
            Event::EndpointDelta(entries) => self.on_endpoint_list(entries, ListKind::Delta, actions),
            Event::EndpointListFailed => actions.push(Action::WatchEndpoints),
            Event::RequestArrived(arrival) => self.on_arrival(&arrival, actions),
            Event::AttemptEnded(end) => self.on_attempt_end(&end, actions),
            Event::ClientDisconnected { id } => self.remove(id),
            Event::Timer { token: MAINTENANCE_TOKEN } => self.on_maintenance(actions),
            Event::Timer { token } => self.on_wait_over(token / 2, actions),
            Event::FleetClock { time } => self.quota.update_fleet_time(time, self.now),
            Event::CountsLost => self.quota.lose_counts(self.now),
            Event::ProcessResumed => self.quota.resume(self.now),
            Event::DrainStarted => self.quota.start_drain(),
            Event::CounterReply { key, result, latency } => {
                let outcome = self.quota.on_counter_reply(key, result, latency, self.now, actions);
                self.on_reply_outcome(outcome, actions);
            }
            Event::GossipReceived { bytes, .. } => self.quota.record_gossip(&bytes, self.now),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Sets the maintenance timer with the first event.
    fn start_once(&mut self, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        actions.push(Action::SetTimer { after: MAINTENANCE_INTERVAL, token: MAINTENANCE_TOKEN });
        if self.settings.polls_endpoints {
            actions.push(Action::WatchEndpoints);
        }
    }

    // ---- Events ----

    fn on_endpoint_list(&mut self, entries: Vec<EndpointEntry>, kind: ListKind, actions: &mut Vec<Action>) {
        self.endpoints.apply(entries, kind, self.now);
        self.drain_wait_queue(actions);
    }

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
        self.quota.record_arrival(&request.for_quota(id), &tenant_arrival, self.now);
        self.requests.insert(id, request);
        if self.admit(id, actions) == Some(QuotaDecision::Wait) {
            self.quota.request_block(&arrival.tenant, self.now, actions);
        }
    }

    fn on_attempt_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        self.record_endpoint_outcome(end, actions);
        self.continue_request(end, actions);
        self.drain_wait_queue(actions);
    }

    fn on_maintenance(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after: MAINTENANCE_INTERVAL, token: MAINTENANCE_TOKEN });
        self.endpoints.free_removed();
        self.quota.maintain(self.now, actions);
        self.drain_wait_queue(actions);
    }

    fn on_wait_over(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.now + TIMER_TOLERANCE < request.wait_until {
            return;
        }
        match request.stage {
            RequestStage::Capacity => self.give_up(id, actions),
            RequestStage::Quota => self.admit_from_fallback(id, actions),
            RequestStage::Attempt => {}
        }
    }

    // ---- Quota ----

    /// Passes a request through the quota gate. Returns its decision, or `None` if the request is over.
    fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<QuotaDecision> {
        let request = self.requests.get(&id)?.for_quota(id);
        let (decision, source) = self.quota.admit(&request, self.now, &mut self.random, actions)?;
        self.apply_quota_decision(id, decision, actions);
        if source == QuotaSource::Fallback {
            self.quota.poll_counter(&request.tenant, self.now, &mut self.random, actions);
        }
        Some(decision)
    }

    fn admit_from_fallback(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).map(|request| request.for_quota(id)) else { return };
        if let Some(decision) = self.quota.admit_from_fallback(&request, self.now, &mut self.random) {
            self.apply_quota_decision(id, decision, actions);
        }
    }

    fn admit_by_ratio(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).map(|request| request.for_quota(id)) else { return };
        if let Some(decision) = self.quota.admit_by_ratio(&request, self.now, &mut self.random) {
            self.apply_quota_decision(id, decision, actions);
        }
    }

    fn apply_quota_decision(&mut self, id: RequestId, decision: QuotaDecision, actions: &mut Vec<Action>) {
        match decision {
            QuotaDecision::Admit(reading) => self.forward_first(id, reading, actions),
            QuotaDecision::Wait => {
                let Some(request) = self.requests.get(&id) else { return };
                let latency_objective = self.settings.classes[request.class].latency_objective;
                let until = request.arrived_at + latency_objective * MAX_WAIT_FRACTION;
                self.wait(id, RequestStage::Quota, until, actions);
            }
            QuotaDecision::Reject(shortfall) => {
                let retry_after = retry_after::over_quota(shortfall, &mut self.random);
                self.reject(id, retry_after, actions);
            }
        }
    }

    fn on_reply_outcome(&mut self, outcome: ReplyOutcome, actions: &mut Vec<Action>) {
        match outcome {
            ReplyOutcome::Nothing => {}
            ReplyOutcome::LeaseUpdated { tenant, waiting, returns_units } => {
                let mut still_waiting = false;
                for request in waiting {
                    still_waiting |= self.admit(request.id, actions) == Some(QuotaDecision::Wait);
                }
                if still_waiting || returns_units {
                    self.quota.request_block(&tenant, self.now, actions);
                }
            }
            ReplyOutcome::RatioUpdated { waiting } => {
                waiting.iter().for_each(|request| self.admit_by_ratio(request.id, actions));
            }
            ReplyOutcome::Failed { waiting } => {
                waiting.iter().for_each(|request| self.admit_from_fallback(request.id, actions));
            }
        }
    }

    // ---- Forwarding ----

    /// Forwards a request that its quota admits, unless the load shedder sheds it.
    fn forward_first(&mut self, id: RequestId, reading: QuotaReading, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = RequestStage::Capacity;
        let class = &self.settings.classes[request.class];
        if self.load_shedder.admit(class, reading, &mut self.random) == Admission::Shed {
            return self.give_up(id, actions);
        }
        self.forward_or_wait(id, actions);
    }

    /// Forwards an attempt of a request, or lets the request wait for an endpoint with capacity.
    fn forward_or_wait(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.forward(id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let fresh = request.is_fresh();
        let since = if fresh { request.arrived_at } else { self.now };
        let max_wait = self.settings.classes[request.class].latency_objective * MAX_QUEUE_WAIT_FRACTION;
        let until = since + max_wait;
        // The queue does not grow beyond what can be in flight.
        let queue_full = self.wait_queue.len() as f64 >= self.endpoints.total_limit();
        if until <= self.now || fresh && queue_full {
            return self.give_up(id, actions);
        }
        let classes = &self.settings.classes;
        self.wait_queue.insert(id, &self.requests, |request| classes[request.class].priority_weight);
        self.wait(id, RequestStage::Capacity, until, actions);
    }

    /// Forwards the next attempt of a request. Returns whether it was possible.
    fn forward(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(slot) = self.choose_endpoint(id) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let endpoint = self.endpoints.attempt_forwarded(slot);
        self.quota.attempt_forwarded(&request.tenant);
        request.attempt_forwarded(self.now);
        let dedup_deadline = retry::dedup_deadline(request, &self.settings.classes[request.class]);
        let write_timeout = dedup_deadline.map(|deadline| deadline - MAX_HOST_PAUSE - self.now);
        actions.push(Action::ForwardAttempt { id, endpoint, timeout: None, write_timeout });
        true
    }

    fn choose_endpoint(&mut self, id: RequestId) -> Option<Slot> {
        let request = self.requests.get(&id)?;
        let max_in_flight = self.settings.plans[request.plan].max_in_flight;
        if !self.quota.has_capacity(&request.tenant, max_in_flight) || !self.endpoints.has_capacity() {
            return None;
        }
        let balancer = LoadBalancer {
            endpoints: &self.endpoints,
            settings: &self.settings,
            seed: self.seed,
            now: self.now,
        };
        let chosen = balancer.choose(id, request, self.random.state());
        self.random.uniform(); // The next choice uses another state.
        chosen
    }

    fn drain_wait_queue(&mut self, actions: &mut Vec<Action>) {
        for id in self.wait_queue.take() {
            let waits = self.requests.get(&id).is_some_and(|request| request.stage == RequestStage::Capacity);
            if waits && !self.forward(id, actions) {
                self.wait_queue.put_back(id);
            }
        }
    }

    // ---- The end of attempts ----

    /// Records what an attempt shows of its endpoint and of the load.
    fn record_endpoint_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let name = &end.endpoint;
        let Some(endpoint) = self.endpoints.attempt_ended(name) else { return };
        if let Some(report) = end.load_report {
            endpoint.record_load_report(report, self.now);
        }
        // The class of a request that is over is not known.
        let Some(class) = self.requests.get(&end.id).map(|request| request.class) else { return };
        let latency_objective = self.settings.classes[class].latency_objective;
        let timeliness = self.response_latency.record(class, latency_objective, end.outcome, end.latency);
        let Some(timeliness) = timeliness else { return };
        self.load_shedder.record_response(timeliness);
        let slow_start_duration = self.settings.slow_start_duration;
        let change = endpoint.record_attempt_end(end, timeliness, self.now, slow_start_duration);
        actions.extend(change.map(|change| Action::Log(change.log_line(name))));
    }

    /// Finishes the request of an attempt that ended, or retries it.
    fn continue_request(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.id;
        let served = end.outcome == Outcome::Served;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(actual_units) = end.actual_units.filter(|_| served) {
            self.quota.settle_usage(&request.tenant, request.units, actual_units);
        }
        if end.request_finished || served {
            return self.remove(id);
        }
        self.quota.attempt_ended(&request.tenant);
        request.attempt_ended(end, self.endpoints.by_name(&end.endpoint));
        if retry::may_retry(request, &self.settings, self.now) {
            self.forward_or_wait(id, actions);
        } else {
            self.give_up(id, actions);
        }
    }

    // ---- Waiting and final answers ----

    /// Lets a request wait in a stage, until it can no longer be forwarded at the latest.
    fn wait(&mut self, id: RequestId, stage: RequestStage, until: Millis, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let until = until.min(retry::forward_deadline(request, &self.settings));
        request.stage = stage;
        request.wait_until = until;
        actions.push(Action::SetTimer { after: (until - self.now).max(0.0), token: id * 2 });
    }

    /// Gives the final answer to a request that gets no further attempt: rejected if a retry is harmless, or
    /// failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let harmless = retry::may_reject(request, &self.settings.classes[request.class]);
        if harmless && self.now < request.deadline {
            let retry_after = retry_after::load_shed(self.settings.max_retry_after, &mut self.random);
            self.reject(id, retry_after, actions);
        } else {
            self.remove(id);
            actions.push(Action::Fail { id });
        }
    }

    fn reject(&mut self, id: RequestId, retry_after: Millis, actions: &mut Vec<Action>) {
        self.remove(id);
        let retry_after = retry_after.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Reject { id, retry_after });
    }

    /// Removes a request that is over. Units of a request that was never forwarded go back to its tenant.
    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        match request.stage {
            RequestStage::Quota => self.quota.stop_waiting(&request.tenant, id),
            RequestStage::Attempt => self.quota.attempt_ended(&request.tenant),
            RequestStage::Capacity if request.is_fresh() => {
                self.quota.refund(&request.tenant, request.units);
            }
            RequestStage::Capacity => {}
        }
    }
}
