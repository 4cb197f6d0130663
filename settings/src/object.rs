//! Typed access to the values of a JSON object.

use serde_json::Value;

/// A settings object that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The settings are not a JSON object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A value has the wrong type.
    #[error("settings: {key} is not {expected}")]
    WrongType {
        /// The value's key.
        key: String,
        /// The type that was expected.
        expected: &'static str,
    },
    /// A value is none of the words that are allowed.
    #[error("settings: {key} is {found:?}, expected {expected}")]
    UnknownWord {
        /// The value's key.
        key: &'static str,
        /// The word found.
        found: String,
        /// The words that are allowed.
        expected: &'static str,
    },
}

/// One JSON object of the settings. A missing key reads as zero, as false or as empty, unless its method says
/// otherwise; a value of the wrong type is an error.
#[derive(Clone, Copy, Debug)]
pub struct Object<'a>(pub(crate) &'a Value);

impl<'a> Object<'a> {
    /// Returns the object under a key of `value`, or an empty one if the key is missing.
    ///
    /// # Errors
    /// When the value under the key is not an object.
    pub fn of(value: &'a Value, key: &str) -> Result<Self, ReadError> {
        match value.get(key) {
            None => Ok(Self(&Value::Null)),
            Some(object) if object.is_object() => Ok(Self(object)),
            Some(_) => Err(ReadError::WrongType { key: key.to_owned(), expected: "an object" }),
        }
    }

    /// Returns the number under a key.
    ///
    /// # Errors
    /// When the value under the key is not a number.
    pub fn number(&self, key: &str) -> Result<f64, ReadError> {
        self.value_or(key, "a number", 0.0, Value::as_f64)
    }

    /// Returns the whole number under a key.
    pub(crate) fn count(&self, key: &str) -> Result<u32, ReadError> {
        let to_u32 = |value: &Value| value.as_u64().and_then(|number| u32::try_from(number).ok());
        self.value_or(key, "a small whole number", 0, to_u32)
    }

    /// Returns whether the value under a key is true.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, ReadError> {
        self.value_or(key, "true or false", false, Value::as_bool)
    }

    /// Returns whether something is permitted. A missing key reads as true: what the settings do not mention
    /// is permitted.
    pub(crate) fn permits(&self, key: &str) -> Result<bool, ReadError> {
        self.value_or(key, "true or false", true, Value::as_bool)
    }

    pub(crate) fn text(&self, key: &str) -> Result<&'a str, ReadError> {
        self.value_or(key, "a text", "", Value::as_str)
    }

    pub(crate) fn list(&self, key: &str) -> Result<&'a [Value], ReadError> {
        self.value_or(key, "a list", &[][..], |value| value.as_array().map(Vec::as_slice))
    }

    fn value_or<T>(
        &self, key: &str, expected: &'static str, default: T, convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ReadError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => {
                convert(value).ok_or_else(|| ReadError::WrongType { key: key.to_owned(), expected })
            }
        }
    }
}
