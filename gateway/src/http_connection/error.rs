//! Why an exchange on a connection failed.

use thiserror::Error;

/// Why an exchange failed, by how far it had got.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("the connection ended before the request was written")]
    NotSent,
    /// At least a byte of the request was written, but not its last.
    #[error("the connection ended while the request was written")]
    PartiallySent,
    /// The request was written completely and no response began.
    #[error("the connection ended before the response")]
    NoResponse,
    /// A response began, but none that can be used.
    #[error("the response is malformed, too large or incomplete")]
    InvalidResponse,
}
