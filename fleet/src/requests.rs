//! Client attempts, from their arrival at a gateway to their completion and the client's retry.

use crate::attempts::{ClientAttempt, ClientAttempts};
use crate::clients::{ClientBehavior, ClientRequest, Clients, ScheduledRequest};
use crate::event_queue::{EventQueue, SimEvent};
use crate::experiment::Experiment;
use crate::random::{Random, Stream};
use crate::report::{FailureCause, Metrics, RejectedAttempt, RejectionReason, ServedAttempt};
use crate::tenants::{GeneratedTenants, Tenants};
use crate::time::{self, Micros};
use ryefront_policy::{Arrival, Millis, Name};

/// How a client attempt ended.
pub(crate) enum Completion {
    Served {
        /// The latency without that of the served attempt, plus the handshake of its connection.
        added_latency: Micros,
    },
    Rejected {
        retry_after: Millis,
        /// The reason that the type of the event implies; `record_rejected` refines it.
        reason: RejectionReason,
    },
    Failed,
    ClientDisconnected,
}

/// Clients, their tenants, and the open client attempts.
pub(crate) struct Requests<'a> {
    experiment: &'a Experiment,
    gateway_count: u32,
    clients: Clients,
    behavior: ClientBehavior,
    pub(crate) tenants: Tenants,
    pub(crate) client_attempts: ClientAttempts,
    class_names: Vec<Name>,
    plan_names: Vec<Name>,
    quota_demand: f64,
}

impl<'a> Requests<'a> {
    /// Creates the clients and tenants of a fraction of the fleet.
    pub(crate) fn new(experiment: &'a Experiment, fraction: f64, gateway_count: u32, seed: u64) -> Self {
        let load = &experiment.load;
        let mut random = Random::new(seed, Stream::Clients);
        let GeneratedTenants { tenants, request_weights, total_rate } =
            Tenants::generate(experiment, fraction, gateway_count, &mut random);
        let requests_per_s = load.requests_per_s * fraction;
        let mean_units = f64::midpoint(load.units.low.into(), load.units.high.into());
        Self {
            experiment,
            gateway_count,
            clients: Clients::new(experiment, requests_per_s, gateway_count, request_weights, random),
            behavior: ClientBehavior::new(load, Random::new(seed, Stream::ClientBehavior)),
            tenants,
            client_attempts: ClientAttempts::default(),
            class_names: experiment.classes.iter().map(|class| class.name.as_str().into()).collect(),
            plan_names: experiment.plans.iter().map(|plan| plan.name.as_str().into()).collect(),
            quota_demand: requests_per_s * mean_units / total_rate,
        }
    }

    /// The rate of units that first attempts request, relative to the total rate of all quotas.
    pub(crate) fn quota_demand(&self) -> f64 {
        self.quota_demand
    }

    pub(crate) fn schedule_next_request(&mut self, after: Micros, events: &mut EventQueue) {
        let ScheduledRequest { at, request } =
            self.clients.next_request(after, self.experiment, &self.tenants);
        events.schedule(at, SimEvent::ClientRequest(Box::new(request)));
    }

    /// Opens a client attempt and returns the arrival to pass to its gateway.
    pub(crate) fn open_attempt(
        &mut self, request: ClientRequest, now: Micros, events: &mut EventQueue, metrics: &mut Metrics,
    ) -> Arrival {
        let id = self.client_attempts.next_id();
        let arrival = self.arrival(id, &request);
        let time_to_deadline = time::from_ms(arrival.time_to_deadline);
        metrics.record_offered(&request);
        if let Some(after) = self.behavior.disconnect_after(time_to_deadline) {
            events.schedule(now + after, SimEvent::ClientDisconnected { id });
        }
        let deadline = now + time_to_deadline;
        events.schedule(deadline, SimEvent::ClientDeadline { id });
        self.client_attempts.insert(id, ClientAttempt::new(request, now, deadline));
        arrival
    }

    fn arrival(&self, id: u64, request: &ClientRequest) -> Arrival {
        let tenant = self.tenants.get(request.tenant);
        Arrival {
            id,
            tenant: tenant.name.clone(),
            plan: self.plan_names[tenant.plan].clone(),
            class: self.class_names[request.class].clone(),
            units: request.units,
            client_retry: request.retries > 0,
            time_to_deadline: self.experiment.classes[request.class].deadline_ms,
            first_gateway: tenant.first_gateway,
            gateways_per_tenant: tenant.gateway_count,
        }
    }

    /// Records the completion of a client attempt and schedules the client's retry, if there is one.
    pub(crate) fn complete(
        &mut self, id: u64, completion: Completion, now: Micros, events: &mut EventQueue,
        metrics: &mut Metrics,
    ) {
        let Some(attempt) = self.client_attempts.remove(id) else {
            return metrics.record_duplicate_completion();
        };
        if attempt.request.counted {
            self.record_completion(&attempt, &completion, now, metrics);
        }
        if let Completion::Rejected { retry_after, .. } = completion {
            self.schedule_retry(attempt.request, retry_after, now, events);
        }
    }

    fn record_completion(
        &self, attempt: &ClientAttempt, completion: &Completion, now: Micros, metrics: &mut Metrics,
    ) {
        match *completion {
            Completion::Served { added_latency } => {
                let class = &self.experiment.classes[attempt.request.class];
                let latency = now - attempt.arrived_at;
                let late = latency as f64 > class.latency_objective_ms * 1000.0;
                let quota_check = attempt.quota_check;
                metrics.record_served(&ServedAttempt { latency, added_latency, late, quota_check });
            }
            Completion::Rejected { reason, .. } => self.record_rejected(attempt, reason, now, metrics),
            Completion::Failed => {
                let timed_out = attempt.deadline <= now;
                metrics.record_failed(if timed_out { FailureCause::TimedOut } else { FailureCause::Other });
            }
            Completion::ClientDisconnected => metrics.record_client_disconnected(),
        }
    }

    fn record_rejected(
        &self, attempt: &ClientAttempt, reason_by_event: RejectionReason, now: Micros, metrics: &mut Metrics,
    ) {
        let request = &attempt.request;
        let remaining = self.tenants.remaining(request.tenant, now);
        let quota = self.tenants.quota(self.tenants.get(request.tenant));
        let reason = if attempt.forwarded > 0 {
            RejectionReason::AfterAttempt
        } else if remaining < request.units {
            RejectionReason::BeyondQuota
        } else {
            reason_by_event
        };
        let over_half_burst_left = remaining > quota.burst / 2.0;
        metrics.record_rejected(&RejectedAttempt { reason, over_half_burst_left });
    }

    fn schedule_retry(
        &mut self, request: ClientRequest, retry_after: Millis, now: Micros, events: &mut EventQueue,
    ) {
        let tenant = self.tenants.get(request.tenant);
        if let Some(retry) = self.behavior.retry(request, retry_after, tenant, self.gateway_count) {
            events.schedule(now + retry.delay, SimEvent::ClientRetry(Box::new(retry.request)));
        }
    }
}
