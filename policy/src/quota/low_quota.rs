//! Admission for low-quota tenants, whose burst is less than one unit for each gateway.
//!
//! A lease block of such a quota would admit no request. Instead the tenant's demand at all gateways is
//! counted as a decaying sum ([`decayed_count`](super::decayed_count)), and each gateway admits the fraction
//! of requests that fits the quota (the admit ratio). Between readings the ratio is cached, and converges to
//! the typical ratio of the tenant's plan.

use super::decayed_count::{admit_ratio, decayed};
use super::lease::Increment;
use super::share::QuotaShare;
use super::window::Now;
use super::{MAX_RETENTION, QuotaReading};
use crate::settings::PlanIndex;
use crate::{Action, Millis};
use std::collections::BTreeMap;

/// A reading is fresh for this fraction of a refill period. Demand in this time is reported with the next
/// call.
const FRESH_FRACTION: f64 = 0.25;
/// The exponent of the admit ratio: more than 1, as the count never includes all demand.
const ADMIT_RATIO_EXPONENT: f64 = 2.5;
/// The time constant with which a cached admit ratio converges to that of the plan, in refill periods.
const RATIO_DECAY_PERIODS: f64 = 4.0;
/// The weight of a new tenant's first reading in the moving average of its plan's admit ratio.
const NEWEST_RATIO_WEIGHT: f64 = 0.03;
/// If gossip is enabled, a gateway sends an admit ratio below this value, provided that the ratio fell by
/// this factor or that the cached ratio is more than a refill period old.
const GOSSIP_THRESHOLD: f64 = 0.7;
/// The factor by which the admit ratio is encoded into one byte of a gossip message.
const GOSSIP_RATIO_SCALE: f64 = 255.0;
/// The position of the admit ratio in a gossip message. The little-endian name hash leaves this byte free.
const GOSSIP_RATIO_BYTE: usize = 7;

/// The last admit ratio of a tenant, from a reading of this gateway or from gossip.
#[derive(Clone, Copy, Debug, Default)]
struct CachedAdmitRatio {
    ratio: f64,
    updated_at: Millis,
}

/// The typical admit ratios of a plan: moving averages over the first readings of its tenants.
#[derive(Clone, Copy, Debug)]
struct PlanAdmitRatios {
    first_attempts: f64,
    client_retries: f64,
}

impl Default for PlanAdmitRatios {
    fn default() -> Self {
        Self { first_attempts: 1.0, client_retries: 0.5 }
    }
}

/// A reply to an increment of a low-quota tenant's count.
#[derive(Clone, Copy, Debug)]
pub(super) struct LowQuotaReply {
    pub(super) increment: Increment,
    /// The total after the increment.
    pub(super) total: f64,
    /// The call ratio at the time of the reply; the block was divided by the one at the time of the call.
    pub(super) call_ratio: f64,
}

/// The decision on a request by a cached or typical admit ratio.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RatioDecision {
    pub(super) admitted: bool,
    pub(super) reading: QuotaReading,
}

/// The admit ratios of low-quota tenants.
#[derive(Debug)]
pub(super) struct LowQuotaTenants {
    by_plan: Vec<PlanAdmitRatios>,
    /// Admit ratios of tenants, by the hash of the tenant's name.
    by_name_hash: BTreeMap<u64, CachedAdmitRatio>,
    gossip: bool,
}

impl LowQuotaTenants {
    pub(super) fn new(plans: usize, gossip: bool) -> Self {
        Self { by_plan: vec![PlanAdmitRatios::default(); plans], by_name_hash: BTreeMap::new(), gossip }
    }

    /// Returns whether the last reading of a tenant is fresh.
    pub(super) fn is_fresh(&self, name_hash: u64, share: QuotaShare<'_>, now: Millis) -> bool {
        let freshness = share.refill_period() * FRESH_FRACTION;
        self.by_name_hash.get(&name_hash).is_some_and(|cached| now - cached.updated_at < freshness)
    }

    /// Decides whether to admit a request by the cached ratio, which converges to the typical ratio of the
    /// plan. For clients' retries a cached ratio below 1 counts as 0, as rejected requests would otherwise be
    /// retried until they are admitted. `draw` is a random number from 0 to 1.
    pub(super) fn decide(
        &self, name_hash: u64, plan: PlanIndex, client_retry: bool, share: QuotaShare<'_>, draw: f64,
        now: Millis,
    ) -> RatioDecision {
        let typical = self.typical_ratio(plan, client_retry, share);
        let cached = self.by_name_hash.get(&name_hash);
        let CachedAdmitRatio { ratio, updated_at } = cached.copied().unwrap_or_default();
        let ratio = if client_retry { ratio.floor() } else { ratio };
        let age = (now - updated_at) / share.refill_period();
        let admitted = draw < typical + (-age / RATIO_DECAY_PERIODS).exp() * (ratio - typical);
        let reading = if cached.is_some() { QuotaReading::Known } else { QuotaReading::Missing };
        RatioDecision { admitted, reading }
    }

    /// Returns the typical ratio of a plan. For first attempts it is 1 while admitting all requests is worth
    /// more than the requests over quota cost.
    fn typical_ratio(&self, plan: PlanIndex, client_retry: bool, share: QuotaShare<'_>) -> f64 {
        let typical = self.by_plan[plan];
        if client_retry {
            return typical.client_retries;
        }
        let ratio = typical.first_attempts;
        let cost = share.plan.over_quota_cost - share.plan.over_quota_weight;
        if ratio > (1.0 - ratio) * cost { 1.0 } else { ratio }
    }

    /// Computes the admit ratio from a total, caches and returns it, and sends it as gossip if it has fallen
    /// or is due again.
    pub(super) fn record_total(
        &mut self, name_hash: u64, reply: LowQuotaReply, share: QuotaShare<'_>, now: Now,
        actions: &mut Vec<Action>,
    ) -> f64 {
        let refill_period = share.refill_period();
        let Increment { window, block, .. } = reply.increment;
        let elapsed = share.schedule().elapsed(window, now);
        // The block was scaled up for requests that made no call. That part is subtracted, so that it does
        // not count against the requests that waited for this reply.
        let extrapolated = block - block * reply.call_ratio;
        let demand = (decayed(reply.total, elapsed, refill_period) - extrapolated).max(0.0);
        let ratio = admit_ratio(demand, share.plan.burst, ADMIT_RATIO_EXPONENT);
        let before = self.by_name_hash.insert(name_hash, CachedAdmitRatio { ratio, updated_at: now.local });
        let before = before.unwrap_or(CachedAdmitRatio { ratio: 1.0, updated_at: f64::NEG_INFINITY });
        let changed =
            ratio < before.ratio * GOSSIP_THRESHOLD || now.local > before.updated_at + refill_period;
        if self.gossip && ratio < GOSSIP_THRESHOLD && changed {
            actions.push(Action::Gossip { bytes: encode_gossip(name_hash, ratio) });
        }
        ratio
    }

    /// Updates the typical ratio of a plan with the first reading of one of its tenants.
    pub(super) fn record_first_reading(&mut self, plan: PlanIndex, client_retry: bool, ratio: f64) {
        let typical = &mut self.by_plan[plan];
        let typical = if client_retry { &mut typical.client_retries } else { &mut typical.first_attempts };
        *typical += NEWEST_RATIO_WEIGHT * (ratio - *typical);
    }

    /// Caches the admit ratio in a gossip message. Messages of any other length are ignored.
    pub(super) fn record_gossip(&mut self, bytes: &[u8], now: Millis) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let ratio = f64::from(std::mem::take(&mut bytes[GOSSIP_RATIO_BYTE])) / GOSSIP_RATIO_SCALE;
        self.by_name_hash.insert(u64::from_le_bytes(bytes), CachedAdmitRatio { ratio, updated_at: now });
    }

    /// Removes cached ratios that are older than [`MAX_RETENTION`].
    pub(super) fn evict_expired(&mut self, now: Millis) {
        self.by_name_hash.retain(|_, cached| now - cached.updated_at < MAX_RETENTION);
    }
}

fn encode_gossip(name_hash: u64, ratio: f64) -> Vec<u8> {
    let mut bytes = name_hash.to_le_bytes();
    bytes[GOSSIP_RATIO_BYTE] = (ratio * GOSSIP_RATIO_SCALE) as u8;
    bytes.to_vec()
}
