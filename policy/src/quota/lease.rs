//! The lease cache of one tenant: units leased from the shared counter, and an estimate of the remaining
//! quota.
//!
//! A gateway leases a block of units by adding it to the count of the current window, and spends the block
//! locally. The returned total shows what all gateways have leased. Between readings the remaining quota
//! refills at the plan's rate. Leased units expire at the end of their window.

use super::ceiling;
use super::decayed_count::decayed;
use super::demand::Demand;
use super::fallback::FallbackAllowance;
use super::share::QuotaShare;
use super::window::{Now, WindowNumber};
use crate::{Millis, QuotaPlan};

/// A block covers the demand of this fraction of a refill period. While the quota is scarce, a block that is
/// unused for this time is returned for other gateways to use.
pub(super) const BLOCK_FRACTION: f64 = 0.15;
/// A block is at most this fraction of the remaining quota, divided by the tenant's gateways.
const MAX_BLOCK_FRACTION: f64 = 0.5;
/// The quota is scarce while less than this fraction of the burst remains. While more remains, a block is at
/// least an equal part of the excess for each gateway.
const SCARCE_FRACTION: f64 = 0.5;
/// A new block is requested when less than this fraction of a block is left.
const RENEWAL_THRESHOLD: f64 = 0.4;
/// Totals that differ by less are considered equal, as the counter has a limited number of digits.
const TOTAL_TOLERANCE: f64 = 1e-6;

/// The total of a window that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowTotal {
    pub(crate) window: WindowNumber,
    pub(crate) total: f64,
}

/// The units that one counter call adds to the count of a window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Increment {
    pub(crate) window: WindowNumber,
    /// The lease block, or for a low-quota tenant the demand of the waiting requests.
    pub(crate) block: f64,
    /// Usage that was not reported before; negative if units are returned.
    pub(crate) unreported: f64,
}

/// A reply to an increment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncrementReply {
    pub(crate) increment: Increment,
    /// The total after the increment.
    pub(crate) total: f64,
}

/// The lease cache of one tenant.
#[derive(Debug)]
pub(crate) struct LeaseCache {
    window: WindowNumber,
    /// Leased units that are not spent yet; they expire at the end of the window.
    leased: f64,
    /// The units that this gateway has added to the count of the window.
    added: f64,
    /// The last total of the window's count.
    last_total: f64,
    /// The remaining quota without leased units, estimated from the totals so far and refilled between them.
    remaining: f64,
    refilled_at: Millis,
    /// Whether there has been a reading that is still valid.
    has_reading: bool,
    last_reply_at: Millis,
    /// Units used but not yet added to the count; negative if units are to be returned.
    unreported: f64,
    /// The total of the previous window, read from the counter.
    previous_total: Option<WindowTotal>,
    /// The last total that this gateway received in an earlier window.
    last_earlier_total: Option<WindowTotal>,
}

impl LeaseCache {
    pub(super) fn new(initial_quota: f64, now: Millis) -> Self {
        Self {
            window: 0,
            leased: 0.0,
            added: 0.0,
            last_total: 0.0,
            remaining: initial_quota,
            refilled_at: now,
            has_reading: false,
            last_reply_at: 0.0,
            unreported: 0.0,
            previous_total: None,
            last_earlier_total: None,
        }
    }

    /// Refills the remaining quota. If a new window has begun, expires the leased units of the old one.
    pub(super) fn advance(&mut self, now: Now, share: QuotaShare<'_>) {
        let elapsed = now.local - self.refilled_at;
        if share.is_low_quota() {
            self.unreported = decayed(self.unreported, elapsed, share.refill_period());
        }
        self.remaining = (self.remaining + share.plan.rate * elapsed / 1000.0).min(share.plan.burst);
        self.refilled_at = now.local;
        let window = share.schedule().window_at(now);
        if window != self.window {
            self.remaining = (self.remaining + self.leased).min(share.plan.burst);
            if self.last_total > 0.0 {
                self.last_earlier_total = Some(WindowTotal { window: self.window, total: self.last_total });
            }
            self.window = window;
            self.leased = 0.0;
            self.added = 0.0;
            self.last_total = 0.0;
        }
    }

    pub(super) fn window(&self) -> WindowNumber {
        self.window
    }

    pub(super) fn remaining(&self) -> f64 {
        self.remaining
    }

    pub(super) fn leased(&self) -> f64 {
        self.leased
    }

    pub(super) fn unreported(&self) -> f64 {
        self.unreported
    }

    pub(super) fn has_reading(&self) -> bool {
        self.has_reading
    }

    /// Records that there has been a reading. Returns whether there was no valid reading before.
    pub(super) fn record_reading(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reading, true)
    }

    /// Sets the remaining quota to an assumed value, at most the initial quota, as if it had been read.
    pub(super) fn assume_reading(&mut self, remaining: f64, plan: &QuotaPlan) {
        self.remaining = remaining.min(ceiling::initial_quota(plan));
        self.has_reading = true;
    }

    /// Marks the readings so far as invalid.
    pub(super) fn forget_reading(&mut self) {
        self.has_reading = false;
    }

    /// Returns the units that this gateway may still spend or lease.
    pub(super) fn available(&self) -> f64 {
        self.remaining + self.leased
    }

    /// Returns whether so little quota remains that unused units should be returned.
    pub(super) fn is_scarce(&self, share: QuotaShare<'_>) -> bool {
        self.remaining < share.plan.burst * SCARCE_FRACTION
    }

    /// Spends leased units if there are enough. Returns whether they were spent.
    pub(super) fn spend(&mut self, units: f64) -> bool {
        let fits = self.leased >= units;
        if fits {
            self.leased -= units;
        }
        fits
    }

    /// Adds units of a request that was not forwarded back to the lease.
    pub(super) fn refund(&mut self, units: f64) {
        self.leased += units;
    }

    /// Records units that are used without a lease.
    pub(super) fn record_unleased_usage(&mut self, units: f64) {
        self.unreported += units;
        self.remaining -= units;
    }

    /// Adds to the usage that the next call reports, without changing the remaining quota.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.unreported += units;
    }

    /// Returns the unreported usage and resets it to zero.
    pub(super) fn take_unreported(&mut self) -> f64 {
        std::mem::take(&mut self.unreported)
    }

    /// Gives up all leased units: the next call subtracts them from the count.
    pub(super) fn return_lease(&mut self) {
        let leased = std::mem::take(&mut self.leased);
        self.unreported -= leased;
        self.remaining += leased;
    }

    /// Returns whether the total of the window that precedes `window` is known.
    pub(super) fn has_total_preceding(&self, window: WindowNumber) -> bool {
        self.previous_total.is_some_and(|previous| previous.window == window.wrapping_sub(1))
    }

    pub(super) fn set_previous_total(&mut self, window: WindowNumber, total: f64) {
        self.previous_total = Some(WindowTotal { window, total });
    }

    /// Returns the size of a block for the smoothed demand, limited by the remaining quota.
    pub(super) fn block_for_demand(&self, demand: &Demand, share: QuotaShare<'_>) -> f64 {
        let wanted = demand.rate * share.refill_period() * BLOCK_FRACTION;
        wanted.min(self.remaining * MAX_BLOCK_FRACTION / share.gateways).floor()
    }

    /// Returns whether to request a new block.
    pub(super) fn needs_renewal(&self, demand: &Demand, share: QuotaShare<'_>) -> bool {
        let block = self.block_for_demand(demand, share);
        block >= 1.0 && self.leased < block * RENEWAL_THRESHOLD
    }

    /// Returns the size of the next block: at least `needed`, the units of the waiting requests, and at least
    /// the block for the smoothed demand. While the quota is not scarce, it is also at least an equal part of
    /// the excess. The first block is the burst divided by the gateways.
    pub(super) fn next_block(&self, needed: f64, demand: &Demand, share: QuotaShare<'_>) -> f64 {
        let plan = share.plan;
        let wanted = if self.has_reading {
            let equal_part = (self.remaining - plan.burst * SCARCE_FRACTION) / share.gateways;
            self.block_for_demand(demand, share).max(equal_part.ceil())
        } else {
            plan.burst / share.gateways
        };
        needed.max(wanted.floor()).max(0.0)
    }

    /// Applies the reply to an increment: updates the remaining quota and leases the block, except for units
    /// that exceed the quota. `fallback` is the allowance that was in use before the reply, `recovered_at`
    /// the time when the counter was last detected to have recovered.
    pub(super) fn apply_reply(
        &mut self, reply: IncrementReply, fallback: Option<FallbackAllowance>, recovered_at: Millis,
        now: Now, share: QuotaShare<'_>,
    ) {
        self.advance(now, share);
        if share.plan.ceiling_rate > 0.0 && self.has_reading && self.last_reply_at < recovered_at {
            // The counter may have lost its counts while it was unavailable, so the total may not include
            // what other gateways spent. Only this gateway's allowance, or the initial quota, is certain to
            // remain.
            let guaranteed = fallback.map_or(ceiling::initial_quota(share.plan), |fallback| fallback.units);
            self.remaining = self.remaining.min(guaranteed);
        }
        self.last_reply_at = now.local;
        if reply.increment.window == self.window {
            self.apply_total(reply, fallback, now, share);
        }
    }

    fn apply_total(
        &mut self, reply: IncrementReply, fallback: Option<FallbackAllowance>, now: Now,
        share: QuotaShare<'_>,
    ) {
        let IncrementReply { increment, total } = reply;
        let block = increment.block;
        // The block has been added to the count, so it covers what the fallback admitted during the call.
        let covered = self.unreported.clamp(0.0, block);
        self.unreported -= covered;
        self.remaining += covered;
        self.added += block + increment.unreported;
        if self.record_reading() {
            // The total covers only the current window, which may have just begun, so the remaining quota is
            // also limited by the fallback allowance.
            let bound = fallback.map_or(f64::INFINITY, |fallback| fallback.units * share.gateways);
            self.remaining = self.remaining_by_first_total(reply, now, share).min(bound);
        } else if total + TOTAL_TOLERANCE < self.added {
            // The counter lost its counts. This gateway adds its units again, so that other gateways do not
            // lease the same quota.
            self.unreported += self.added - total;
            self.remaining -= block;
        } else {
            let used_by_others = total - self.last_total - increment.unreported;
            self.remaining = (self.remaining - used_by_others).min(share.plan.burst);
        }
        self.last_total = total;
        self.leased += block - covered;
        self.return_excess(block);
    }

    /// Gives up units of the newest block that exceed the quota.
    fn return_excess(&mut self, block: f64) {
        if self.remaining < 0.0 {
            let excess = self.leased.min((-self.remaining).ceil()).min(block);
            self.leased -= excess;
            self.unreported -= excess;
            self.remaining += excess;
        }
    }

    /// Estimates the remaining quota from the first total of a window and, if it is known, the total of the
    /// previous window.
    fn remaining_by_first_total(&self, reply: IncrementReply, now: Now, share: QuotaShare<'_>) -> f64 {
        let IncrementReply { increment: Increment { window, unreported, .. }, total } = reply;
        let plan = share.plan;
        let remaining_in_window = ceiling::initial_quota(plan) - total;
        let previous = self.previous_total.filter(|previous| previous.window.wrapping_add(1) == window);
        let Some(previous) = previous else { return remaining_in_window };
        // All units of the previous window may have been used at its end, with no refill since.
        let remaining_at_start = (plan.burst - previous.total).clamp(0.0, plan.burst);
        let refilled = plan.rate * share.schedule().elapsed(window, now) / 1000.0;
        let lower_bound = remaining_in_window.min(remaining_at_start + refilled - total);
        // Under a ceiling only the lower bound from the totals is used.
        let last_seen = self
            .last_earlier_total
            .filter(|last_seen| last_seen.window == previous.window && plan.ceiling_rate <= 0.0);
        last_seen.map_or(lower_bound, |last_seen| {
            // This gateway knows the remaining quota at its last reply, and from the totals the usage since.
            let used_by_others = previous.total - last_seen.total + total - unreported;
            lower_bound.max(self.remaining - used_by_others.max(0.0))
        })
    }
}
