//! The result of a simulation: counters, the JSON report, and the Markdown summary. No output contains the
//! time of day, so the same experiment and seed give the same bytes.
//!
//! - `metrics`: counters and histograms, updated during the simulation.
//! - `invariants`: limits that every simulation must respect.
//! - `result`: the report, serialized as `result.json`.
//! - `markdown`: the report as `summary.md`.
//! - `rounding`: the precision of reported values.

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
