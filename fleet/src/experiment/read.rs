//! Reads an experiment file.

use super::error::{ExperimentError, Problem};
use super::file::Experiment;
use super::location;
use std::path::Path;
use toml::de::DeTable;

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
