//! A quota gateway on real sockets: one process, one thread.
//!
//! All decisions are made by [`ryefront_policy`]; the gateway passes events to it and performs its actions.
//!
//! In reading order:
//!
//! 1. [`engine`] is the center: it feeds the policy, with the `request_table` of the requests in progress and
//!    `fleet_clock`, the time that the gateways agree on.
//! 2. [`client`] accepts requests and responds with their final answers.
//! 3. [`endpoint`] forwards attempts and checks the health of endpoints; [`http_connection`] is one
//!    connection.
//! 4. [`counter`] calls the shared counter.
//! 5. [`discovery`] follows the endpoint list.
//! 6. [`startup`], [`config`], [`signals`] and [`reload`] connect the gateway to its process.
//!
//! The rest is shared: `headers` has the names of the HTTP protocols, [`socket`] and `instrumented_stream`
//! wrap TCP streams, and `clock`, [`log`] and [`task`] are small utilities.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
pub mod reload;
mod request_table;
pub mod signals;
pub mod socket;
pub mod startup;
pub mod task;
