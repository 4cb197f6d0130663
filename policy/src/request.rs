//! The state of requests that have not had their final response.

use crate::endpoint::Endpoint;
use crate::quota::QuotaRequest;
use crate::settings::{ClassIndex, PlanIndex};
use crate::{Arrival, AttemptEnd, Millis, Name, RequestId};
use std::collections::BTreeMap;

/// The cost of a request whose number of units is infinite or not a number.
const DEFAULT_UNITS: f64 = 1.0;

/// The stage of a request between its arrival and its final response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestStage {
    /// It waits for a reply from the counter.
    AwaitingQuota,
    /// It is admitted and waits for an endpoint with capacity.
    AwaitingEndpoint,
    /// It has an attempt in flight.
    InFlight,
}

/// An attempt that was forwarded to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedAttempt {
    /// When the attempt was forwarded.
    pub(crate) sent_at: Millis,
    /// The zone of the process that it was sent to.
    pub(crate) zone: Name,
    /// The cell of the process that it was sent to.
    pub(crate) cell: u64,
}

impl ForwardedAttempt {
    /// Whether an endpoint is still the process that the attempt was sent to. After a restart it has the same
    /// name, and mostly the same address.
    pub(crate) fn was_sent_to(&self, endpoint: &Endpoint) -> bool {
        endpoint.start.learned_at <= self.sent_at
    }
}

/// A request that has not had its final response.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) tenant: Name,
    pub(crate) plan: PlanIndex,
    pub(crate) class: ClassIndex,
    pub(crate) units: f64,
    /// Whether the client marked the request as a retry.
    pub(crate) client_retry: bool,
    pub(crate) arrived_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) stage: RequestStage,
    /// When the wait in the current stage times out.
    pub(crate) wait_until: Millis,
    /// The number of attempts forwarded so far.
    pub(crate) attempts: u32,
    /// The last attempt.
    pub(crate) last_attempt: Option<ForwardedAttempt>,
    /// The first attempt that was not served but may have run. It determines the dedup scope and window of a
    /// keyed request's retries.
    pub(crate) first_ambiguous_attempt: Option<ForwardedAttempt>,
}

impl Request {
    /// Creates the state of a request that arrives at time `now`.
    pub(crate) fn new(arrival: &Arrival, plan: PlanIndex, class: ClassIndex, now: Millis) -> Self {
        Self {
            tenant: arrival.tenant.clone(),
            plan,
            class,
            units: if arrival.units.is_finite() { arrival.units.max(0.0) } else { DEFAULT_UNITS },
            client_retry: arrival.client_retry,
            arrived_at: now,
            deadline: now + arrival.time_to_deadline,
            stage: RequestStage::AwaitingQuota,
            wait_until: 0.0,
            attempts: 0,
            last_attempt: None,
            first_ambiguous_attempt: None,
        }
    }

    /// Returns whether the next attempt is the first: none has been forwarded yet.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.attempts == 0
    }

    /// Records that an attempt is forwarded to an endpoint at time `now`.
    pub(crate) fn attempt_forwarded(&mut self, endpoint: &Endpoint, now: Millis) {
        self.stage = RequestStage::InFlight;
        self.last_attempt =
            Some(ForwardedAttempt { sent_at: now, zone: endpoint.zone.clone(), cell: endpoint.cell });
        self.attempts += 1;
    }

    /// Records that an attempt ended without a final response. `endpoint` is the endpoint that it was sent
    /// to, if that is still known.
    pub(crate) fn attempt_ended(&mut self, end: &AttemptEnd, endpoint: Option<&Endpoint>) {
        self.stage = RequestStage::AwaitingEndpoint;
        if !end.outcome.may_have_run() || self.first_ambiguous_attempt.is_some() {
            return;
        }
        let Some(mut attempt) = self.last_attempt.clone() else { return };
        // A process that has moved since the attempt has taken its idempotency keys with it.
        if let Some(endpoint) = endpoint.filter(|endpoint| attempt.was_sent_to(endpoint)) {
            attempt.zone = endpoint.zone.clone();
            attempt.cell = endpoint.cell;
        }
        self.first_ambiguous_attempt = Some(attempt);
    }

    /// Returns the data that the quota gate needs to decide on the request.
    pub(crate) fn quota_request(&self, id: RequestId) -> QuotaRequest {
        QuotaRequest {
            id,
            tenant: self.tenant.clone(),
            plan: self.plan,
            units: self.units,
            client_retry: self.client_retry,
        }
    }
}

/// The requests without a final response, by request ID.
pub(crate) type RequestTable = BTreeMap<RequestId, Request>;
