//! Experiments: what a file describes, how it is read, and which values it may have.
//!
//! - `file`: the types of an experiment, with the keys of the file.
//! - `read`: from text to a valid experiment.
//! - `validate`: the ranges of its figures.
//! - `location`: the line of a key, for errors.
//! - `error`: what errors name.

mod error;
mod file;
mod location;
mod read;
mod validate;

pub use error::{ExperimentError, Problem, Range};
pub use file::{
    Class, Counter, Discovery, Endpoints, Experiment, Fleet, Idempotency, Interval, Load, Network, Plan,
    Rollout, Scale,
};
