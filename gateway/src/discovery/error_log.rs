//! Logs errors of polls, but only the first of each kind.

use crate::discovery::poll::PollError;
use crate::log;

/// A kind of error.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ErrorKind {
    Unreachable,
    UnexpectedStatus,
    InvalidList,
}

impl From<&PollError> for ErrorKind {
    fn from(error: &PollError) -> Self {
        match error {
            PollError::UnexpectedStatus(_) => Self::UnexpectedStatus,
            PollError::InvalidList(_) => Self::InvalidList,
            PollError::ConnectFailed
            | PollError::InvalidRequest(_)
            | PollError::ConnectionFailed
            | PollError::ConnectionClosed
            | PollError::NoResponse => Self::Unreachable,
        }
    }
}

/// Remembers which kinds of errors have been logged.
#[derive(Default)]
pub(super) struct ErrorLog {
    logged: Vec<ErrorKind>,
}

impl ErrorLog {
    /// Logs an error unless one of its kind has been logged.
    pub(super) fn log_once(&mut self, error: &PollError) {
        let kind = error.into();
        if !self.logged.contains(&kind) {
            self.logged.push(kind);
            log::write(format_args!("discovery: {error} (logged once)"));
        }
    }
}
