//! A gateway that enforces quotas: one process with one thread.
//!
//! All decisions are made by [`ryefront_policy`]; the gateway passes events to it and performs its actions.
//!
//! In reading order:
//!
//! 1. [`engine`] runs the policy, with `request_table`, the table of requests in progress, [`request_ids`], the
//!    IDs that are taken, and `fleet_clock`, the synchronization with the fleet's clock.
//! 2. [`client`] accepts requests and sends their final responses.
//! 3. [`endpoint`] forwards attempts and checks the health of endpoints; [`http_connection`] is one
//!    connection.
//! 4. [`counter`] calls the shared counter.
//! 5. [`discovery`] watches the endpoint list.
//! 6. [`startup`], [`config`], [`signals`] and [`reload`] handle the process: startup, configuration and
//!    signals.
//!
//! The other modules are shared: `headers` defines the names of headers and paths, [`socket`] and
//! `instrumented_stream` wrap TCP streams, `body` receives message bodies, [`memory`] measures the memory in use, and `clock`, [`log`] and
//! [`task`] are utilities.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
pub mod client;
mod clock;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod endpoint;
pub mod engine;
mod fleet_clock;
mod headers;
pub mod http_connection;
mod instrumented_stream;
pub mod log;
pub mod memory;
pub mod reload;
pub mod request_ids;
mod request_table;
pub mod signals;
pub mod socket;
pub mod startup;
pub mod task;
