//! The result of a simulation: what is counted, the figures for machines, and the summary for people. Neither
//! holds the time of day.

mod invariants;
mod markdown;
mod metrics;
mod result;
mod rounding;

pub use invariants::Invariant;
pub(crate) use invariants::{WorstRatios, worst_quota_usage};
pub(crate) use metrics::{FailureCause, Metrics, RejectedAttempt, RejectionReason, ServedAttempt};
pub(crate) use result::ReportInput;
pub use result::{
    CounterCalls, EndpointLists, Failures, Percentiles, Rejections, Report, SimulatedScale, SlowStartLoad,
    Spread,
};
