//! Handles counter replies and failed counter calls: updates the lease or the admit ratio of the tenant.

use super::{MIN_REPORTED_UNITS, QuotaGate};
use crate::quota::ReplyOutcome;
use crate::quota::counter_calls::{CallInFlight, CallKind};
use crate::quota::lease::IncrementReply;
use crate::quota::low_quota::LowQuotaReply;
use crate::quota::window::Now;
use crate::{Action, CounterResult, Millis, Name};

impl QuotaGate {
    /// Handles the end of a counter call, with a total or without.
    pub(crate) fn on_counter_reply(
        &mut self, key: u64, result: CounterResult, latency: Millis, now: Millis, actions: &mut Vec<Action>,
    ) -> ReplyOutcome {
        let call = self.calls.call_ended(key, result, latency, now);
        let Some(CallInFlight { tenant, kind }) = call else { return ReplyOutcome::Nothing };
        let total = match result {
            CounterResult::Total(total) => Some(total),
            CounterResult::NotAdded | CounterResult::Unknown => None,
        };
        if total.is_none() {
            self.record_failure(now, actions);
        } else if self.calls.record_reply(now) {
            actions.push(Action::Log("counter available again".into()));
        }
        match (kind, total) {
            (CallKind::ReadPrevious, total) => self.on_previous_total(&tenant, total, now),
            (CallKind::Increment, Some(total)) => self.on_increment_total(&tenant, total, now, actions),
            (CallKind::Increment, None) => self.on_increment_failed(&tenant, result),
        }
    }

    /// Handles the end of a read of the previous window's total. If the read failed, the other gateways are
    /// assumed to have used all but an equal part of the burst.
    fn on_previous_total(&mut self, name: &Name, total: Option<f64>, now: Millis) -> ReplyOutcome {
        let Some(tenant) = self.tenants.get_mut(name) else { return ReplyOutcome::Nothing };
        let share = tenant.share(&self.plans);
        let total = total.unwrap_or(share.plan.burst * (1.0 - 1.0 / share.gateways));
        match tenant.complete_pending_read(total) {
            Some(reply) => self.apply_reply(name, reply, now),
            None => ReplyOutcome::Nothing,
        }
    }

    fn on_increment_total(
        &mut self, name: &Name, total: f64, now: Millis, actions: &mut Vec<Action>,
    ) -> ReplyOutcome {
        let Some(tenant) = self.tenants.get_mut(name) else { return ReplyOutcome::Nothing };
        let Some(increment) = tenant.take_pending_increment() else { return ReplyOutcome::Nothing };
        if tenant.share(&self.plans).is_low_quota() {
            let call_ratio = self.calls.call_ratio();
            let reply = LowQuotaReply { increment, total, call_ratio };
            return self.on_low_quota_reply(name, reply, self.clock.now(now), actions);
        }
        match tenant.defer_for_pending_read(IncrementReply { increment, total }) {
            Some(reply) => self.apply_reply(name, reply, now),
            None => ReplyOutcome::Nothing,
        }
    }

    fn apply_reply(&mut self, name: &Name, reply: IncrementReply, now: Millis) -> ReplyOutcome {
        let Some(tenant) = self.tenants.get_mut(name) else { return ReplyOutcome::Nothing };
        let share = tenant.share(&self.plans);
        tenant.apply_reply(reply, self.calls.recovered_at(), self.clock.now(now), share);
        ReplyOutcome::LeaseUpdated {
            tenant: name.clone(),
            waiting: tenant.take_waiting(),
            returns_units: tenant.lease.unreported() <= -MIN_REPORTED_UNITS,
        }
    }

    fn on_low_quota_reply(
        &mut self, name: &Name, reply: LowQuotaReply, now: Now, actions: &mut Vec<Action>,
    ) -> ReplyOutcome {
        let Some(tenant) = self.tenants.get_mut(name) else { return ReplyOutcome::Nothing };
        let share = tenant.share(&self.plans);
        let ratio = self.low_quota.record_total(tenant.name_hash(), reply, share, now, actions);
        let waiting = tenant.take_waiting();
        if tenant.lease.record_reading() {
            let client_retry = waiting.iter().any(|request| request.client_retry);
            self.low_quota.record_first_reading(tenant.plan(), client_retry, ratio);
        }
        ReplyOutcome::RatioUpdated { waiting }
    }

    fn record_failure(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.calls.record_failure();
        if self.is_counter_unavailable(now) && self.calls.record_unavailability() {
            actions.push(Action::Log("counter unavailable: spending leases and fallback allowances".into()));
        }
    }

    /// Handles an increment without a total: the fallback decides the waiting requests, and a block that may
    /// have been added is given up.
    fn on_increment_failed(&mut self, name: &Name, result: CounterResult) -> ReplyOutcome {
        let Some(tenant) = self.tenants.get_mut(name) else { return ReplyOutcome::Nothing };
        if let Some(increment) = tenant.take_pending_increment() {
            // If the increment may have been applied, usage is reported again but returned units are not, so
            // that the count may be too high but never too low.
            let unreported = increment.unreported;
            let may_be_added = result == CounterResult::Unknown;
            tenant.lease.add_unreported(if may_be_added { unreported.max(0.0) } else { unreported });
        }
        ReplyOutcome::Failed { waiting: tenant.take_waiting() }
    }
}
