//! The admission gate: admits requests from leased units or the fallback allowance, and rejects the rest.
//!
//! The gateways share one count for each tenant and window, kept by a counter. A gateway leases units by
//! adding a block to the count, and spends them until the window ends ([`lease`]). The total that the counter
//! returns is a reading of the tenant's usage at all gateways. While the counter is unavailable, each gateway
//! admits an equal part of the quota ([`fallback`]). Tenants whose burst is less than one unit for each
//! gateway have no leases ([`low_quota`]).

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

/// After this many idle refill periods a tenant has its full quota again, so it and its count are removed.
const IDLE_PERIODS: f64 = 2.0;
/// The longest time for which counts and admit ratios of a tenant are kept.
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

/// Whether there was a reading of the tenant's quota when a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaReading {
    Known,
    /// The low-quota tenant has no cached admit ratio, so the typical ratio of its plan decided.
    Missing,
}

/// The gate's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaDecision {
    Admit(QuotaReading),
    /// The request waits for a counter reply.
    Wait,
    /// The request is over quota.
    Reject(QuotaShortfall),
}

/// The units that an over-quota request lacks, and the rate at which they refill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaShortfall {
    pub(crate) missing_units: f64,
    /// Units per second.
    pub(crate) refill_rate: f64,
}

/// Whether the gate decided with the counter or without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuotaSource {
    Counter,
    /// The counter is unavailable and the fallback allowance decided. The engine may then poll the counter to
    /// detect its recovery.
    Fallback,
}

/// The result of a counter call, with the waiting requests that can now be decided.
#[derive(Debug)]
pub(crate) enum ReplyOutcome {
    /// There is no request to decide.
    Nothing,
    /// The lease has changed.
    LeaseUpdated { tenant: Name, waiting: VecDeque<WaitingRequest>, returns_units: bool },
    /// The admit ratio of a low-quota tenant has changed.
    RatioUpdated { waiting: VecDeque<WaitingRequest> },
    /// The call returned no total.
    Failed { waiting: VecDeque<WaitingRequest> },
}
