//! The gateway's clock, and conversions between its milliseconds and durations.

use ryefront_policy::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that is read once from the system clock and then advanced by the monotonic clock, so that it
/// never jumps or runs backwards. Counter keys are derived from window numbers, so all gateways need the
/// same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    unix_time_at_start: Duration,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the system time.
    pub(crate) fn from_system_time() -> Self {
        // A system time before 1970 is certainly wrong. It becomes 0, so that the gateway starts all the same.
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { unix_time_at_start, start: Instant::now() }
    }

    /// Returns the time in milliseconds since 1970.
    pub(crate) fn now(&self) -> Millis {
        millis(self.unix_time_at_start + self.start.elapsed())
    }
}

/// Converts milliseconds to a duration. Values that a duration cannot represent, such as negative ones,
/// become zero.
pub(crate) fn duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// Converts a duration to milliseconds.
pub(crate) fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * 1000.0
}
