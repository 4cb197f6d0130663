//! A quota gateway on real sockets: one process, one thread.
//!
//! The decisions are those of [`ryefront_policy`]; [`engine`] passes events to them and performs their
//! actions. The other modules move bytes: [`client`] accepts requests, [`endpoint`] forwards attempts,
//! [`counter`] calls the shared counter, and [`discovery`] follows the endpoint list.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod endpoint;
pub mod engine;
pub mod fleet_clock;
pub mod headers;
pub mod http_connection;
mod instrumented_stream;
pub mod log;
pub mod reload;
mod request_table;
pub mod signals;
pub mod socket;
pub mod startup;
pub mod task;
