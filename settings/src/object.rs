//! Typed access to the values of a JSON object.

use serde_json::Value;

/// Why a settings object is invalid.
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
        /// The key of the value.
        key: String,
        /// The expected type.
        expected: &'static str,
    },
    /// A string is none of the allowed values.
    #[error("settings: {key} is {found:?}, expected {expected}")]
    UnknownValue {
        /// The key of the value.
        key: &'static str,
        /// The unknown value.
        found: String,
        /// The allowed values.
        expected: &'static str,
    },
}

/// A JSON object of the settings. A missing key reads as zero, false or empty, unless the method says
/// otherwise. A value of the wrong type is an error.
#[derive(Clone, Copy, Debug)]
pub struct Object<'a>(pub(crate) &'a Value);

impl<'a> Object<'a> {
    /// Returns the object under a key of the object `value`, or an empty object if the key is missing.
    ///
    /// # Errors
    /// If the value under the key is not an object.
    pub fn member(value: &'a Value, key: &str) -> Result<Self, ReadError> {
        match value.get(key) {
            None => Ok(Self(&Value::Null)),
            Some(object) if object.is_object() => Ok(Self(object)),
            Some(_) => Err(ReadError::WrongType { key: key.to_owned(), expected: "an object" }),
        }
    }

    /// Returns the number under a key.
    ///
    /// # Errors
    /// If the value under the key is not a number.
    pub fn number(&self, key: &str) -> Result<f64, ReadError> {
        self.value_or(key, "a number", 0.0, Value::as_f64)
    }

    /// Returns the unsigned integer under a key.
    pub(crate) fn integer(&self, key: &str) -> Result<u32, ReadError> {
        let to_u32 = |value: &Value| value.as_u64().and_then(|number| u32::try_from(number).ok());
        self.value_or(key, "a small whole number", 0, to_u32)
    }

    /// Returns the boolean under a key.
    pub(crate) fn boolean(&self, key: &str) -> Result<bool, ReadError> {
        self.boolean_or(key, false)
    }

    /// Returns the boolean under a key, or `default` if the key is missing.
    pub(crate) fn boolean_or(&self, key: &str, default: bool) -> Result<bool, ReadError> {
        self.value_or(key, "true or false", default, Value::as_bool)
    }

    /// Returns the string under a key.
    pub(crate) fn string(&self, key: &str) -> Result<&'a str, ReadError> {
        self.value_or(key, "a text", "", Value::as_str)
    }

    /// Returns the elements of the array under a key.
    pub(crate) fn array(&self, key: &str) -> Result<&'a [Value], ReadError> {
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
