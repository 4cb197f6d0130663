//! Counters and histograms that are updated during a simulation. Times are in µs.

use crate::attempts::OpenAttempts;
use crate::clients::ClientRequest;
use crate::connection::{Connection, ConnectionOrigin};
use crate::tenants::QuotaCheck;
use crate::time::Micros;
use hdrhistogram::Histogram;

/// Why a request was rejected. The policy gives no reason, so the model derives it from the units that the
/// tenant has left by the model's exact accounting, and from the event that led to the rejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RejectionReason {
    /// The tenant had too few units left by the model's exact accounting (gateways only estimate it).
    BeyondQuota,
    /// The request was rejected after at least one attempt had been forwarded.
    AfterAttempt,
    /// Rejected on arrival: the gateway estimated too few units, shed the request, or its wait queue was full.
    OnArrival,
    /// Rejected on a counter reply.
    OnCounterReply,
    /// Rejected on any other event, mostly the end of a wait for the counter or for capacity.
    WaitExpired,
}

impl RejectionReason {
    const COUNT: usize = Self::WaitExpired as usize + 1;
}

/// The upper bound of the histograms: ten minutes, the longest deadline that an experiment may have.
const MAX_LATENCY: Micros = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Why a client attempt failed.
#[derive(Clone, Copy)]
pub(crate) enum FailureCause {
    /// The deadline passed without a response.
    TimedOut,
    Other,
}

/// The outcome of a client attempt that was rejected.
pub(crate) struct RejectedAttempt {
    pub(crate) reason: RejectionReason,
    /// Whether more than half of the tenant's burst was left.
    pub(crate) over_half_burst_left: bool,
}

/// The outcome of a client attempt that was served.
pub(crate) struct ServedAttempt {
    pub(crate) latency: Micros,
    /// Latency added by the gateway: the latency without that of the served attempt, plus the handshake of
    /// its connection if that was new.
    pub(crate) added_latency: Micros,
    /// Whether the latency exceeds the latency objective of its class.
    pub(crate) late: bool,
    pub(crate) quota_check: Option<QuotaCheck>,
}

/// Counts of client attempts (`offered` and how they ended) and of forwarded attempts. Attempts of the
/// warm-up are excluded unless a field's documentation says otherwise.
pub(crate) struct Metrics {
    /// Client attempts, including those of the warm-up.
    pub(super) offered_with_warm_up: u64,
    pub(super) offered: u64,
    pub(super) first_attempts: u64,
    pub(super) served: u64,
    /// Served after the latency objective.
    pub(super) late: u64,
    /// Served although the tenant had too few units left.
    pub(super) over_quota: u64,
    rejected: [u64; RejectionReason::COUNT],
    /// Rejected while more than half of the tenant's burst was left.
    pub(super) rejected_with_quota_left: u64,
    pub(super) timed_out: u64,
    /// Failed for any reason other than a timeout.
    pub(super) failed: u64,
    pub(super) client_disconnected: u64,
    /// Client attempts that the gateway had not completed when the client's deadline passed.
    pub(super) incomplete_at_deadline: u64,
    /// Client attempts without a completion when the simulation ended.
    pub(super) open_at_end: u64,
    pub(super) forwarded: u64,
    forwarded_ended: u64,
    pub(super) handshakes: u64,
    /// Forwarded to another zone, in the same region or another.
    pub(super) cross_zone: u64,
    pub(super) cross_region: u64,
    /// Completions of client attempts that were already completed, including the warm-up.
    pub(super) duplicate_completions: u64,
    /// Actions that a host cannot perform, including the warm-up.
    pub(super) invalid_actions: u64,
    /// Forwarded to a draining endpoint after its drain grace, including the warm-up.
    pub(super) sent_after_drain: u64,
    /// The largest discrepancy found by any audit.
    pub(super) unaccounted: u64,
    pub(super) added_latency: Histogram<u64>,
    pub(super) latency: Histogram<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY, SIGNIFICANT_DIGITS)
                .expect("the bounds and the number of digits are valid")
        };
        Self {
            offered_with_warm_up: 0,
            offered: 0,
            first_attempts: 0,
            served: 0,
            late: 0,
            over_quota: 0,
            rejected: [0; RejectionReason::COUNT],
            rejected_with_quota_left: 0,
            timed_out: 0,
            failed: 0,
            client_disconnected: 0,
            incomplete_at_deadline: 0,
            open_at_end: 0,
            forwarded: 0,
            forwarded_ended: 0,
            handshakes: 0,
            cross_zone: 0,
            cross_region: 0,
            duplicate_completions: 0,
            invalid_actions: 0,
            sent_after_drain: 0,
            unaccounted: 0,
            added_latency: histogram(),
            latency: histogram(),
        }
    }

    pub(crate) fn record_offered(&mut self, request: &ClientRequest) {
        self.offered_with_warm_up += 1;
        if request.counted {
            self.offered += 1;
            self.first_attempts += u64::from(request.retries == 0);
        }
    }

    pub(crate) fn record_failed(&mut self, cause: FailureCause) {
        match cause {
            FailureCause::TimedOut => self.timed_out += 1,
            FailureCause::Other => self.failed += 1,
        }
    }

    pub(crate) fn record_client_disconnected(&mut self) {
        self.client_disconnected += 1;
    }

    /// Records that the deadline of a client attempt passed before the gateway completed it.
    pub(crate) fn record_incomplete_at_deadline(&mut self) {
        self.incomplete_at_deadline += 1;
    }

    pub(crate) fn record_invalid_action(&mut self) {
        self.invalid_actions += 1;
    }

    pub(crate) fn record_sent_after_drain(&mut self) {
        self.sent_after_drain += 1;
    }

    pub(crate) fn record_duplicate_completion(&mut self) {
        self.duplicate_completions += 1;
    }

    pub(crate) fn record_served(&mut self, attempt: &ServedAttempt) {
        self.served += 1;
        self.late += u64::from(attempt.late);
        self.over_quota += u64::from(attempt.quota_check == Some(QuotaCheck::Over));
        self.latency.saturating_record(attempt.latency);
        self.added_latency.saturating_record(attempt.added_latency);
    }

    pub(crate) fn record_rejected(&mut self, attempt: &RejectedAttempt) {
        self.rejected[attempt.reason as usize] += 1;
        self.rejected_with_quota_left += u64::from(attempt.over_half_burst_left);
    }

    /// Records that a gateway forwarded an attempt over a connection.
    pub(crate) fn record_forwarded(&mut self, connection: &Connection) {
        self.forwarded += 1;
        self.handshakes += u64::from(connection.origin == ConnectionOrigin::New);
        self.cross_zone += u64::from(connection.crosses_zones);
        self.cross_region += u64::from(connection.crosses_regions);
    }

    pub(crate) fn record_forwarded_ended(&mut self) {
        self.forwarded_ended += 1;
    }

    pub(crate) fn rejected(&self, reason: RejectionReason) -> u64 {
        self.rejected[reason as usize]
    }

    pub(crate) fn rejected_total(&self) -> u64 {
        self.rejected.iter().sum()
    }

    /// Runs the final audit and records the client attempts that are still open.
    pub(crate) fn finish(&mut self, open: &OpenAttempts) {
        self.audit(open);
        self.open_at_end = open.total;
    }

    /// Checks that every attempt, offered or forwarded, has either ended or is still open, and records the
    /// largest discrepancy.
    pub(crate) fn audit(&mut self, open: &OpenAttempts) {
        let failed = self.failed + self.timed_out;
        let ended = self.served + self.rejected_total() + failed + self.client_disconnected;
        let client_attempts = self.offered.abs_diff(ended + open.total);
        let forwarded = self.forwarded.abs_diff(self.forwarded_ended + open.in_flight);
        self.unaccounted = self.unaccounted.max(client_attempts + forwarded);
    }
}
