//! The log, which is written to standard error.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use std::fmt::Display;
use std::io::{Write, stderr};

/// The maximum length of a line. A pipe that is reported as writable has room for this many bytes (`PIPE_BUF`
/// on Linux).
const MAX_LINE_BYTES: usize = 4096;

/// Writes one line, truncated to 4096 bytes. A line that cannot be written at once is dropped, so that the
/// gateway continues to serve when the disk is full or the reader of a pipe has closed it or does not read.
pub fn write(line: impl Display) {
    if !is_writable() {
        return;
    }
    let mut line = format!("{line}\n").into_bytes();
    if line.len() > MAX_LINE_BYTES {
        line.truncate(MAX_LINE_BYTES - 1);
        line.push(b'\n');
    }
    let _ = stderr().write_all(&line);
}

/// Returns whether a write to standard error would not block.
fn is_writable() -> bool {
    let stderr = stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let polled = retry_on_intr(|| poll(&mut descriptors, Some(&Timespec::default())));
    polled.is_ok_and(|ready| ready > 0)
}
