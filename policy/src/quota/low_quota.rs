//! Tenants whose quota leaves a gateway less than a unit.
//!
//! Blocks of such a quota would serve no request. Instead each tenant's demand over all gateways is counted
//! as a decaying sum ([`decayed_count`](super::decayed_count)), and each gateway admits the fraction of
//! requests that fits the quota by its total. Between readings the fraction is cached, and decays to what is
//! typical of the tenant's plan.

use super::decayed_count::{admit_ratio, decayed};
use super::lease::Increment;
use super::share::QuotaShare;
use super::window::Now;
use super::{MAX_RETENTION, QuotaReading};
use crate::settings::PlanIndex;
use crate::{Action, Millis};
use std::collections::BTreeMap;

/// A reading is fresh for this fraction of a refill period; demand in between is reported with the next call.
const FRESH_FRACTION: f64 = 0.25;
/// The exponent of the admit ratio: more than 1, as no count includes all demand.
const ADMIT_RATIO_EXPONENT: f64 = 2.5;
/// A cached admit ratio decays to that of the plan over this many refill periods.
const RATIO_DECAY_PERIODS: f64 = 4.0;
/// The weight of the newest first reading in a plan's typical admit ratio.
const NEWEST_RATIO_WEIGHT: f64 = 0.03;
/// Gateways that may gossip report an admit ratio below this, and again when it falls by this factor or a
/// refill period has passed.
const GOSSIP_THRESHOLD: f64 = 0.7;
/// The admit ratio is sent in one byte.
const GOSSIP_RATIO_SCALE: f64 = 255.0;
/// The position of the admit ratio in a message; the name hash before it leaves this byte free.
const GOSSIP_RATIO_BYTE: usize = 7;

/// The fraction of a tenant's requests that fits its quota, as last read here or by another gateway.
#[derive(Clone, Copy, Debug, Default)]
struct CachedAdmitRatio {
    ratio: f64,
    updated_at: Millis,
}

/// The typical admit ratio of a plan's tenants at their first reading.
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
    /// The call ratio by now; the block was divided by the one at the time of the call.
    pub(super) call_ratio: f64,
}

/// Whether a request may be admitted without a reading of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RatioDecision {
    pub(super) admitted: bool,
    pub(super) reading: QuotaReading,
}

/// The admit ratios of low-quota tenants.
#[derive(Debug)]
pub(super) struct LowQuotaTenants {
    by_plan: Vec<PlanAdmitRatios>,
    /// By the hash of the tenant's name.
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

    /// Decides for a request by the cached ratio, which decays to that of the plan. Of a tenant without a
    /// reading all is admitted while that gains more than it costs. A client's retries are admitted only
    /// while all requests fit: otherwise rejected requests would return until they are admitted.
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

    fn typical_ratio(&self, plan: PlanIndex, client_retry: bool, share: QuotaShare<'_>) -> f64 {
        let typical = self.by_plan[plan];
        if client_retry {
            return typical.client_retries;
        }
        let ratio = typical.first_attempts;
        let cost = share.plan.over_quota_cost - share.plan.over_quota_weight;
        if ratio > (1.0 - ratio) * cost { 1.0 } else { ratio }
    }

    /// Caches and returns the admit ratio that follows from a total, and gossips about it if it is news.
    pub(super) fn record_total(
        &mut self, name_hash: u64, reply: LowQuotaReply, share: QuotaShare<'_>, now: Now,
        actions: &mut Vec<Action>,
    ) -> f64 {
        let refill_period = share.refill_period();
        let Increment { window, block, .. } = reply.increment;
        let elapsed = share.schedule().elapsed(window, now);
        // The block stands for requests without a call as well; their part does not count against those that
        // waited for this reply.
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

    /// Caches an admit ratio that another gateway reports; messages of another form are ignored.
    pub(super) fn record_gossip(&mut self, bytes: &[u8], now: Millis) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let ratio = f64::from(std::mem::take(&mut bytes[GOSSIP_RATIO_BYTE])) / GOSSIP_RATIO_SCALE;
        self.by_name_hash.insert(u64::from_le_bytes(bytes), CachedAdmitRatio { ratio, updated_at: now });
    }

    /// Drops cached ratios that are too old to matter.
    pub(super) fn evict_expired(&mut self, now: Millis) {
        self.by_name_hash.retain(|_, cached| now - cached.updated_at < MAX_RETENTION);
    }
}

fn encode_gossip(name_hash: u64, ratio: f64) -> Vec<u8> {
    let mut bytes = name_hash.to_le_bytes();
    bytes[GOSSIP_RATIO_BYTE] = (ratio * GOSSIP_RATIO_SCALE) as u8;
    bytes.to_vec()
}
