//! What one unit of each role costs, in time and in bytes, by the size of the fleet: the real code alone,
//! with nothing modelled around it. A line or a logarithm is fitted through the points and evaluated at the
//! target size.
//!
//! - `measure`: which figures are measured, and what is required of them.
//! - `subject`: the gateway code that is measured.
//! - `list_watch`: an endpoint list over a loopback socket.
//! - `memory`: the growth of a process.
//! - `fit`: the fitted line; `table`: the output.
//!
//! Times are medians by the steady clock. Bytes are the growth of the process's resident memory, in a process
//! of its own for each size, so that memory freed before is not reused.

mod fit;
mod list_watch;
mod measure;
mod memory;
mod subject;
mod table;

pub use fit::{Dimension, Fit, Point, Requirement, Slope};
pub use measure::{MemoryProbe, Sizes, measure};
pub use memory::{MemoryLoad, measure_memory};
pub use table::{json, table};

use crate::endpoint_list::ListError;
use ryefront_policy::SettingsError;
use std::io;

/// Figures that cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The policy engine rejects the settings.
    #[error("the policy engine rejects the settings: {0}")]
    Settings(#[from] SettingsError),
    /// The gateways' parser rejects a list.
    #[error("the gateways' parser rejects the endpoint list: {0}")]
    List(#[from] ListError),
    /// The policy engine did not forward a request that it should.
    #[error("a measured request was not forwarded exactly once")]
    NotForwarded,
    /// The policy engine did not call the counter for a new tenant.
    #[error("a new tenant's request led to no counter call")]
    NoCounterCall,
    /// Memory or a loopback socket cannot be used.
    #[error("measuring is not possible here: {0}")]
    Io(#[from] io::Error),
}
