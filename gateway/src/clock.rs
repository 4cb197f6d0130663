//! The gateway's clock, and conversions between its milliseconds and durations.

use ryefront_policy::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that is read once from the system and then advanced by the monotonic clock, so that it never
/// jumps or runs backwards. Counter keys contain window numbers, so all gateways need the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    unix_time_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// A clock that shows the system's time now.
    pub(crate) fn from_system_time() -> Self {
        // A system time before 1970 is certainly wrong: the clock starts at zero rather than fail.
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix_time_at_start, start: Instant::now() }
    }

    /// The time now, in milliseconds since 1970.
    pub(crate) fn now(&self) -> Millis {
        millis(self.unix_time_at_start + self.start.elapsed())
    }
}

/// Converts milliseconds to a duration; values that a duration cannot represent become zero.
pub(crate) fn duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
