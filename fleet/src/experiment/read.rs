//! Parses an experiment file and validates its values.

use super::error::{ExperimentError, InvalidReason};
use super::file::Experiment;
use super::location;
use std::path::Path;
use toml::de::DeTable;

impl Experiment {
    /// Reads, parses and validates an experiment file.
    ///
    /// # Errors
    /// When the file cannot be read, or a key or value in it is invalid.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ExperimentError::Unreadable { file: file.into(), source })?;
        Self::parse(&text, file)
    }

    /// Parses and validates an experiment. `file` is only named in errors.
    ///
    /// # Errors
    /// When a key or value is invalid.
    pub fn parse(text: &str, file: &Path) -> Result<Self, ExperimentError> {
        let invalid = |offset: usize, key: String, reason: InvalidReason| ExperimentError::Invalid {
            file: file.into(),
            line: location::line_of(text, offset),
            key,
            reason,
        };
        let table = DeTable::parse(text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let key = location::key_on_line(text, offset);
            invalid(offset, key, InvalidReason::Syntax(error.message().to_owned()))
        })?;
        let experiment: Self = toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            let mut key = location::key_at(table.get_ref(), &span);
            if let Some(field) = missing_field(error.message()) {
                key = if key.is_empty() { field.into() } else { format!("{key}.{field}") };
            }
            invalid(span.start, key, InvalidReason::Type(error.message().replace('\n', " ")))
        })?;
        match experiment.validate() {
            Ok(()) => Ok(experiment),
            Err(invalid_value) => {
                let offset = location::offset_of(&table, &invalid_value.key);
                Err(invalid(offset, invalid_value.key, invalid_value.reason))
            }
        }
    }
}

/// The name of the missing field, if that is what a message of the TOML deserializer reports.
fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.split('`').next()
}
