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
    /// Returns the queue length to expect now; a report loses its weight over `decay_time`.
    fn decayed(self, now: Millis, decay_time: Millis) -> f64 {
        self.length * (-(now - self.received_at) / decay_time).exp()
    }
}

/// One endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) cell: u64,
    /// A hash of the name.
    pub(crate) salt: u64,
    /// Whether it may be sent new requests.
    pub(crate) ready: bool,
    pub(crate) removed: bool,
    pub(crate) start: EndpointStart,
    /// Attempts of this gateway in flight.
    pub(crate) in_flight: u32,
    limit: ConcurrencyLimit,
    outlier: OutlierDetector,
    queue: QueueReport,
    /// Whether the snapshot that is being applied names it.
    pub(crate) in_snapshot: bool,
}

impl Endpoint {
    /// Returns a new process of which nothing is known but its place in the endpoint list.
    ///
    /// `in_flight` are attempts at the process before it that have not ended yet.
    pub(crate) fn new(entry: EndpointEntry, learned_at: Millis, in_flight: u32, gateway_count: u32) -> Self {
        Self {
            salt: hash(&entry.name),
            name: entry.name,
            zone: entry.zone,
            cell: entry.cell,
            start: EndpointStart { started_at: entry.started_at, learned_at },
            in_flight,
            limit: ConcurrencyLimit::initial(gateway_count),
            ..Self::default()
        }
    }

    /// Returns the content of a slot that is free.
    pub(crate) fn vacant() -> Self {
        Self { removed: true, ..Self::default() }
    }

    /// Returns whether another attempt fits and the endpoint is not ejected.
    pub(crate) fn is_available(&self, now: Millis) -> bool {
        self.limit.has_capacity(self.in_flight) && !self.outlier.is_ejected(now)
    }

    /// Returns the concurrency limit.
    pub(crate) fn limit(&self) -> ConcurrencyLimit {
        self.limit
    }

    /// Returns the queue length to expect now, by the last load report.
    pub(crate) fn expected_queue(&self, now: Millis, decay_time: Millis) -> f64 {
        self.queue.decayed(now, decay_time)
    }

    /// Records a load report that arrives now.
    pub(crate) fn record_load_report(&mut self, report: LoadReport, now: Millis) {
        if let Some(length) = report.queue_length {
            self.queue = QueueReport { length, received_at: now };
        }
    }

    /// Records the end of an attempt in concurrency limit and outlier detection. Returns a change of the
    /// endpoint's ejection that is to be logged.
    pub(crate) fn record_attempt_end(
        &mut self, end: &AttemptEnd, timeliness: Timeliness, now: Millis, slow_start_duration: Millis,
    ) -> Option<EjectionChange> {
        self.limit.record_response(timeliness, self.in_flight);
        if end.outcome == Outcome::Served {
            self.outlier.record_success()
        } else {
            self.outlier.record_failure(now, end.outcome, end.latency, slow_start_duration)
        }
    }
}
