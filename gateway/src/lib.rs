//! The real gateway: ryefront_policy's decisions on real sockets. Everything runs on one thread; what is to be
//! decided is decided by the module behind [`engine`], the other files move bytes.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backoff;
pub mod clients;
pub mod clock;
pub mod config;
pub mod connection;
pub mod counter;
pub mod discovery;
pub mod endpoints;
pub mod engine;
pub mod log;
pub mod pool;
pub mod signals;
pub mod socket;
