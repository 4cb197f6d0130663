//! The client side: accepts connections, validates requests, writes the final responses, and shuts down
//! gracefully.
//!
//! In reading order: `server` combines the parts; `listener` accepts connections, and `connection_table`
//! limits their number and evicts idle ones; `connection` serves one connection, with its state in
//! `connection_state` and `request_head`; `handler` handles one request, which `request` parses and validates
//! and for which `response` gets the final response; `overload` decides what gives way when memory is short, and
//! `lingering_close` responds to it;
//! `shutdown` runs the phases of the graceful shutdown.

mod connection;
mod connection_state;
mod connection_table;
mod handler;
mod lingering_close;
mod listener;
mod overload;
mod request;
mod request_head;
mod response;
mod server;
mod shutdown;
mod shutdown_schedule;

pub(crate) use request::MAX_DEADLINE_MS;
pub use server::Server;
pub use shutdown_schedule::ShutdownSchedule;
