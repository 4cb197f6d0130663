//! The client of the shared counter: increments over a few pipelined RESP2 connections.
//!
//! [`CounterClient`] selects the connection by key. A connection (`connection`) is re-established with
//! backoff; while it is established, a session (`session`) writes calls, matches replies to them and enforces
//! the timeouts. The calls in flight are kept in a `pipeline`, which callers and session share through a
//! `call_queue`. `resp` encodes commands and decodes replies.

mod call_queue;
mod client;
mod connection;
mod pipeline;
mod resp;
mod session;

pub use call_queue::{CompletedCall, CompletionCallback};
pub use client::{CONNECTION_COUNT, CounterClient};
