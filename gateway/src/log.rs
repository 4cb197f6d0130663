//! The log: lines on standard error.

use std::fmt::Display;
use std::io::{Write, stderr};

/// Writes one line. If it cannot be written (the disk is full, the reader has closed its end) it is dropped,
/// as that is no reason to stop serving.
pub fn write(line: impl Display) {
    let _ = stderr().write_all(format!("{line}\n").as_bytes());
}
