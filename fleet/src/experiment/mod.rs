//! Experiments: what a file describes, how it is read, and which values it may have.
//!
//! - `file`: the types of an experiment, with the keys of the file.
//! - `validate`: the ranges of its figures.
//! - `location`: the line of a key, for errors.

mod file;
mod location;
mod validate;

pub use file::{
    Class, Counter, Discovery, Endpoints, Experiment, Fleet, Idempotency, Interval, Load, Network, Plan,
    Rollout, Scale,
};

use std::path::{Path, PathBuf};
use toml::de::DeTable;

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

    fn contains(&self, value: f64) -> bool {
        (self.min..=self.max).contains(&value)
    }
}

impl std::fmt::Display for Range {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.min == Self::POSITIVE {
            write!(f, "above 0, at most {}", self.max)
        } else {
            write!(f, "from {}, at most {}", self.min, self.max)
        }
    }
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// When it cannot be read or a value in it cannot be used.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ExperimentError::Unreadable { file: file.into(), source })?;
        Self::parse(&text, file)
    }

    /// Reads an experiment from text; `file` is named in errors.
    ///
    /// # Errors
    /// When a value cannot be used.
    pub fn parse(text: &str, file: &Path) -> Result<Self, ExperimentError> {
        let invalid = |offset: usize, key: String, problem: Problem| ExperimentError::Invalid {
            file: file.into(),
            line: location::line_of(text, offset),
            key,
            problem,
        };
        let table = DeTable::parse(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let key = location::key_on_line(text, offset);
            invalid(offset, key, Problem::Syntax(error.message().to_owned()))
        })?;
        let experiment: Self = toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            let mut key = location::key_at(table.get_ref(), &span);
            if let Some(field) = missing_field(error.message()) {
                key = if key.is_empty() { field.into() } else { format!("{key}.{field}") };
            }
            invalid(span.start, key, Problem::Type(error.message().replace('\n', " ")))
        })?;
        match experiment.validate() {
            Ok(()) => Ok(experiment),
            Err(invalid_value) => {
                let offset = location::offset_of(&table, &invalid_value.key);
                Err(invalid(offset, invalid_value.key, invalid_value.problem))
            }
        }
    }
}

/// The field that a message of the deserializer says is missing.
fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.split('`').next()
}
