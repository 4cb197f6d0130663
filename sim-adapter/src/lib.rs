//! Connects `ryefront_policy` engines to the simulator. The adapter only translates between the simulator's
//! protocol and the events and actions of the policy; it makes no decisions.
//!
//! - `wire`: all names of the protocol.
//! - `fields`: reads the fields of a line.
//! - `decode` and `encode`: decode lines into messages, and encode actions as lines.
//! - `host`: handles batches, endpoint tables and gateway instances.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod decode;
mod encode;
mod fields;
mod host;
mod wire;

pub use decode::DecodeError;
pub use fields::InvalidField;
pub use host::{Host, HostError, LineError};
