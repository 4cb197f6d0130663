//! The admission gate: requests are admitted from leased units, then from the fallback allowance, or
//! rejected.
//!
//! A gateway holds a cache of expiring leases on a count that all gateways share through a counter, one count
//! for each tenant and window ([`lease`]). While the counter is unavailable, each gateway spends an even part
//! of the quota ([`fallback`]). Tenants whose quota leaves a gateway less than a unit have no leases
//! ([`low_quota`]).

mod ceiling;
mod counter_call;
mod counter_calls;
mod decayed_count;
mod demand;
mod fallback;
mod gate;
mod lease;
mod low_quota;
mod share;
mod tenant;
mod window;

pub(crate) use counter_calls::MAX_WAIT_FRACTION;
pub(crate) use gate::QuotaGate;
pub(crate) use tenant::{TenantArrival, WaitingRequest};

use crate::settings::PlanIndex;
use crate::{Millis, Name, RequestId};
use std::collections::VecDeque;

/// A tenant that is idle for this many refill periods has its full quota again: it and its count are dropped.
const IDLE_PERIODS: f64 = 2.0;
/// No count and no reading of a tenant is kept for longer.
const MAX_RETENTION: Millis = 60_000.0;

/// What the gate needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct QuotaRequest {
    pub(crate) id: RequestId,
    pub(crate) tenant: Name,
    pub(crate) plan: PlanIndex,
    pub(crate) units: f64,
    pub(crate) client_retry: bool,
}

/// Whether a request was admitted by what is known of its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaReading {
    Known,
    /// Its low-quota tenant has no cached admit ratio: what is typical of the plan decided.
    Missing,
}

/// What the gate decides for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaDecision {
    Admit(QuotaReading),
    /// Wait for a reply of the counter.
    Wait,
    /// Reject as over quota.
    Reject(QuotaShortfall),
}

/// What a request lacks that is over quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaShortfall {
    pub(crate) missing_units: f64,
    /// Units per second.
    pub(crate) refill_rate: f64,
}

/// Whether the gate could decide with the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaSource {
    Counter,
    /// The counter is unavailable, and the fallback allowance decided. The engine may then poll the counter,
    /// to notice its recovery.
    Fallback,
}

/// The requests that a reply of the counter, or its failure, leaves to be decided.
#[derive(Debug)]
pub(crate) enum ReplyOutcome {
    /// Nothing is to be decided.
    Nothing,
    /// The lease has changed.
    LeaseUpdated { tenant: Name, waiting: VecDeque<WaitingRequest>, returns_units: bool },
    /// The admit ratio of a low-quota tenant has changed.
    RatioUpdated { waiting: VecDeque<WaitingRequest> },
    /// There was no total.
    Failed { waiting: VecDeque<WaitingRequest> },
}
