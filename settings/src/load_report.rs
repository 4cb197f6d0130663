//! The names of the values in a load report.

use ryefront_policy::LoadReport;

/// Sets one named value of a load report; values that the policy has no use for are ignored.
pub fn set_load_value(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "outstanding" => report.in_flight = Some(value),
        "backlog" => report.queue_length = Some(value),
        "recent_ms" => report.service_time = Some(value),
        _ => {}
    }
}
