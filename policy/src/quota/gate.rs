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

/// Usage or returned units below this amount are not worth a counter call of their own.
const MIN_REPORTED_UNITS: f64 = 1.0;

/// When there are too many tenants, the limit divided by this is how many are evicted at once, so that the
/// time of an eviction is spread over many new tenants.
const EVICTION_DIVISOR: usize = 8;

/// The admission gate of one gateway.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    plans: Vec<QuotaPlan>,
    tenants: BTreeMap<Name, Tenant>,
    /// The most tenants to keep; 0 for no limit.
    max_tenants: usize,
    low_quota: LowQuotaTenants,
    calls: CounterCalls,
    clock: WindowClock,
    /// Whether this gateway is draining: leased units are returned.
    draining: bool,
}

impl QuotaGate {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            plans: settings.plans.iter().map(ceiling::effective_plan).collect(),
            tenants: BTreeMap::new(),
            max_tenants: settings.max_tenants,
            low_quota: LowQuotaTenants::new(settings.plans.len(), settings.gossip),
            calls: CounterCalls::new(settings),
            clock: WindowClock::new(),
            draining: false,
        }
    }

    /// Records a request that arrived, and adds its tenant if it is unknown.
    pub(crate) fn record_arrival(&mut self, request: &QuotaRequest, arrival: &TenantArrival, now: Millis) {
        let is_new = !self.tenants.contains_key(&request.tenant);
        if is_new && self.max_tenants > 0 && self.tenants.len() >= self.max_tenants {
            self.evict_tenants((self.max_tenants / EVICTION_DIVISOR).max(1));
        }
        let plan = &self.plans[request.plan];
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

    /// Removes the tenants that have had no request for longest, up to `count`: first those whose usage is
    /// reported. Clients may send requests under ever new tenants. A tenant that is busy is kept.
    fn evict_tenants(&mut self, count: usize) {
        let is_unreported = |tenant: &Tenant| tenant.lease.unreported().abs() >= MIN_REPORTED_UNITS;
        let idle = self.tenants.iter().filter(|(_, tenant)| !tenant.is_busy());
        let mut idle: Vec<_> = idle
            .map(|(name, tenant)| (is_unreported(tenant), tenant.demand.updated_at, name.clone()))
            .collect();
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, name) in idle.into_iter().take(count) {
            self.tenants.remove(&name);
        }
    }

    /// Updates what is known of the fleet's clock.
    pub(crate) fn update_fleet_time(&mut self, time: FleetTime, now: Millis) {
        self.clock.update(time, now);
    }

    /// Records that earlier counts can no longer be read: quota beyond the leased units is assumed to be
    /// spent.
    pub(crate) fn on_counts_lost(&mut self, now: Millis) {
        self.clock.record_counts_lost(now);
        for tenant in self.tenants.values_mut() {
            tenant.assume_spent(0.0, &self.plans[tenant.plan()]);
        }
    }

    /// Records that the process resumed after a pause. Readings of windows that ended during the pause do not
    /// show what other gateways spent since, so the gateway starts as if it had just joined the fleet.
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

    /// Applies a gossip message from another gateway.
    pub(crate) fn record_gossip(&mut self, bytes: &[u8], now: Millis) {
        self.low_quota.record_gossip(bytes, now);
    }

    /// Starts draining: from now on leases are returned and only as many units leased as requests need.
    pub(crate) fn start_drain(&mut self) {
        self.draining = true;
    }

    // ---- Decisions ----

    /// Decides whether to admit a request, or returns `None` if its tenant is unknown.
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

    /// Decides whether to admit a request of a low-quota tenant. While the tenant has a pending call, the
    /// request waits for its reply. With a fresh reading the cached admit ratio decides. Otherwise the
    /// request waits for a new call if the call ratio allows one, and if not, the cached ratio decides.
    /// Clients' retries do not count as new demand.
    fn admit_low_quota(&mut self, request: &QuotaRequest, now: Millis, random: &mut Random) -> QuotaDecision {
        let sampled = random.uniform() < self.calls.call_ratio();
        // While the counter cannot keep up with all calls, none are made for retries, as they report no
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

    /// Decides whether to admit a request of a low-quota tenant by the cached admit ratio, or returns `None`
    /// if its tenant is unknown.
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

    /// Decides whether to admit a request without a reply from the counter, or returns `None` if its tenant
    /// is unknown.
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

    /// Records that an attempt is forwarded.
    pub(crate) fn attempt_forwarded(&mut self, tenant: &Name) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.attempt_forwarded();
        }
    }

    /// Records that an attempt is no longer in flight.
    pub(crate) fn attempt_ended(&mut self, tenant: &Name) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.attempt_ended();
        }
    }

    /// Corrects the recorded usage of a request from `units` to `actual_units`.
    pub(crate) fn settle_usage(&mut self, tenant: &Name, units: f64, actual_units: f64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.lease.record_unleased_usage(actual_units - units);
        }
    }

    /// Adds the units of a request that was admitted but not forwarded back to the lease.
    pub(crate) fn refund(&mut self, tenant: &Name, units: f64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.lease.refund(units);
        }
    }

    /// Removes a request from those that wait for a counter reply.
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

    /// Calls the unavailable counter for a tenant, to detect its recovery: only while no other call is in
    /// flight, and with the call ratio as the probability.
    pub(crate) fn poll_counter(
        &mut self, tenant: &Name, now: Millis, random: &mut Random, actions: &mut Vec<Action>,
    ) {
        if self.calls.none_in_flight() && random.uniform() < self.calls.call_ratio() {
            self.request_block(tenant, now, actions);
        }
    }

    /// Calls the counter to lease a block and to report usage, unless the counter is not usable yet, the
    /// tenant has a pending call, or the limit of calls in flight is reached.
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
        let read = (joined && self.calls.is_unthrottled() && needs_previous_total(tenant, share))
            .then(|| CounterCall::read_previous(tenant, share));
        let increment = CounterCall::increment(tenant, share, self.draining, self.calls.call_ratio(), now);
        for call in read.into_iter().chain([increment]) {
            self.calls.call_started(call.key, name.clone(), call.kind);
            actions.push(Action::IncrementCounter { key: call.key, amount: call.amount, ttl: call.ttl });
        }
    }

    // ---- Maintenance ----

    /// Returns unused leases, reports usage, and removes idle tenants.
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
