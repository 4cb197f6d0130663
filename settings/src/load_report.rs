//! Maps the value names of a load report to its fields.

use ryefront_policy::LoadReport;

/// Sets the value with this name in a load report. Names that the policy does not use are ignored.
pub fn set_load_value(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "outstanding" => report.in_flight = Some(value),
        "backlog" => report.queue_length = Some(value),
        "recent_ms" => report.service_time = Some(value),
        _ => {}
    }
}
