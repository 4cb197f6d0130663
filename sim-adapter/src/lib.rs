//! Hosts `ryefront_policy` engines on the simulator's wire: translation only, no decisions.
//!
//! - `wire`: every name of the protocol.
//! - `fields`: the fields of one line and their types.
//! - `decode`: lines to messages; `encode`: actions to lines.
//! - `host`: the batches, the endpoint tables and the instances.

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
