//! Rounding of the values in a report.

/// Rounds to six decimals, which is precise enough to compare results.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

/// The rounded ratio of a part to its total; 0 if the total is 0.
pub(super) fn fraction(part: u64, total: u64) -> f64 {
    round(part as f64 / total.max(1) as f64)
}
