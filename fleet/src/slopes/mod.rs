//! What each endpoint, tenant and route costs a gateway, in time and in bytes: the gateway's real code, on a
//! clock and counter totals kept by the benchmark. A line or a logarithm is fitted through the points and
//! evaluated at the target size.
//!
//! - `measure`: which figures are measured, and what is required of them.
//! - `measured_gateway`: the gateway code that is measured, and its size.
//! - `list_watch`: an endpoint list over a loopback socket.
//! - `memory`: the growth of a process.
//! - `fit`: the fitted line; `table`: the output.
//!
//! Times are medians by the monotonic clock. Bytes are the growth of the process's resident memory, in a
//! separate process for each size, so that memory freed before is not reused.

mod error;
mod fit;
mod list_watch;
mod measure;
mod measured_gateway;
mod memory;
mod table;

pub use error::SlopesError;
pub use fit::{Dimension, Fit, Point, Requirement, Slope};
pub use measure::{MemoryProbe, Sizes, measure};
pub use memory::{MemoryLoad, measure_memory};
pub use table::{json, table};
