//! The state of one endpoint at one gateway.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::EndpointStart;
use crate::{Millis, Name};

/// The queue length that an endpoint reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueReport {
    pub(crate) length: f64,
    pub(crate) received_at: Millis,
}

impl QueueReport {
    /// Returns the queue length to expect now; a report loses its weight over `decay_time`.
    pub(crate) fn decayed(self, now: Millis, decay_time: Millis) -> f64 {
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
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) outlier: OutlierDetector,
    pub(crate) queue: QueueReport,
    /// Whether the snapshot that is being applied names it.
    pub(crate) in_snapshot: bool,
}
