//! The result of a simulation: what is counted, the figures for machines, and the summary for people. Neither holds
//! the time of day.

mod markdown;
mod metrics;
mod result;

pub(crate) use metrics::{ForwardedAttempt, Metrics, RejectionReason, ServedAttempt};
pub use result::{
    CounterCalls, EndpointLists, Failures, Invariant, Percentiles, Rejections, Report, SimulatedScale,
    SlowStartLoad, Spread,
};
pub(crate) use result::{ReportInput, worst_quota_usage};
