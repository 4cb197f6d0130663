//! The error of an exchange on a connection.

use thiserror::Error;

/// Why an exchange failed, by its progress: whether the server may have run the request depends on it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("the exchange failed before the request was written")]
    NotSent,
    /// Some bytes of the request were written, but not the last.
    #[error("the exchange failed while the request was written")]
    PartiallySent,
    /// The request was written completely, but no response began, apart from complete interim responses.
    #[error("the exchange failed before a response began")]
    NoResponse,
    /// A response began, but it is malformed, too large or incomplete, or its length may be too short.
    #[error("the response is malformed, too large or incomplete, or its length may be too short")]
    InvalidResponse,
}
