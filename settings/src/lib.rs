//! Converts the settings object and load reports of a deployment to the types of [`ryefront_policy`].
//!
//! The simulator sends the settings object in its first message; the gateway program reads it from its
//! configuration file. Both use this crate, so that the policy gets the same settings from the same object.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod load_report;
mod object;
mod settings;

pub use load_report::set_load_value;
pub use object::{Object, ReadError};
pub use settings::{from_str, from_value, longest_deadline};
