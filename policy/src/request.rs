//! The state of requests that have not had their final response.

use crate::endpoint::Endpoint;
use crate::quota::QuotaRequest;
use crate::settings::{ClassIndex, PlanIndex};
use crate::{Arrival, AttemptEnd, Millis, Name, RequestId};
use std::collections::BTreeMap;

/// Placeholder for the cell of an endpoint that is no longer known. No endpoint belongs to this cell.
const UNKNOWN_CELL: u64 = u64::MAX;

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

/// An attempt that was not served but may have run at its endpoint.
#[derive(Clone, Debug)]
pub(crate) struct AmbiguousAttempt {
    /// When the attempt was forwarded.
    pub(crate) sent_at: Millis,
    /// The zone of its endpoint, empty if the endpoint is no longer known.
    pub(crate) zone: Name,
    /// The cell of its endpoint, [`UNKNOWN_CELL`] if the endpoint is no longer known.
    pub(crate) cell: u64,
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
    /// When the last attempt was forwarded.
    pub(crate) sent_at: Millis,
    /// The first attempt that may have run. It determines the dedup scope and window of a
    /// keyed request's retries.
    pub(crate) first_ambiguous_attempt: Option<AmbiguousAttempt>,
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
            sent_at: 0.0,
            first_ambiguous_attempt: None,
        }
    }

    /// Returns whether the next attempt is the first: none has been forwarded yet.
    pub(crate) fn is_first_attempt(&self) -> bool {
        self.attempts == 0
    }

    /// Records that an attempt is forwarded at time `now`.
    pub(crate) fn attempt_forwarded(&mut self, now: Millis) {
        self.stage = RequestStage::InFlight;
        self.sent_at = now;
        self.attempts += 1;
    }

    /// Records that an attempt ended without a final response. `endpoint` is the endpoint that it was sent
    /// to, if that is still known.
    pub(crate) fn attempt_ended(&mut self, end: &AttemptEnd, endpoint: Option<&Endpoint>) {
        self.stage = RequestStage::AwaitingEndpoint;
        if !end.outcome.may_have_run() || self.first_ambiguous_attempt.is_some() {
            return;
        }
        self.first_ambiguous_attempt = Some(AmbiguousAttempt {
            sent_at: self.sent_at,
            zone: endpoint.map_or_else(Name::default, |endpoint| endpoint.zone.clone()),
            cell: endpoint.map_or(UNKNOWN_CELL, |endpoint| endpoint.cell),
        });
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
