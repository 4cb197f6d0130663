//! Measures the growth of this process's resident memory.

use super::error::MeasurementError;
use super::measured_gateway::{FleetSize, MeasuredGateway, snapshot};
use std::io;

/// What a gateway is given before the memory it uses is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryLoad {
    /// One request from each of a number of tenants.
    Tenants,
    /// An endpoint list; no connection is opened to any endpoint.
    Endpoints,
}

/// Returns by how many bytes the resident memory of this process grows when a gateway in it is given `size`
/// tenants or endpoints. Call it only once in a process, so that memory freed before is not reused.
///
/// # Errors
/// When the memory cannot be read, or the gateway's code rejects the settings, the endpoint list or a
/// request.
pub fn measure_memory(load: MemoryLoad, size: usize) -> Result<u64, MeasurementError> {
    let list = snapshot(if load == MemoryLoad::Endpoints { size } else { 1 });
    let mut gateway = MeasuredGateway::without_list(FleetSize::proportional(size))?;
    let before = resident_bytes()?;
    gateway.apply_list(&list)?;
    if load == MemoryLoad::Tenants {
        gateway.add_tenants(size)?;
    }
    Ok(resident_bytes()?.saturating_sub(before))
}

fn resident_bytes() -> io::Result<u64> {
    /// The usual page size on Linux.
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    // The second field is the number of resident pages.
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| io::ErrorKind::InvalidData.into())
}
