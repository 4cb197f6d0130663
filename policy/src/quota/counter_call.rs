//! Builds the counter calls of a tenant: the key, the amount to add and the time to live.

use super::counter_calls::CallKind;
use super::decayed_count::increment_weight;
use super::lease::Increment;
use super::share::QuotaShare;
use super::tenant::Tenant;
use super::window::Now;
use super::{IDLE_PERIODS, MAX_RETENTION};
use crate::Millis;

/// The time to live of a key that is only read: it need not be stored.
const READ_TTL: Millis = 1.0;

/// A counter call to make.
pub(super) struct CounterCall {
    pub(super) kind: CallKind,
    pub(super) key: u64,
    pub(super) amount: f64,
    /// How long the counter keeps the key if this call creates it.
    pub(super) ttl: Millis,
}

impl CounterCall {
    /// Returns the call that reads the total of the previous window, and records it as pending.
    pub(super) fn read_previous(tenant: &mut Tenant, share: QuotaShare<'_>) -> Self {
        let window = tenant.lease.window().wrapping_sub(1);
        tenant.set_pending_read(window);
        Self { kind: CallKind::ReadPrevious, key: share.counter_key(window), amount: 0.0, ttl: READ_TTL }
    }

    /// Returns the call that adds a lease block and the unreported usage, and records it as pending.
    pub(super) fn increment(
        tenant: &mut Tenant, share: QuotaShare<'_>, draining: bool, call_ratio: f64, now: Now,
    ) -> Self {
        let window = tenant.lease.window();
        let length = share.schedule().length();
        let low_quota = share.is_low_quota();
        let block = if low_quota {
            // Only this fraction of the wanted calls is made, so the demand of each is scaled up.
            low_quota_demand(tenant) / call_ratio
        } else {
            lease_block(tenant, share, draining)
        };
        let unreported = tenant.lease.take_unreported();
        tenant.set_pending_increment(Increment { window, block, unreported });
        let (weight, ttl) = if low_quota {
            let elapsed = share.schedule().elapsed(window, now);
            (increment_weight(elapsed, share.refill_period()), length)
        } else {
            (1.0, (length * IDLE_PERIODS).min(MAX_RETENTION))
        };
        let amount = (block + unreported) * weight;
        Self { kind: CallKind::Increment, key: share.counter_key(window), amount, ttl }
    }
}

/// Returns whether the total of the previous window must be read: the total of the current window does not
/// include what other gateways used shortly before it began.
pub(super) fn needs_previous_total(tenant: &Tenant, share: QuotaShare<'_>) -> bool {
    let lease = &tenant.lease;
    !lease.has_reading() && !share.is_low_quota() && !lease.has_total_preceding(lease.window())
}

/// Returns the total units of the waiting requests, excluding clients' retries.
fn low_quota_demand(tenant: &Tenant) -> f64 {
    tenant.waiting().filter(|request| !request.client_retry).map(|request| request.units).sum()
}

/// Returns how many units to lease in addition to the unspent leased units: while draining, only what waiting
/// requests need.
fn lease_block(tenant: &Tenant, share: QuotaShare<'_>, draining: bool) -> f64 {
    let lease = &tenant.lease;
    let needed: f64 = tenant.waiting().map(|request| request.units).sum();
    let needed = needed.min(lease.remaining().max(1.0));
    let block = if draining { needed } else { lease.next_block(needed, &tenant.demand, share) };
    (block - lease.leased()).max(0.0)
}
