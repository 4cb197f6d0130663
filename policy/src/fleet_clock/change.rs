//! What an operator should know of a gateway's fleet clock.

use crate::Millis;
use std::fmt;

/// Something that an operator should know of a gateway's fleet clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClockChange {
    /// No gateway was present: this one's own time is the fleet's.
    FirstOfFleet,
    /// Gateways were present within the last minute, but none has written the register. This one's own time
    /// is the fleet's from now on, and it may have been so before.
    Resumed,
    /// The same, but this gateway's own time was not the fleet's before: earlier counts cannot be found.
    Replaced,
    /// The offset from this gateway's own clock has changed.
    Moved {
        /// By how much the fleet's time at this gateway has jumped.
        by: Millis,
    },
}

impl ClockChange {
    /// Returns whether the counts of the fleet until now cannot be found any more, so that the host is to
    /// pass [`Event::CountsLost`](crate::Event::CountsLost) to its engine.
    pub fn loses_counts(self) -> bool {
        self == Self::Replaced
    }
}

impl fmt::Display for ClockChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FirstOfFleet => f.write_str("no other gateway was present, using this machine's time"),
            Self::Resumed => f.write_str("no other gateway keeps the time, using this machine's"),
            Self::Replaced => f.write_str(
                "no other gateway keeps the time, and this machine's differs; quotas are taken as spent",
            ),
            Self::Moved { by } => write!(f, "moved by {by:.0} ms to agree with the fleet"),
        }
    }
}
