//! The requests in progress.

use crate::endpoint::Endpoint;
use crate::quota::QuotaRequest;
use crate::settings::{ClassIndex, PlanIndex};
use crate::{Arrival, AttemptEnd, Millis, Name, Outcome, RequestId};
use std::collections::BTreeMap;

/// Stands for the cell of an endpoint that is no longer known: no endpoint is in it.
const UNKNOWN_CELL: u64 = u64::MAX;

/// What a request counts as whose number of units makes no sense.
const DEFAULT_UNITS: f64 = 1.0;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestStage {
    /// A reply of the counter.
    Quota,
    /// An endpoint with capacity.
    Capacity,
    /// The end of the attempt in flight.
    Attempt,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Debug)]
pub(crate) struct AmbiguousAttempt {
    /// When it was forwarded.
    pub(crate) sent_at: Millis,
    /// The zone of its endpoint.
    pub(crate) zone: Name,
    /// The cell of its endpoint.
    pub(crate) cell: u64,
}

/// A request without a final answer.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) tenant: Name,
    pub(crate) plan: PlanIndex,
    pub(crate) class: ClassIndex,
    pub(crate) units: f64,
    /// Whether the client marked it as a retry.
    pub(crate) client_retry: bool,
    pub(crate) arrived_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) stage: RequestStage,
    /// When it stops waiting in its present stage.
    pub(crate) wait_until: Millis,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// When the last attempt was forwarded.
    pub(crate) sent_at: Millis,
    pub(crate) first_ambiguous_attempt: Option<AmbiguousAttempt>,
}

impl Request {
    /// Returns a request that arrives now.
    pub(crate) fn new(arrival: &Arrival, plan: PlanIndex, class: ClassIndex, now: Millis) -> Self {
        Self {
            tenant: arrival.tenant.clone(),
            plan,
            class,
            units: if arrival.units.is_finite() { arrival.units.max(0.0) } else { DEFAULT_UNITS },
            client_retry: arrival.client_retry,
            arrived_at: now,
            deadline: now + arrival.time_to_deadline,
            stage: RequestStage::Quota,
            wait_until: 0.0,
            attempts: 0,
            sent_at: 0.0,
            first_ambiguous_attempt: None,
        }
    }

    /// Returns whether no attempt of the request has been forwarded yet.
    pub(crate) fn is_fresh(&self) -> bool {
        self.attempts == 0
    }

    /// Notes that an attempt is forwarded now.
    pub(crate) fn attempt_forwarded(&mut self, now: Millis) {
        self.stage = RequestStage::Attempt;
        self.sent_at = now;
        self.attempts += 1;
    }

    /// Notes that an attempt ended without a final answer. `endpoint` is where it was sent, if that is still
    /// known.
    pub(crate) fn attempt_ended(&mut self, end: &AttemptEnd, endpoint: Option<&Endpoint>) {
        self.stage = RequestStage::Capacity;
        if !may_have_run(end.outcome) || self.first_ambiguous_attempt.is_some() {
            return;
        }
        self.first_ambiguous_attempt = Some(AmbiguousAttempt {
            sent_at: self.sent_at,
            zone: endpoint.map_or_else(Name::default, |endpoint| endpoint.zone.clone()),
            cell: endpoint.map_or(UNKNOWN_CELL, |endpoint| endpoint.cell),
        });
    }

    /// Returns what the quota gate needs to know of the request.
    pub(crate) fn for_quota(&self, id: RequestId) -> QuotaRequest {
        QuotaRequest {
            id,
            tenant: self.tenant.clone(),
            plan: self.plan,
            units: self.units,
            client_retry: self.client_retry,
        }
    }
}

/// Returns whether an attempt that ended so may have run.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
}

/// All requests in progress, by their number.
pub(crate) type RequestTable = BTreeMap<RequestId, Request>;
