//! Reads the settings object and load reports of a deployment into the types of [`ryefront_policy`].
//!
//! The simulator sends the settings object with its first message, a real gateway finds it in its
//! configuration file. Both hosts need the same settings of the policy, so both read it with [`read`]. The
//! keys of the object appear in this crate alone.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod load_report;
mod object;
mod settings;

pub use load_report::set_load_value;
pub use object::{Object, ReadError};
pub use settings::{parse, read};
