//! A model of a fleet: hollow gateways, which are the real decision module and the real list code without
//! sockets, share one process and one virtual clock with modelled clients, tenants, counter parts, discovery,
//! zones, regions and pick servers. [`run`] plays an experiment, [`slopes`] measures what each role costs.
//!
//! Nothing here reads the time of day while it plays: the same experiment and seed give the same result, byte
//! for byte.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod counter;
mod discovery;
mod experiment;
mod gateways;
mod random;
mod report;
mod servers;
pub mod slopes;

mod world;

pub use experiment::{Experiment, ExperimentError};
pub use report::{Invariant, Report};
pub use world::{RunError, run};
