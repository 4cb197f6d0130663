//! Rounding of figures.

/// Six decimals, which is enough to compare results.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// A part as a fraction; 0 of nothing.
pub(super) fn fraction(part: u64, of: u64) -> f64 {
    round(part as f64 / of.max(1) as f64)
}
