//! The log: lines on standard error.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::retry_on_intr;
use std::fmt::Display;
use std::io::{Write, stderr};

/// A pipe that is reported as writable has room for this many bytes: `PIPE_BUF` of Linux.
const MAX_LINE_BYTES: usize = 4096;

/// Writes one line, cut to 4096 bytes. If it cannot be written at once (the disk is full, the reader has closed its
/// end or does not read) it is dropped, as that is no reason to stop serving.
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

/// Whether standard error accepts a line without a wait.
fn is_writable() -> bool {
    let stderr = stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let polled = retry_on_intr(|| poll(&mut descriptors, Some(&Timespec::default())));
    polled.is_ok_and(|ready| ready > 0)
}
