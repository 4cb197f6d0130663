//! Parses load reports, from a response header or from the response body of a health check.

use crate::headers::LOAD_REPORT_PREFIX;
use ryefront_policy::LoadReport;
use ryefront_settings::set_load_value;

/// Larger values are ignored as implausible.
const MAX_LOAD_VALUE: f64 = 1e6;

/// Parses a report such as `TEXT inflight=7, queue=2`. Invalid values are ignored. Returns `None` if the
/// prefix is missing.
pub(super) fn parse(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let values = text.trim().strip_prefix(LOAD_REPORT_PREFIX)?;
    for pair in values.split(',') {
        if let Some((name, value)) = pair.split_once('=')
            && let Ok(value) = value.trim().parse::<f64>()
            && (0.0..=MAX_LOAD_VALUE).contains(&value)
        {
            set_load_value(&mut report, name.trim(), value);
        }
    }
    Some(report)
}
