//! A model of a fleet of gateways in virtual time.
//!
//! Each gateway consists of the real policy engine and the real endpoint list code, without sockets. All
//! gateways run in one process, on one virtual clock, with models of clients, tenants, counter, discovery,
//! network and endpoints. [`run`] simulates an experiment; [`slopes`] measures what each endpoint, tenant and
//! route costs a gateway.
//!
//! A simulation never reads the time of day: the same experiment and seed give the same result, byte for
//! byte.
//!
//! The modules in reading order:
//!
//! - `experiment`: the file that describes a fleet and its load.
//! - `simulation`: the event loop. `event_queue` holds the events, `time` the virtual clock's units, `random`
//!   the random number streams, and `setup` creates the fleet.
//! - `clients`, `tenants`, `attempts`, `requests`: the requests of clients, from arrival to completion.
//! - `gateway_process`, `connection`, `endpoint_list`, `endpoints`, `counter`, `discovery`, `list_format`,
//!   `network`: the components of the fleet.
//! - `rollout`: the rolling replacement of endpoints.
//! - `report`: counters, invariants and the result.
//! - `slopes`: cost measurements of a single gateway.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempts;
mod clients;
mod connection;
mod counter;
mod discovery;
mod endpoint_list;
mod endpoints;
mod error;
mod event_queue;
pub mod experiment;
mod gateway_process;
mod list_format;
mod network;
mod random;
pub mod report;
mod requests;
mod rollout;
mod setup;
mod simulation;
pub mod slopes;
mod tenants;
mod time;

pub use error::RunError;
pub use experiment::{Experiment, ExperimentError};
pub use report::Report;
pub use simulation::run;
