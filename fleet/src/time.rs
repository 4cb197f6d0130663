//! Virtual time: integer microseconds since the start of the simulation.

use ryefront_policy::Millis;

/// Microseconds: a point in virtual time, or a duration.
pub(crate) type Micros = u64;

/// The gateways' clocks at the start of the simulation, so that no endpoint starts at 0, which on the wire is
/// an unknown start.
const EPOCH: Millis = 1e9;

/// A duration in ms, rounded down.
pub(crate) fn from_ms(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

/// A duration in ms, rounded up.
pub(crate) fn from_ms_ceil(ms: f64) -> Micros {
    (ms * 1000.0).ceil() as Micros
}

/// A duration in s, rounded down.
pub(crate) fn from_s(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

pub(crate) fn to_ms(duration: Micros) -> Millis {
    duration as f64 / 1000.0
}

/// The gateways' clocks at a point in virtual time.
pub(crate) fn wall_clock(now: Micros) -> Millis {
    EPOCH + now as f64 / 1000.0
}
