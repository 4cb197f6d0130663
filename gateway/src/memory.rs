//! The memory that the process uses, against its limit.
//!
//! The platform kills a gateway that exceeds `limits.memory_mb`, with all requests in progress. The heap is
//! measured at the allocator, so that it includes what no part of the program counts itself, such as the
//! buffers of the HTTP library.

use std::fmt;

/// The fraction of the memory limit that is for the heap. The rest is for the code of the program and the
/// fragmentation of the heap.
const HEAP_FRACTION: f64 = 0.7;
/// For figures in the log.
const BYTES_PER_KIB: usize = 1024;

/// The memory in use and its limit.
pub struct MemoryMonitor {
    heap_bytes_in_use: fn() -> usize,
    max_heap_bytes: usize,
}

impl MemoryMonitor {
    /// Monitors a process that may use `max_memory_bytes`; `heap_bytes_in_use` returns the bytes that it has
    /// allocated.
    pub fn new(max_memory_bytes: u64, heap_bytes_in_use: fn() -> usize) -> Self {
        Self { heap_bytes_in_use, max_heap_bytes: (max_memory_bytes as f64 * HEAP_FRACTION) as usize }
    }
}

/// The heap in use and its limit, for the log.
impl fmt::Display for MemoryMonitor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_use = (self.heap_bytes_in_use)() / BYTES_PER_KIB;
        let limit = self.max_heap_bytes / BYTES_PER_KIB;
        write!(f, "{in_use} of {limit} KiB of heap in use")
    }
}
