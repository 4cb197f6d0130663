//! The counter's commands and replies in RESP2.

use redis_protocol::error::RedisProtocolError;
use redis_protocol::resp2::decode::decode;
use redis_protocol::resp2::types::{FrameKind, OwnedFrame, Resp2Frame};
use ryefront_policy::Millis;
use std::collections::VecDeque;

/// The maximum size of an incomplete reply.
const MAX_BUFFERED_BYTES: usize = 4096;

/// The end of every reply.
const LINE_END: &[u8] = b"\r\n";

/// Amounts are rounded to a millionth of a unit.
const AMOUNT_STEPS_PER_UNIT: f64 = 1e6;

/// A command to the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Command {
    /// Adds an amount to a counter and returns the new total.
    Increment { key: u64, amount: f64, ttl: Millis },
    /// Prevents the counter from closing an idle connection.
    Ping,
}

impl Command {
    /// Appends the command to `output` as a RESP2 array of bulk strings.
    pub(super) fn encode(&self, output: &mut VecDeque<u8>) {
        match self {
            Self::Increment { key, amount, ttl } => {
                let amount = (amount * AMOUNT_STEPS_PER_UNIT).round() / AMOUNT_STEPS_PER_UNIT;
                let ttl_ms = ttl.ceil().max(1.0) as u64;
                encode_array(&["ADDGET", &key.to_string(), &amount.to_string(), &ttl_ms.to_string()], output);
            }
            Self::Ping => encode_array(&["PING"], output),
        }
    }
}

fn encode_array(arguments: &[&str], output: &mut VecDeque<u8>) {
    output.extend(format!("*{}\r\n", arguments.len()).bytes());
    for argument in arguments {
        output.extend(format!("${}\r\n{argument}\r\n", argument.len()).bytes());
    }
}

/// A complete reply of the counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reply {
    /// The amount was added, which resulted in this total.
    Total(f64),
    /// The call was rejected, and nothing was added.
    Rejected,
    /// The reply to [`Command::Ping`].
    Pong,
}

impl Reply {
    /// Decodes a frame as the reply to `oldest`, the oldest command in flight.
    pub(super) fn decode(frame: &OwnedFrame, oldest: Option<Command>) -> Result<Self, ReplyError> {
        let command = oldest.ok_or(ReplyError::Unsolicited)?;
        let reply = match frame {
            OwnedFrame::BulkString(text) => parse_total(text).map(Self::Total),
            // Only these errors guarantee that nothing was added.
            OwnedFrame::Error(error) if error.starts_with("BUSY") || error.starts_with("ERR") => {
                Some(Self::Rejected)
            }
            OwnedFrame::SimpleString(_) if command == Command::Ping => Some(Self::Pong),
            _ => None,
        };
        reply.ok_or_else(|| ReplyError::Unexpected {
            command,
            received: frame.kind(),
            text: frame.as_str().unwrap_or_default().to_owned(),
        })
    }
}

fn parse_total(text: &[u8]) -> Option<f64> {
    let total = std::str::from_utf8(text).ok()?.parse::<f64>().ok()?;
    total.is_finite().then_some(total)
}

/// A reply that cannot be decoded or matched to a call. The replies after it on the connection are unusable
/// too.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReplyError {
    #[error("malformed reply, expected RESP2: {0}")]
    Malformed(RedisProtocolError),
    /// The decoder skips the bytes after a bulk string without a check.
    #[error("malformed reply, expected RESP2: no line end after the length that the reply gives")]
    WrongLength,
    #[error("a reply of {received} bytes or more, expected {MAX_BUFFERED_BYTES} at most")]
    TooLong { received: usize },
    #[error("a reply was not complete within {limit_ms} ms")]
    Incomplete { limit_ms: u128 },
    #[error("a reply without a call in flight")]
    Unsolicited,
    #[error("unusable {received:?} {text:?} in reply to {command:?}, expected a finite total, BUSY or ERR")]
    Unexpected { command: Command, received: FrameKind, text: String },
}

/// The received bytes that are not decoded yet.
#[derive(Default)]
pub(super) struct ReplyBuffer {
    bytes: Vec<u8>,
}

impl ReplyBuffer {
    /// Appends received bytes.
    pub(super) fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether the beginning of an incomplete reply is buffered.
    pub(super) fn has_partial_reply(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Removes and returns the next complete frame, if any.
    pub(super) fn next_frame(&mut self) -> Result<Option<OwnedFrame>, ReplyError> {
        let Some((frame, length)) = decode(&self.bytes).map_err(ReplyError::Malformed)? else {
            return Ok(None);
        };
        if !self.bytes[..length].ends_with(LINE_END) {
            return Err(ReplyError::WrongLength);
        }
        self.bytes.drain(..length);
        Ok(Some(frame))
    }

    /// Returns an error if the partial reply is longer than any valid reply.
    pub(super) fn check_length(&self) -> Result<(), ReplyError> {
        let received = self.bytes.len();
        if received > MAX_BUFFERED_BYTES { Err(ReplyError::TooLong { received }) } else { Ok(()) }
    }
}
