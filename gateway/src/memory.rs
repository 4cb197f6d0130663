//! The memory that the process uses, and the limit from which requests give way.
//!
//! The platform kills a gateway that exceeds `limits.memory_mb`, with all requests in progress. The heap is
//! therefore kept below a fraction of that limit: it is measured at the allocator, so that it includes what no
//! part of the program counts itself, such as the buffers of the HTTP library.

use crate::log;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The fraction of the memory limit that the heap may use before requests give way. The rest is for the code
/// of the program, the fragmentation of the heap, and the responses to requests in progress.
const HEAP_FRACTION: f64 = 0.5;
/// The fraction of this heap that requests leave to the responses of requests in progress. Otherwise new requests
/// take what those that end have freed, and a response that finds no memory in time fails.
const RESPONSE_FRACTION: f64 = 1.0 / 16.0;
/// The shortest interval between two log lines about requests that gave way.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between checks whether memory can be reserved.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(2);
/// For figures in the log.
const BYTES_PER_KIB: usize = 1024;

/// The memory in use and its limit.
pub struct MemoryMonitor {
    heap_bytes_in_use: fn() -> usize,
    max_heap_bytes: usize,
    /// The heap in use from which requests give way.
    max_heap_bytes_for_requests: usize,
    /// The memory reserved for responses that are being received.
    reserved_bytes: Cell<usize>,
    /// Lets incomplete requests give way while requests fill more than they may.
    relief: RefCell<Option<Relief>>,
    shed: RefCell<ShedRequests>,
    last_logged_at: Cell<Option<Instant>>,
}

/// A function that frees memory.
type Relief = Rc<dyn Fn()>;

/// The requests that gave way since the last log line about them.
#[derive(Clone, Copy, Debug, Default)]
struct ShedRequests {
    incomplete_rejected: u64,
    rejected: u64,
}

impl MemoryMonitor {
    /// Monitors a process that may use `max_memory_bytes`; `heap_bytes_in_use` returns the bytes that it has
    /// allocated.
    pub fn new(max_memory_bytes: u64, heap_bytes_in_use: fn() -> usize) -> Self {
        let max_heap_bytes = max_memory_bytes as f64 * HEAP_FRACTION;
        Self {
            heap_bytes_in_use,
            max_heap_bytes: max_heap_bytes as usize,
            max_heap_bytes_for_requests: (max_heap_bytes * (1.0 - RESPONSE_FRACTION)) as usize,
            reserved_bytes: Cell::default(),
            relief: RefCell::default(),
            shed: RefCell::default(),
            last_logged_at: Cell::default(),
        }
    }

    /// A monitor without a limit.
    pub fn unlimited() -> Self {
        Self::new(u64::MAX, || 0)
    }

    /// By how many bytes the heap and the reservations exceed what requests may fill.
    pub fn excess_bytes_of_requests(&self) -> usize {
        self.bytes_in_use().saturating_sub(self.max_heap_bytes_for_requests)
    }

    /// Whether the heap and the reservations exceed the limit.
    fn is_exceeded(&self) -> bool {
        self.bytes_in_use() > self.max_heap_bytes
    }

    /// The heap in use and the reservations.
    fn bytes_in_use(&self) -> usize {
        (self.heap_bytes_in_use)() + self.reserved_bytes.get()
    }

    /// Sets the function that lets incomplete requests give way while requests fill more than they may.
    pub(crate) fn set_relief(&self, relief: Rc<dyn Fn()>) {
        self.relief.replace(Some(relief));
    }

    fn relieve(&self) {
        let relief = self.relief.borrow().clone();
        if let Some(relief) = relief {
            relief();
        }
    }

    /// Reserves memory for a response until the reservation is dropped. Incomplete requests give way while requests
    /// fill more than they may; if the limit is exceeded nevertheless, waits for requests in progress to end.
    pub(crate) async fn reserve(&self, bytes: usize) -> MemoryReservation<'_> {
        self.relieve();
        while self.is_exceeded() {
            sleep(RESERVE_RETRY_DELAY).await;
            self.relieve();
        }
        self.reserved_bytes.set(self.reserved_bytes.get() + bytes);
        MemoryReservation { memory: self, bytes }
    }

    /// Records that an incomplete request was rejected for lack of memory.
    pub(crate) fn record_incomplete_rejected(&self) {
        self.shed.borrow_mut().incomplete_rejected += 1;
        self.log_shed_requests();
    }

    /// Records that a complete request was rejected for lack of memory.
    pub(crate) fn record_rejected(&self) {
        self.shed.borrow_mut().rejected += 1;
        self.log_shed_requests();
    }

    /// Logs the requests that gave way, at most once in [`LOG_INTERVAL`].
    fn log_shed_requests(&self) {
        if self.last_logged_at.get().is_some_and(|logged_at| logged_at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.last_logged_at.set(Some(Instant::now()));
        let ShedRequests { incomplete_rejected, rejected } = self.shed.take();
        log::write(format_args!(
            "memory: {self}; incomplete requests discarded: {incomplete_rejected}, requests rejected: {rejected}"
        ));
    }
}

/// Memory that is reserved until this is dropped.
pub(crate) struct MemoryReservation<'a> {
    memory: &'a MemoryMonitor,
    bytes: usize,
}

impl Drop for MemoryReservation<'_> {
    fn drop(&mut self) {
        self.memory.reserved_bytes.set(self.memory.reserved_bytes.get() - self.bytes);
    }
}

/// For the settings that contain a monitor.
impl fmt::Debug for MemoryMonitor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "MemoryMonitor({self})")
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
