//! Admission of first attempts: applies the decisions of the quota gate and of the load shedder.

use super::PolicyEngine;
use crate::load_shedder::Admission;
use crate::quota::{MAX_WAIT_FRACTION, QuotaDecision, QuotaReading, QuotaSource, ReplyOutcome};
use crate::request::RequestStage;
use crate::{Action, RequestId, retry_after};

impl PolicyEngine {
    /// Applies the quota to a request. Returns the decision, or `None` if the request or its tenant is
    /// unknown.
    pub(super) fn admit(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<QuotaDecision> {
        let request = self.requests.get(&id)?.quota_request(id);
        let (decision, source) = self.quota.admit(&request, self.now, &mut self.random, actions)?;
        self.apply_quota_decision(id, decision, actions);
        if source == QuotaSource::Fallback {
            self.quota.poll_counter(&request.tenant, self.now, &mut self.random, actions);
        }
        Some(decision)
    }

    /// Applies the fallback allowance to a request whose counter call failed or timed out.
    pub(super) fn admit_from_fallback(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).map(|request| request.quota_request(id)) else { return };
        if let Some(decision) = self.quota.admit_from_fallback(&request, self.now, &mut self.random) {
            self.apply_quota_decision(id, decision, actions);
        }
    }

    /// Applies the cached admit ratio to a request of a low-quota tenant.
    fn admit_by_ratio(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).map(|request| request.quota_request(id)) else { return };
        if let Some(decision) = self.quota.admit_by_ratio(&request, self.now, &mut self.random) {
            self.apply_quota_decision(id, decision, actions);
        }
    }

    fn apply_quota_decision(&mut self, id: RequestId, decision: QuotaDecision, actions: &mut Vec<Action>) {
        match decision {
            QuotaDecision::Admit(reading) => self.forward_or_shed(id, reading, actions),
            QuotaDecision::Wait => {
                let Some(request) = self.requests.get(&id) else { return };
                let latency_objective = self.settings.classes[request.class].latency_objective;
                let wait_until = request.arrived_at + latency_objective * MAX_WAIT_FRACTION;
                self.start_waiting(id, RequestStage::AwaitingQuota, wait_until, actions);
            }
            QuotaDecision::Reject(shortfall) => {
                let retry_after = retry_after::over_quota(shortfall, &mut self.random);
                self.reject(id, retry_after, actions);
            }
        }
    }

    /// Decides again on the requests that waited for a counter reply.
    pub(super) fn admit_waiting_requests(&mut self, outcome: ReplyOutcome, actions: &mut Vec<Action>) {
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

    /// Forwards a request that is within its quota, unless the load shedder drops it.
    fn forward_or_shed(&mut self, id: RequestId, reading: QuotaReading, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = RequestStage::AwaitingEndpoint;
        let class = &self.settings.classes[request.class];
        if self.load_shedder.admit(class, reading, &mut self.random) == Admission::Shed {
            return self.reject_or_fail(id, actions);
        }
        self.forward_or_enqueue(id, actions);
    }
}
