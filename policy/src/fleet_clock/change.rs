//! Changes of a gateway's fleet clock that the host logs.

use crate::Millis;
use std::fmt;

/// A change of a gateway's fleet clock that the host logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClockChange {
    /// No gateway was present within the last minute: this gateway's local clock becomes the fleet's.
    Initialized,
    /// Gateways were present within the last minute, but none has written the register. This gateway's own
    /// clock becomes the fleet's; it may agree with the time that the fleet had before.
    Resumed,
    /// As [`Self::Resumed`], but this gateway's local clock contradicts the time that the fleet had before.
    /// Earlier counts cannot be found.
    Reset,
    /// The offset from this gateway's local clock has changed.
    Adjusted {
        /// The change of the offset since the last one that was reported.
        by: Millis,
    },
}

impl ClockChange {
    /// Returns whether the fleet's counts until now cannot be found any more, so that the host has to pass
    /// [`Event::CountsLost`](crate::Event::CountsLost) to its engine.
    pub fn loses_counts(self) -> bool {
        self == Self::Reset
    }
}

impl fmt::Display for ClockChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Initialized => {
                f.write_str("no other gateway was present in the last minute; using the local clock")
            }
            Self::Resumed => {
                f.write_str("no other gateway maintains the fleet's time; using the local clock")
            }
            Self::Reset => f.write_str(
                "no other gateway maintains the fleet's time, and the local clock differs from it; using the \
                 local clock and treating quotas as spent",
            ),
            Self::Adjusted { by } => write!(f, "offset adjusted by {by:.0} ms to match the fleet"),
        }
    }
}
