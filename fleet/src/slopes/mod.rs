//! Measures what each endpoint, tenant and route costs a gateway, in time and in bytes.
//!
//! The gateway's real code runs with a clock and a counter that the benchmark controls. Each cost is measured
//! at several sizes; a line or a logarithm is fitted to the points and evaluated at the target size.
//!
//! - `measure`: the measured costs and the requirements on them.
//! - `measured_gateway`: the gateway code that is measured, and the settings it runs with.
//! - `list_watch`: checks that an endpoint list is read over a loopback socket.
//! - `memory`: the growth of a process's resident memory.
//! - `fit`: cost curves, fitted functions and requirements.
//! - `table`: output as JSON or Markdown.
//!
//! Times are medians, measured by the monotonic clock. Bytes are the growth of the resident memory of a
//! separate process for each size, so that memory freed before is not reused.

mod error;
mod fit;
mod list_watch;
mod measure;
mod measured_gateway;
mod memory;
mod table;

pub use error::MeasurementError;
pub use fit::{CostCurve, Dimension, Fit, Point, Requirement};
pub use measure::{MemoryProbe, Sizes, measure};
pub use memory::{MemoryLoad, measure_memory};
pub use table::{json, table};
