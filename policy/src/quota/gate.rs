//! The admission gate over all tenants: decides whether requests are admitted, and calls the counter.

mod counter_reply;

use super::counter_call::{CounterCall, needs_previous_total};
use super::counter_calls::CounterCalls;
use super::fallback::FallbackStart;
use super::lease::BLOCK_FRACTION;
use super::low_quota::LowQuotaTenants;
use super::share::refill_period;
use super::tenant::{Tenant, TenantArrival};
use super::window::WindowClock;
use super::{IDLE_PERIODS, QuotaDecision, QuotaReading, QuotaRequest, QuotaShortfall, QuotaSource, ceiling};
use crate::random::Random;
use crate::{Action, FleetTime, Millis, Name, QuotaPlan, RequestId, Settings};
use std::collections::BTreeMap;

/// The least units that are reported or returned on their own.
const MIN_REPORTED_UNITS: f64 = 1.0;

/// The admission gate of one gateway.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    plans: Vec<QuotaPlan>,
    tenants: BTreeMap<Name, Tenant>,
    low_quota: LowQuotaTenants,
    calls: CounterCalls,
    clock: WindowClock,
    /// No more requests arrive: leased units are returned.
    draining: bool,
}

impl QuotaGate {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            plans: settings.plans.iter().map(ceiling::effective_plan).collect(),
            tenants: BTreeMap::new(),
            low_quota: LowQuotaTenants::new(settings.plans.len(), settings.gossip),
            calls: CounterCalls::new(settings),
            clock: WindowClock::new(),
            draining: false,
        }
    }

    /// Notes a request that arrived.
    pub(crate) fn record_arrival(&mut self, request: &QuotaRequest, arrival: &TenantArrival, now: Millis) {
        let plan = &self.plans[request.plan];
        let is_new = !self.tenants.contains_key(&request.tenant);
        let tenant = self
            .tenants
            .entry(request.tenant.clone())
            .or_insert_with(|| Tenant::new(&request.tenant, request.plan, ceiling::initial_quota(plan), now));
        tenant.record_arrival(arrival, request.units, plan, now);
        let since_counts_lost = self.clock.time_since_counts_lost(now);
        if is_new && let Some(time) = since_counts_lost.filter(|time| *time < refill_period(plan)) {
            tenant.assume_spent(time, plan);
        }
    }

    /// Notes what the host knows of the fleet's clock by now.
    pub(crate) fn update_fleet_time(&mut self, time: FleetTime, now: Millis) {
        self.clock.update(time, now);
    }

    /// Notes that earlier counts cannot be found: whatever is not known of a quota is taken as spent.
    pub(crate) fn lose_counts(&mut self, now: Millis) {
        self.clock.lose_counts(now);
        for tenant in self.tenants.values_mut() {
            tenant.assume_spent(0.0, &self.plans[tenant.plan()]);
        }
    }

    /// Notes that the process goes on after a pause. Readings of windows that ended meanwhile say nothing of
    /// what other gateways spent since, as for a gateway that joins a running fleet.
    pub(crate) fn resume(&mut self, now: Millis) {
        self.clock.rejoin(now);
        self.calls.resume(now);
        let window_now = self.clock.now(now);
        for tenant in self.tenants.values_mut() {
            let share = tenant.share(&self.plans);
            let window_before = tenant.lease.window();
            tenant.lease.advance(window_now, share);
            if tenant.lease.window() != window_before && !share.is_low_quota() {
                tenant.lease.forget_reading();
            }
        }
    }

    /// Notes a message from another gateway.
    pub(crate) fn record_gossip(&mut self, bytes: &[u8], now: Millis) {
        self.low_quota.record_gossip(bytes, now);
    }

    /// Notes that no more requests arrive.
    pub(crate) fn start_drain(&mut self) {
        self.draining = true;
    }

    // ---- Decisions ----

    /// Decides for a request, or returns `None` if its tenant is unknown.
    pub(crate) fn admit(
        &mut self, request: &QuotaRequest, now: Millis, random: &mut Random, actions: &mut Vec<Action>,
    ) -> Option<(QuotaDecision, QuotaSource)> {
        let counter_unavailable = self.is_counter_unavailable(now);
        let now = self.clock.now(now);
        let tenant = self.tenants.get_mut(&request.tenant)?;
        let share = tenant.share(&self.plans);
        tenant.lease.advance(now, share);
        let available_units = tenant.lease.available();
        let decision = if share.plan.rate <= 0.0 {
            QuotaDecision::Admit(QuotaReading::Known)
        } else if share.is_low_quota() {
            self.admit_low_quota(request, now.local, random)
        } else if !tenant.has_waiting() && tenant.lease.spend(request.units) {
            if !counter_unavailable && tenant.lease.needs_renewal(&tenant.demand, share) {
                self.request_block(&request.tenant, now.local, actions);
            }
            QuotaDecision::Admit(QuotaReading::Known)
        } else if counter_unavailable {
            let decision = self.admit_from_fallback(request, now.local, random)?;
            return Some((decision, QuotaSource::Fallback));
        } else if tenant.lease.has_reading() && available_units < request.units {
            let missing_units = request.units - available_units;
            QuotaDecision::Reject(QuotaShortfall { missing_units, refill_rate: share.plan.rate })
        } else {
            tenant.add_waiting(request);
            QuotaDecision::Wait
        };
        Some((decision, QuotaSource::Counter))
    }

    /// Decides for a request of a low-quota tenant. A fresh reading decides; otherwise the counter is read,
    /// as far as it keeps up, and the cached ratio decides for the rest. Clients' retries are not new demand.
    fn admit_low_quota(&mut self, request: &QuotaRequest, now: Millis, random: &mut Random) -> QuotaDecision {
        let sampled = random.uniform() < self.calls.call_ratio();
        // While the counter cannot keep up with all calls, those for retries are left out: they report no
        // demand.
        let wants_call = if request.client_retry { self.calls.call_ratio() >= 1.0 } else { sampled };
        let may_call = self.is_counter_usable() && wants_call;
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return QuotaDecision::Wait };
        let fresh = self.low_quota.is_fresh(tenant.name_hash(), tenant.share(&self.plans), now);
        let call_pending = tenant.has_pending_call();
        if (fresh || call_pending) && !request.client_retry {
            tenant.lease.add_unreported(request.units);
        }
        if call_pending || may_call && !fresh {
            tenant.add_waiting(request);
            return QuotaDecision::Wait;
        }
        self.admit_by_ratio(request, now, random).unwrap_or(QuotaDecision::Wait)
    }

    /// Decides for a request of a low-quota tenant by the cached admit ratio, or returns `None` if its tenant
    /// is unknown.
    pub(crate) fn admit_by_ratio(
        &mut self, request: &QuotaRequest, now: Millis, random: &mut Random,
    ) -> Option<QuotaDecision> {
        let draw = random.uniform();
        let tenant = self.tenants.get(&request.tenant)?;
        let share = tenant.share(&self.plans);
        let decision =
            self.low_quota.decide(tenant.name_hash(), tenant.plan(), request.client_retry, share, draw, now);
        Some(if decision.admitted {
            QuotaDecision::Admit(decision.reading)
        } else {
            QuotaDecision::Reject(QuotaShortfall {
                missing_units: request.units,
                refill_rate: share.plan.rate,
            })
        })
    }

    /// Decides for a request while the counter does not reply, or returns `None` if its tenant is unknown.
    pub(crate) fn admit_from_fallback(
        &mut self, request: &QuotaRequest, now: Millis, random: &mut Random,
    ) -> Option<QuotaDecision> {
        let converging = self.clock.is_converging();
        let window_now = self.clock.now(now);
        let tenant = self.tenants.get_mut(&request.tenant)?;
        let share = tenant.share_of(&self.plans[request.plan]);
        tenant.remove_waiting(request.id);
        if share.is_low_quota() {
            return self.admit_by_ratio(request, now, random);
        }
        tenant.lease.advance(window_now, share);
        let start = if converging { FallbackStart::Empty } else { FallbackStart::LastReading };
        Some(match tenant.spend_fallback(request.units, start, share, now) {
            Ok(()) => QuotaDecision::Admit(QuotaReading::Known),
            Err(shortfall) => QuotaDecision::Reject(shortfall),
        })
    }

    // ---- Requests in progress ----

    /// Returns whether a tenant may have another attempt in flight.
    pub(crate) fn has_capacity(&self, tenant: &Name, max_in_flight: u32) -> bool {
        max_in_flight == 0 || self.tenants.get(tenant).is_none_or(|tenant| tenant.has_capacity(max_in_flight))
    }

    /// Notes that an attempt is forwarded.
    pub(crate) fn attempt_forwarded(&mut self, tenant: &Name) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.attempt_forwarded();
        }
    }

    /// Notes that an attempt is no longer in flight.
    pub(crate) fn attempt_ended(&mut self, tenant: &Name) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.attempt_ended();
        }
    }

    /// Corrects the use of a request by what it turned out to be.
    pub(crate) fn settle_usage(&mut self, tenant: &Name, units: f64, actual_units: f64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.lease.record_unleased_usage(actual_units - units);
        }
    }

    /// Takes back the units of a request that was admitted but not forwarded.
    pub(crate) fn refund(&mut self, tenant: &Name, units: f64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.lease.refund(units);
        }
    }

    /// Notes that a request no longer waits for a reply.
    pub(crate) fn stop_waiting(&mut self, tenant: &Name, id: RequestId) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.remove_waiting(id);
        }
    }

    // ---- The counter ----

    fn is_counter_usable(&self) -> bool {
        self.calls.has_counter() && !self.clock.is_converging()
    }

    fn is_counter_unavailable(&self, now: Millis) -> bool {
        !self.is_counter_usable() || self.calls.is_unavailable(now)
    }

    /// Polls the counter for a tenant while it is unavailable, one call at a time and as far as back-pressure
    /// allows.
    pub(crate) fn poll_counter(
        &mut self, tenant: &Name, now: Millis, random: &mut Random, actions: &mut Vec<Action>,
    ) {
        if self.calls.none_in_flight() && random.uniform() < self.calls.call_ratio() {
            self.request_block(tenant, now, actions);
        }
    }

    /// Adds a block to a tenant's count. There is one call in flight for each tenant, and a bound on all of
    /// them.
    pub(crate) fn request_block(&mut self, name: &Name, now: Millis, actions: &mut Vec<Action>) {
        let may_call = self.is_counter_usable() && !self.clock.is_pending() && !self.calls.is_full();
        let now = self.clock.now(now);
        let Some(tenant) = self.tenants.get_mut(name) else { return };
        if tenant.has_pending_call() || !may_call {
            return;
        }
        let share = tenant.share(&self.plans);
        tenant.lease.advance(now, share);
        let joined = self.clock.joined_within(now.local, share.refill_period());
        let read = (joined && self.calls.keeps_up() && needs_previous_total(tenant, share))
            .then(|| CounterCall::read_previous(tenant, share));
        let increment = CounterCall::increment(tenant, share, self.draining, self.calls.call_ratio(), now);
        for call in read.into_iter().chain([increment]) {
            self.calls.call_started(call.key, name.clone(), call.kind);
            actions.push(Action::IncrementCounter { key: call.key, amount: call.amount, ttl: call.ttl });
        }
    }

    // ---- Maintenance ----

    /// Returns unused leases, reports usage, and drops idle tenants.
    pub(crate) fn maintain(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.low_quota.evict_expired(now);
        let window_now = self.clock.now(now);
        let mut to_report = Vec::new();
        self.tenants.retain(|name, tenant| {
            let share = tenant.share(&self.plans);
            let refill_period = share.refill_period();
            let idle = now - tenant.demand.updated_at;
            tenant.lease.advance(window_now, share);
            let unused = tenant.lease.is_scarce(share) && idle > refill_period * BLOCK_FRACTION;
            if (unused || self.draining) && tenant.lease.leased() >= MIN_REPORTED_UNITS {
                tenant.lease.return_lease();
            }
            let min_report = if self.draining {
                MIN_REPORTED_UNITS
            } else {
                (share.plan.burst * BLOCK_FRACTION).max(MIN_REPORTED_UNITS)
            };
            let should_report = !share.is_low_quota() && tenant.lease.unreported().abs() >= min_report;
            if !tenant.has_pending_call() && (should_report || tenant.has_waiting()) {
                to_report.push(name.clone());
            }
            tenant.is_busy() || idle < refill_period * IDLE_PERIODS
        });
        if !self.is_counter_unavailable(now) {
            for name in to_report {
                self.request_block(&name, now, actions);
            }
        }
    }
}
