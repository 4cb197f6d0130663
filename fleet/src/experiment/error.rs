//! Errors in experiment files.

use super::file::Interval;
use std::fmt;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// An experiment file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A key or its value is invalid.
    #[error("{}:{line}: {key}: {reason}", file.display())]
    Invalid {
        /// The path of the file.
        file: PathBuf,
        /// The line number, starting at 1.
        line: usize,
        /// The dotted key, including the tables that contain it.
        key: String,
        /// Why the key or its value is invalid.
        reason: InvalidReason,
    },
}

/// Why a key or its value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidReason {
    /// The file is not valid TOML.
    #[error("{0}; expected TOML")]
    Syntax(String),
    /// A key is missing or unknown, or its value has the wrong type.
    #[error("{0}")]
    Type(String),
    /// A number is out of range.
    #[error("found {found}; expected a number {range}")]
    OutOfRange {
        /// The number in the file.
        found: f64,
        /// The allowed values.
        range: ValueRange,
    },
    /// A bound of an interval is out of range, or the lower bound is not first.
    #[error("found [{}, {}]; expected two numbers {range}, the lesser first", found.low, found.high)]
    InvalidInterval {
        /// The interval in the file.
        found: Interval<f64>,
        /// The allowed values of both bounds.
        range: ValueRange,
    },
}

/// The range of allowed values, bounds included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange {
    /// The lower bound; [`ValueRange::POSITIVE`] allows any number above 0.
    pub min: f64,
    /// The upper bound.
    pub max: f64,
}

impl ValueRange {
    /// The lower bound that excludes 0 and negative numbers.
    pub const POSITIVE: f64 = f64::MIN_POSITIVE;

    pub(super) fn contains(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}

impl From<RangeInclusive<f64>> for ValueRange {
    fn from(range: RangeInclusive<f64>) -> Self {
        Self { min: *range.start(), max: *range.end() }
    }
}

impl fmt::Display for ValueRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.min == Self::POSITIVE {
            write!(f, "above 0, at most {}", self.max)
        } else {
            write!(f, "from {}, at most {}", self.min, self.max)
        }
    }
}
