//! Reads the fields of a line in order and converts them to their types.

use crate::wire::{ABSENT, FALSE, FIELD_SEPARATOR, TRUE};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ryefront_policy::{Millis, Name};
use std::str::{FromStr, Split};

/// A field that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// The line has no such field, or its value is absent.
    #[error("{field} is missing")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// The value is not of the field's type.
    #[error("{field} is {value:?}, expected {expected}")]
    Value {
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

impl InvalidField {
    pub(crate) fn missing(field: &'static str) -> Self {
        Self::Missing { field }
    }

    pub(crate) fn value(field: &'static str, value: &str, expected: &'static str) -> Self {
        Self::Value { field, value: value.to_owned(), expected }
    }
}

/// The fields of a line that have not been read yet. Each method reads the next one and names it `field` in
/// errors.
pub(crate) struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a str) -> Self {
        Self(line.split(FIELD_SEPARATOR))
    }

    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, InvalidField> {
        self.0.next().ok_or(InvalidField::missing(field))
    }

    /// Reads a name, which must not be empty.
    pub(crate) fn name(&mut self, field: &'static str) -> Result<Name, InvalidField> {
        match self.text(field)? {
            "" => Err(InvalidField::missing(field)),
            name => Ok(name.into()),
        }
    }

    pub(crate) fn integer<T: FromStr>(&mut self, field: &'static str) -> Result<T, InvalidField> {
        self.optional_integer(field)?.ok_or(InvalidField::missing(field))
    }

    pub(crate) fn optional_integer<T: FromStr>(
        &mut self, field: &'static str,
    ) -> Result<Option<T>, InvalidField> {
        self.optional(field, "a whole number")
    }

    pub(crate) fn optional_number(&mut self, field: &'static str) -> Result<Option<f64>, InvalidField> {
        self.optional(field, "a number")
    }

    /// Reads a time or duration, which must be present and finite.
    pub(crate) fn millis(&mut self, field: &'static str) -> Result<Millis, InvalidField> {
        let value = self.optional_number(field)?.ok_or(InvalidField::missing(field))?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(InvalidField::value(field, &value.to_string(), "a finite number"))
        }
    }

    /// Reads a boolean. An absent one is false.
    pub(crate) fn boolean(&mut self, field: &'static str) -> Result<bool, InvalidField> {
        match self.text(field)? {
            TRUE => Ok(true),
            FALSE | ABSENT => Ok(false),
            other => Err(InvalidField::value(field, other, "0 or 1")),
        }
    }

    /// Reads base64-encoded bytes. An absent field is an empty sequence.
    pub(crate) fn base64(&mut self, field: &'static str) -> Result<Vec<u8>, InvalidField> {
        let text = self.text(field)?;
        if text == ABSENT {
            return Ok(Vec::new());
        }
        STANDARD.decode(text).map_err(|_| InvalidField::value(field, text, "base64"))
    }

    /// Returns the rest of the line, including its separators.
    pub(crate) fn remaining_text(self) -> String {
        let fields: Vec<&str> = self.0.collect();
        fields.join(&FIELD_SEPARATOR.to_string())
    }

    fn optional<T: FromStr>(
        &mut self, field: &'static str, expected: &'static str,
    ) -> Result<Option<T>, InvalidField> {
        let text = self.text(field)?;
        if text == ABSENT || text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| InvalidField::value(field, text, expected))
    }
}
