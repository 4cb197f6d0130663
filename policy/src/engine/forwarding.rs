//! Forwarding of attempts: selects an endpoint, queues requests while none has capacity, and retries or
//! finishes a request when its attempt ends.

use super::PolicyEngine;
use crate::load_balancer::LoadBalancer;
use crate::request::RequestStage;
use crate::retry::{self, MAX_HOST_PAUSE};
use crate::subset::Slot;
use crate::{Action, AttemptEnd, Outcome, RequestId};

/// The longest time for which a request waits for an endpoint, as a fraction of its latency objective.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.3;

impl PolicyEngine {
    /// Forwards the next attempt of a request, or queues the request if no endpoint has capacity.
    pub(super) fn forward_or_enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.try_forward(id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let first_attempt = request.is_first_attempt();
        let wait_start = if first_attempt { request.arrived_at } else { self.now };
        let max_wait = self.settings.classes[request.class].latency_objective * MAX_QUEUE_WAIT_FRACTION;
        let wait_until = wait_start + max_wait;
        // The queue accepts first attempts up to the total number of attempts that may be in flight. Retries
        // are always accepted.
        let queue_full = self.wait_queue.len() as f64 >= self.endpoints.total_limit();
        if wait_until <= self.now || first_attempt && queue_full {
            return self.reject_or_fail(id, actions);
        }
        let classes = &self.settings.classes;
        self.wait_queue.insert(id, &self.requests, |request| classes[request.class].priority_weight);
        self.start_waiting(id, RequestStage::AwaitingEndpoint, wait_until, actions);
    }

    /// Forwards the next attempt of a request if an endpoint has capacity. Returns whether it was forwarded.
    fn try_forward(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(slot) = self.choose_endpoint(id) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let endpoint = self.endpoints.attempt_forwarded(slot);
        self.quota.attempt_forwarded(&request.tenant);
        request.attempt_forwarded(self.endpoints.get(slot), self.now);
        let dedup_deadline = retry::dedup_deadline(request, &self.settings.classes[request.class]);
        let write_timeout = dedup_deadline.map(|deadline| deadline - MAX_HOST_PAUSE - self.now);
        actions.push(Action::ForwardAttempt { id, endpoint, timeout: None, write_timeout });
        true
    }

    /// Chooses an endpoint for the next attempt of a request. Returns `None` if the tenant has reached its
    /// limit of attempts in flight or no endpoint has capacity.
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
        self.random.uniform(); // Advances the generator: the next choice must use a different state.
        chosen
    }

    /// Forwards queued requests in queue order, as far as endpoints have capacity.
    pub(super) fn forward_queued_requests(&mut self, actions: &mut Vec<Action>) {
        for id in self.wait_queue.take_all() {
            let is_waiting =
                self.requests.get(&id).is_some_and(|request| request.stage == RequestStage::AwaitingEndpoint);
            if is_waiting && !self.try_forward(id, actions) {
                self.wait_queue.push_back(id);
            }
        }
    }

    /// Updates the endpoint's load, concurrency limit and outlier detection and the load shedder with the
    /// outcome of an attempt. If the endpoint has started again since, the outcome says nothing about the new
    /// process.
    pub(super) fn record_attempt_outcome(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let name = &end.endpoint;
        let Some(endpoint) = self.endpoints.attempt_ended(name) else { return };
        let request = self.requests.get(&end.id);
        let attempt = request.and_then(|request| request.last_attempt.as_ref());
        if attempt.is_some_and(|attempt| !attempt.was_sent_to(endpoint)) {
            return;
        }
        if let Some(report) = end.load_report {
            endpoint.record_load_report(report, self.now);
        }
        // Once the request has been removed, its class and latency objective are unknown.
        let Some(class) = request.map(|request| request.class) else { return };
        let latency_objective = self.settings.classes[class].latency_objective;
        let timeliness = self.response_latency.record(class, latency_objective, end.outcome, end.latency);
        let Some(timeliness) = timeliness else { return };
        self.load_shedder.record_response(timeliness);
        endpoint.adapt_concurrency_limit(timeliness);
        if !self.response_latency.is_conclusive(class, end.outcome, end.latency) {
            return;
        }
        let ejection_change = endpoint.detect_outlier(end, self.now, self.settings.slow_start_duration);
        actions.extend(ejection_change.map(|change| Action::Log(change.log_line(name))));
    }

    /// Removes the request of an ended attempt if it is finished. Otherwise retries it, or sends the final
    /// response if no retry is allowed.
    pub(super) fn finish_or_retry(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.id;
        let served = end.outcome == Outcome::Served;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(actual_units) = end.actual_units.filter(|_| served) {
            self.quota.settle_usage(&request.tenant, request.units, actual_units);
        }
        if end.request_finished || served {
            return self.remove_request(id);
        }
        self.quota.attempt_ended(&request.tenant);
        request.attempt_ended(end, self.endpoints.by_name(&end.endpoint));
        if retry::may_retry(request, &self.settings, self.now) {
            self.forward_or_enqueue(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }
}
