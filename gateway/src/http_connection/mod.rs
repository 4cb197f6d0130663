//! An HTTP/1.1 connection to an endpoint or to discovery.
//!
//! A connection has no background task: it makes progress only while its user polls it. It never resends a
//! request, and it is closed as soon as it is dropped.
//!
//! In reading order: `connection` performs exchanges, one after another; `exchange_state` tracks the progress
//! of the current exchange; `error` classifies failures by that progress.

mod connection;
mod error;
mod exchange_state;

pub use connection::{Connection, ExchangeLimits};
pub use error::ExchangeError;
