//! The growth of this process's resident memory.

use super::error::SlopesError;
use super::measured_gateway::{FleetSize, MeasuredGateway, snapshot};
use std::io;

/// What uses the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryLoad {
    /// Tenants whose requests a gateway has had.
    Tenants,
    /// Endpoints that a gateway knows, with no connection to any.
    Endpoints,
}

/// Returns by how many bytes this process grows as a gateway in it is given a load. To be called in a
/// separate process.
///
/// # Errors
/// When the memory cannot be read or the gateway's code rejects what it is given.
pub fn measure_memory(load: MemoryLoad, size: usize) -> Result<u64, SlopesError> {
    let list = snapshot(if load == MemoryLoad::Endpoints { size } else { 1 });
    let mut gateway = MeasuredGateway::without_list(FleetSize::in_proportion(size))?;
    let before = resident_bytes()?;
    gateway.apply(&list)?;
    if load == MemoryLoad::Tenants {
        gateway.add_tenants(size)?;
    }
    Ok(resident_bytes()?.saturating_sub(before))
}

fn resident_bytes() -> io::Result<u64> {
    /// The usual size on Linux.
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| io::ErrorKind::InvalidData.into())
}
