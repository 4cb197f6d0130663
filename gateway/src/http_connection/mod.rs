//! An HTTP/1.1 connection to an endpoint or to discovery.
//!
//! A connection has no background task: it makes progress only while its user polls it. It sends nothing
//! twice, and it is closed at the moment it is dropped.
//!
//! In reading order: `connection` performs exchanges, one after another; `exchange_state` records the
//! progress of one, by which `error` classifies its failure.

mod connection;
mod error;
mod exchange_state;

pub use connection::{Connection, ExchangeLimits};
pub use error::ExchangeError;
