//! Experiment files: a fleet, its load and its settings, in TOML.
//!
//! - `file`: the types of an experiment, and the keys of the file that map to them.
//! - `read`: parses and validates a file.
//! - `validate`: the allowed range of each value.
//! - `location`: finds the line and the dotted key that an error is about.
//! - `error`: errors, which name the file, the line, the key and the reason.

mod error;
mod file;
mod location;
mod read;
mod validate;

pub use error::{ExperimentError, InvalidReason, ValueRange};
pub use file::{
    Class, Counter, Discovery, Endpoints, Experiment, Fleet, Idempotency, Interval, Load, Network, Plan,
    Rollout, Scale,
};
