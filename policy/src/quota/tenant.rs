//! The state of one tenant at this gateway.

use super::demand::Demand;
use super::fallback::{FallbackAllowance, FallbackStart};
use super::lease::{Increment, IncrementReply, LeaseCache};
use super::share::{QuotaShare, refill_period};
use super::window::{Now, WindowNumber};
use super::{QuotaRequest, QuotaShortfall};
use crate::hash::hash;
use crate::settings::PlanIndex;
use crate::{Millis, QuotaPlan, RequestId};
use std::collections::VecDeque;

/// The number of high bits that are 0 in a name hash, as a gossip message has the admit ratio in their place.
const RESERVED_HASH_BITS: u32 = 8;

/// The gateways that serve a tenant and the position of this gateway among them, as given with a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantArrival {
    pub(crate) gateway_index: u32,
    pub(crate) gateway_count: u32,
    pub(crate) first_gateway: u32,
    pub(crate) gateways_per_tenant: u32,
}

/// A request that waits for a counter reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) id: RequestId,
    pub(crate) units: f64,
    pub(crate) client_retry: bool,
}

impl From<&QuotaRequest> for WaitingRequest {
    fn from(request: &QuotaRequest) -> Self {
        Self { id: request.id, units: request.units, client_retry: request.client_retry }
    }
}

/// The counter calls of one tenant that have not ended, or whose replies have not been applied.
#[derive(Debug, Default)]
struct PendingCalls {
    /// The increment in flight.
    increment: Option<Increment>,
    /// The previous window, while its total is being read.
    previous_window: Option<WindowNumber>,
    /// The reply to an increment that arrived before that total, and is applied after it.
    deferred_reply: Option<IncrementReply>,
}

/// A tenant: its lease, its demand, and its calls and requests in progress.
#[derive(Debug)]
pub(crate) struct Tenant {
    /// The plan of the tenant's first request.
    plan: PlanIndex,
    /// The number of gateways that serve the tenant.
    gateways: f64,
    /// The position of this gateway among them.
    position: u32,
    /// A hash of the tenant's name, with the high [`RESERVED_HASH_BITS`] bits 0.
    name_hash: u64,
    pub(super) lease: LeaseCache,
    pub(super) demand: Demand,
    /// The allowance that is spent while the counter is unavailable.
    fallback: Option<FallbackAllowance>,
    pending: PendingCalls,
    waiting: VecDeque<WaitingRequest>,
    /// The number of attempts in flight.
    in_flight: u32,
}

impl Tenant {
    /// Returns a tenant without a reading, whose remaining quota is assumed to be `initial_quota`.
    pub(crate) fn new(name: &str, plan: PlanIndex, initial_quota: f64, now: Millis) -> Self {
        Self {
            plan,
            gateways: 0.0,
            position: 0,
            name_hash: hash(name) >> RESERVED_HASH_BITS,
            lease: LeaseCache::new(initial_quota, now),
            demand: Demand::new(now),
            fallback: None,
            pending: PendingCalls::default(),
            waiting: VecDeque::new(),
            in_flight: 0,
        }
    }

    /// Records a request that arrived: the gateways that serve the tenant, and its demand.
    pub(crate) fn record_arrival(
        &mut self, arrival: &TenantArrival, units: f64, plan: &QuotaPlan, now: Millis,
    ) {
        let gateway_count = arrival.gateway_count;
        self.gateways = f64::from(arrival.gateways_per_tenant.clamp(1, gateway_count));
        let distance = arrival.gateway_index + gateway_count - arrival.first_gateway % gateway_count;
        self.position = distance % gateway_count;
        self.demand.record(units, refill_period(plan), now);
    }

    /// Assumes that the quota was completely spent `time` ago and has refilled since.
    pub(crate) fn assume_spent(&mut self, time: Millis, plan: &QuotaPlan) {
        if !self.share_of(plan).is_low_quota() {
            self.lease.assume_reading(plan.rate * time / 1000.0, plan);
        }
    }

    /// Returns the tenant's quota under the plan of its first request.
    pub(crate) fn share<'a>(&self, plans: &'a [QuotaPlan]) -> QuotaShare<'a> {
        self.share_of(&plans[self.plan])
    }

    /// Returns the tenant's quota under a given plan.
    pub(crate) fn share_of<'a>(&self, plan: &'a QuotaPlan) -> QuotaShare<'a> {
        QuotaShare::new(plan, self.gateways, self.name_hash)
    }

    /// Returns whether this gateway may have another attempt in flight. `max_in_flight` limits the attempts
    /// at all gateways together; gateways at the first positions take the remainder of the division.
    pub(crate) fn has_capacity(&self, max_in_flight: u32) -> bool {
        let gateways = self.gateways as u32;
        let remainder = u32::from(self.position < max_in_flight % gateways);
        self.in_flight < (max_in_flight / gateways + remainder).max(1)
    }

    pub(crate) fn plan(&self) -> PlanIndex {
        self.plan
    }

    pub(crate) fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Records that an attempt is forwarded.
    pub(crate) fn attempt_forwarded(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt is no longer in flight.
    pub(crate) fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Spends units of the fallback allowance, which is created if there is none.
    ///
    /// # Errors
    /// Returns the shortfall if the allowance is too small.
    pub(crate) fn spend_fallback(
        &mut self, units: f64, start: FallbackStart, share: QuotaShare<'_>, now: Millis,
    ) -> Result<(), QuotaShortfall> {
        let new = || FallbackAllowance::new(start, self.lease.remaining(), share, now);
        let fallback = self.fallback.get_or_insert_with(new);
        if fallback.spend(units, share, now) {
            self.lease.record_unleased_usage(units);
            Ok(())
        } else {
            Err(QuotaShortfall {
                missing_units: units - fallback.units,
                refill_rate: share.plan.rate / share.gateways,
            })
        }
    }

    /// Applies the reply to an increment, and discards the fallback allowance.
    pub(crate) fn apply_reply(
        &mut self, reply: IncrementReply, recovered_at: Millis, now: Now, share: QuotaShare<'_>,
    ) {
        let fallback = self.fallback.take();
        self.lease.apply_reply(reply, fallback, recovered_at, now, share);
    }

    /// Returns whether a call has not ended or its reply has not been applied.
    pub(crate) fn has_pending_call(&self) -> bool {
        let PendingCalls { increment, previous_window, deferred_reply } = &self.pending;
        increment.is_some() || previous_window.is_some() || deferred_reply.is_some()
    }

    pub(crate) fn set_pending_increment(&mut self, increment: Increment) {
        self.pending.increment = Some(increment);
    }

    pub(crate) fn take_pending_increment(&mut self) -> Option<Increment> {
        self.pending.increment.take()
    }

    /// Records that the total of the previous window is being read.
    pub(crate) fn set_pending_read(&mut self, previous_window: WindowNumber) {
        self.pending.previous_window = Some(previous_window);
    }

    /// Records the total of the previous window when its read ends. Returns the reply to an increment that
    /// was deferred until then.
    pub(crate) fn complete_pending_read(&mut self, total: f64) -> Option<IncrementReply> {
        let window = self.pending.previous_window.take()?;
        self.lease.set_previous_total(window, total);
        self.pending.deferred_reply.take()
    }

    /// Defers the reply to an increment while the total of the previous window is being read. Returns the
    /// reply if it can be applied now.
    pub(crate) fn defer_for_pending_read(&mut self, reply: IncrementReply) -> Option<IncrementReply> {
        if self.pending.previous_window.is_none() {
            return Some(reply);
        }
        self.pending.deferred_reply = Some(reply);
        None
    }

    /// Iterates over the requests that wait for a counter reply.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.waiting.iter()
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn take_waiting(&mut self) -> VecDeque<WaitingRequest> {
        std::mem::take(&mut self.waiting)
    }

    /// Adds a request to those that wait for a counter reply.
    pub(crate) fn add_waiting(&mut self, request: &QuotaRequest) {
        self.waiting.push_back(request.into());
    }

    /// Removes a request from those that wait for a counter reply.
    pub(crate) fn remove_waiting(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Returns whether the tenant has a pending call, an attempt in flight or a waiting request.
    pub(crate) fn is_busy(&self) -> bool {
        self.has_pending_call() || self.in_flight > 0 || !self.waiting.is_empty()
    }
}
