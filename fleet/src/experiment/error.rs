//! Why an experiment file cannot be used.

use super::file::Interval;
use std::fmt;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// An experiment file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A key or its value is invalid.
    #[error("{}:{line}: {key}: {problem}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key, with the tables that contain it.
        key: String,
        /// What is wrong with it.
        problem: Problem,
    },
}

/// What is wrong with a key or its value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The file is not TOML.
    #[error("{0}; expected TOML")]
    Syntax(String),
    /// A key is missing or unknown, or its value has the wrong type.
    #[error("{0}")]
    Type(String),
    /// A number is out of range.
    #[error("found {found}; expected a number {range}")]
    OutOfRange {
        /// The number.
        found: f64,
        /// What it may be.
        range: Range,
    },
    /// An interval is out of range or not in order.
    #[error("found [{}, {}]; expected two numbers {range}, the lesser first", found.low, found.high)]
    InvalidInterval {
        /// The interval.
        found: Interval<f64>,
        /// What its bounds may be.
        range: Range,
    },
}

/// The numbers that a value may be, bounds included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least; [`Range::POSITIVE`] for any number above 0.
    pub min: f64,
    /// The most.
    pub max: f64,
}

impl Range {
    /// The least number above 0, as a bound.
    pub const POSITIVE: f64 = f64::MIN_POSITIVE;

    pub(super) fn contains(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}

impl From<RangeInclusive<f64>> for Range {
    fn from(range: RangeInclusive<f64>) -> Self {
        Self { min: *range.start(), max: *range.end() }
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.min == Self::POSITIVE {
            write!(f, "above 0, at most {}", self.max)
        } else {
            write!(f, "from {}, at most {}", self.min, self.max)
        }
    }
}
