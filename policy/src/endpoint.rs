//! The state of one endpoint at one gateway.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::hash::hash;
use crate::outlier_detection::{EjectionChange, OutlierDetector};
use crate::response_latency::Timeliness;
use crate::slow_start::EndpointStart;
use crate::{AttemptEnd, EndpointEntry, LoadReport, Millis, Name, Outcome};

/// The queue length that an endpoint reported last.
#[derive(Clone, Copy, Debug, Default)]
struct QueueReport {
    length: f64,
    received_at: Millis,
}

impl QueueReport {
    /// Returns the expected queue length now: the reported one, decaying exponentially with `time_constant`.
    fn decayed(self, now: Millis, time_constant: Millis) -> f64 {
        self.length * (-(now - self.received_at) / time_constant).exp()
    }
}

/// One endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) cell: u64,
    pub(crate) name_hash: u64,
    /// Whether new requests may be sent to it.
    pub(crate) ready: bool,
    pub(crate) removed: bool,
    pub(crate) start: EndpointStart,
    /// The number of this gateway's attempts in flight.
    pub(crate) in_flight: u32,
    concurrency_limit: ConcurrencyLimit,
    outlier_detector: OutlierDetector,
    queue_report: QueueReport,
    /// Whether the snapshot that is being applied contains it.
    pub(crate) in_snapshot: bool,
}

impl Endpoint {
    /// Returns the state of a new process, of which only the entry in the endpoint list is known.
    ///
    /// `in_flight` is the number of attempts at the previous process that have not ended yet.
    pub(crate) fn new(entry: EndpointEntry, learned_at: Millis, in_flight: u32, gateway_count: u32) -> Self {
        Self {
            name_hash: hash(&entry.name),
            name: entry.name,
            zone: entry.zone,
            cell: entry.cell,
            start: EndpointStart { started_at: entry.started_at, learned_at },
            in_flight,
            concurrency_limit: ConcurrencyLimit::initial(gateway_count),
            ..Self::default()
        }
    }

    /// Returns the placeholder for a slot without an endpoint.
    pub(crate) fn vacant() -> Self {
        Self { removed: true, ..Self::default() }
    }

    /// Returns whether the endpoint is below its concurrency limit and not ejected.
    pub(crate) fn is_available(&self, now: Millis) -> bool {
        self.concurrency_limit.has_capacity(self.in_flight) && !self.outlier_detector.is_ejected(now)
    }

    pub(crate) fn concurrency_limit(&self) -> ConcurrencyLimit {
        self.concurrency_limit
    }

    /// Returns the expected queue length now, based on the last load report.
    pub(crate) fn expected_queue_length(&self, now: Millis, time_constant: Millis) -> f64 {
        self.queue_report.decayed(now, time_constant)
    }

    /// Records a load report that is received now.
    pub(crate) fn record_load_report(&mut self, report: LoadReport, now: Millis) {
        if let Some(length) = report.queue_length {
            self.queue_report = QueueReport { length, received_at: now };
        }
    }

    /// Adapts the concurrency limit at the end of an attempt.
    pub(crate) fn adapt_concurrency_limit(&mut self, timeliness: Timeliness) {
        self.concurrency_limit.record_response(timeliness, self.in_flight);
    }

    /// Updates the outlier detection at the end of an attempt. Returns a change of the endpoint's ejection
    /// that is to be logged.
    pub(crate) fn detect_outlier(
        &mut self, end: &AttemptEnd, now: Millis, slow_start_duration: Millis,
    ) -> Option<EjectionChange> {
        if end.outcome == Outcome::Served {
            self.outlier_detector.record_success()
        } else {
            self.outlier_detector.record_failure(now, end.outcome, end.latency, slow_start_duration)
        }
    }
}
