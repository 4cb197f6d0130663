//! The lease cache of one tenant: units leased from the shared counter, and what is known of the quota left.
//!
//! A gateway leases a block of units by adding it to the count of the present window, and spends the block
//! locally. The total that is returned shows what all gateways have leased. Between readings the remaining
//! quota refills at the plan's rate. Leased units expire with their window.

use super::ceiling;
use super::decayed_count::decayed;
use super::demand::Demand;
use super::fallback::FallbackAllowance;
use super::share::QuotaShare;
use super::window::{Now, WindowNumber};
use crate::{Millis, QuotaPlan};

/// A block holds the demand of this fraction of a refill period. A block that is unused for as long is
/// returned, so that other gateways can use it.
pub(super) const BLOCK_FRACTION: f64 = 0.15;
/// A block is at most this fraction of the remaining quota, divided by the tenant's gateways.
const MAX_BLOCK_FRACTION: f64 = 0.5;
/// The quota is scarce while less than this fraction of the burst remains. While more remains, a block is at
/// least an even part of what is above it.
const SCARCE_FRACTION: f64 = 0.5;
/// A block is renewed when less than this fraction of it is left.
const RENEWAL_THRESHOLD: f64 = 0.4;
/// Totals that differ by less are equal: the counter is exact to a limited number of digits.
const TOTAL_TOLERANCE: f64 = 1e-6;

/// The total of a window that is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowTotal {
    pub(crate) window: WindowNumber,
    pub(crate) total: f64,
}

/// What one counter call adds to the count of a window, in units.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Increment {
    pub(crate) window: WindowNumber,
    /// The lease block; of a low-quota tenant, the demand of the waiting requests.
    pub(crate) block: f64,
    /// The usage that had not been reported before; negative if units are returned.
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
    /// Leased units that are not spent yet; they expire with the window.
    leased: f64,
    /// What this gateway has added to the count of the window.
    added: f64,
    /// The last total of the window's count.
    last_total: f64,
    /// The quota that is left by all totals so far; it refills in between.
    remaining: f64,
    refilled_at: Millis,
    /// Whether there has been a reading that still holds.
    has_reading: bool,
    last_reply_at: Millis,
    /// Units used but not added to a count yet; negative if units are to be returned.
    unreported: f64,
    /// The total of the window before, read from the counter.
    previous_total: Option<WindowTotal>,
    /// The last total that a reply in an earlier window returned.
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

    /// Refills the remaining quota and moves on to the present window, in which older leased units have
    /// expired.
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

    /// Notes that there has been a reading. Returns whether it is the first.
    pub(super) fn record_reading(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reading, true)
    }

    /// Takes the remaining quota for known.
    pub(super) fn assume_reading(&mut self, remaining: f64, plan: &QuotaPlan) {
        self.remaining = remaining.min(ceiling::initial_quota(plan));
        self.has_reading = true;
    }

    /// Discards what the readings so far say of the remaining quota.
    pub(super) fn forget_reading(&mut self) {
        self.has_reading = false;
    }

    /// Returns the units that this gateway may still spend or lease.
    pub(super) fn available(&self) -> f64 {
        self.remaining + self.leased
    }

    /// Returns whether less than a fraction of the burst remains, so that unused units are returned.
    pub(super) fn is_scarce(&self, share: QuotaShare<'_>) -> bool {
        self.remaining < share.plan.burst * SCARCE_FRACTION
    }

    /// Spends leased units if there are enough.
    pub(super) fn spend(&mut self, units: f64) -> bool {
        let fits = self.leased >= units;
        if fits {
            self.leased -= units;
        }
        fits
    }

    /// Takes back units of a request that was not forwarded.
    pub(super) fn refund(&mut self, units: f64) {
        self.leased += units;
    }

    /// Notes units that are used without a lease.
    pub(super) fn record_unleased_usage(&mut self, units: f64) {
        self.unreported += units;
        self.remaining -= units;
    }

    /// Adds to the usage that the next call reports, without a change of the remaining quota.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.unreported += units;
    }

    /// Takes the unreported usage out, to add it to the count.
    pub(super) fn take_unreported(&mut self) -> f64 {
        std::mem::take(&mut self.unreported)
    }

    /// Returns all leased units to the count, with the next call.
    pub(super) fn return_lease(&mut self) {
        let leased = std::mem::take(&mut self.leased);
        self.unreported -= leased;
        self.remaining += leased;
    }

    /// Returns whether the total of the window before `window` is known.
    pub(super) fn knows_total_before(&self, window: WindowNumber) -> bool {
        self.previous_total.is_some_and(|previous| previous.window == window.wrapping_sub(1))
    }

    pub(super) fn set_previous_total(&mut self, window: WindowNumber, total: f64) {
        self.previous_total = Some(WindowTotal { window, total });
    }

    /// Returns the smoothed demand of a block's time, as far as the remaining quota allows.
    pub(super) fn block_for_demand(&self, demand: &Demand, share: QuotaShare<'_>) -> f64 {
        let wanted = demand.rate * share.refill_period() * BLOCK_FRACTION;
        wanted.min(self.remaining * MAX_BLOCK_FRACTION / share.gateways).floor()
    }

    /// Returns whether the lease block should be renewed.
    pub(super) fn needs_renewal(&self, demand: &Demand, share: QuotaShare<'_>) -> bool {
        let block = self.block_for_demand(demand, share);
        block >= 1.0 && self.leased < block * RENEWAL_THRESHOLD
    }

    /// Returns the size of the next block: an even part while much of the quota remains (so the first is the
    /// burst divided by the gateways), else the smoothed demand, and at least what waiting requests need.
    pub(super) fn next_block(&self, needed: f64, demand: &Demand, share: QuotaShare<'_>) -> f64 {
        let plan = share.plan;
        let wanted = if self.has_reading {
            let even_part = (self.remaining - plan.burst * SCARCE_FRACTION) / share.gateways;
            self.block_for_demand(demand, share).max(even_part.ceil())
        } else {
            plan.burst / share.gateways
        };
        needed.max(wanted.floor()).max(0.0)
    }

    /// Applies the reply to an increment: updates the remaining quota, keeps of the block what fits, and
    /// returns the rest. `fallback` is the allowance that was spent before the reply, `recovered_at` the end
    /// of the counter's last unavailability.
    pub(super) fn apply_reply(
        &mut self, reply: IncrementReply, fallback: Option<FallbackAllowance>, recovered_at: Millis,
        now: Now, share: QuotaShare<'_>,
    ) {
        self.advance(now, share);
        if share.plan.ceiling_rate > 0.0 && self.has_reading && self.last_reply_at < recovered_at {
            // The counter may have lost its counts while it was unavailable, so what other gateways spent is
            // not in the total. Only this gateway's allowance, or the initial quota, is surely left.
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
        // What the fallback admitted during the call is paid from the block, as the block has been added.
        let covered = self.unreported.clamp(0.0, block);
        self.unreported -= covered;
        self.remaining += covered;
        self.added += block + increment.unreported;
        if self.record_reading() {
            // The total covers the present window alone, which may have begun just now, so the fallback
            // allowance bounds the quota as well.
            let bound = fallback.map_or(f64::INFINITY, |fallback| fallback.units * share.gateways);
            self.remaining = self.remaining_by_first_total(reply, now, share).min(bound);
        } else if total + TOTAL_TOLERANCE < self.added {
            // The counter lost its counts: what this gateway holds is added again, so that new blocks of
            // other gateways do not come on top of it.
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

    /// Returns units of the newest block that exceed the quota.
    fn return_excess(&mut self, block: f64) {
        if self.remaining < 0.0 {
            let excess = self.leased.min((-self.remaining).ceil()).min(block);
            self.leased -= excess;
            self.unreported -= excess;
            self.remaining += excess;
        }
    }

    /// Returns the quota left by the first total of a window and, if it is known, the total of the window
    /// before.
    fn remaining_by_first_total(&self, reply: IncrementReply, now: Now, share: QuotaShare<'_>) -> f64 {
        let IncrementReply { increment: Increment { window, unreported, .. }, total } = reply;
        let plan = share.plan;
        let remaining_in_window = ceiling::initial_quota(plan) - total;
        let previous = self.previous_total.filter(|previous| previous.window.wrapping_add(1) == window);
        let Some(previous) = previous else { return remaining_in_window };
        // The units of the window before may all have been used at its end, with no refill since.
        let remaining_at_start = (plan.burst - previous.total).clamp(0.0, plan.burst);
        let refilled = plan.rate * share.schedule().elapsed(window, now) / 1000.0;
        let lower_bound = remaining_in_window.min(remaining_at_start + refilled - total);
        // Under a ceiling no more than the totals show is taken for left.
        let last_seen = self
            .last_earlier_total
            .filter(|last_seen| last_seen.window == previous.window && plan.ceiling_rate <= 0.0);
        last_seen.map_or(lower_bound, |last_seen| {
            // This gateway knows the quota as of its last reply, and what was used since.
            let used_by_others = previous.total - last_seen.total + total - unreported;
            lower_bound.max(self.remaining - used_by_others.max(0.0))
        })
    }
}
