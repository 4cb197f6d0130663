//! Virtual time, in integer microseconds since the start of the simulation, and its conversions.

use ryefront_policy::Millis;

/// A point in virtual time or a duration, in microseconds.
pub(crate) type Micros = u64;

/// What the gateways' clocks show at the start of the simulation. Not 0, because a start time of 0 in an
/// endpoint list means that the start time is unknown.
const WALL_CLOCK_AT_START: Millis = 1e9;

/// Converts milliseconds, rounding down.
pub(crate) fn from_ms(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

/// Converts milliseconds, rounding up.
pub(crate) fn from_ms_ceil(ms: f64) -> Micros {
    (ms * 1000.0).ceil() as Micros
}

/// Converts seconds, rounding down.
pub(crate) fn from_s(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

pub(crate) fn to_ms(duration: Micros) -> Millis {
    duration as f64 / 1000.0
}

/// What the gateways' clocks show at a point in virtual time.
pub(crate) fn wall_clock(now: Micros) -> Millis {
    WALL_CLOCK_AT_START + now as f64 / 1000.0
}
