//! Formats cost curves as JSON and as Markdown tables.

use super::fit::CostCurve;
use std::fmt::Write;

/// Serializes cost curves as an indented JSON array with a trailing line feed.
///
/// # Panics
/// Never: a cost curve contains only strings, numbers and booleans, which always serialize.
pub fn json(curves: &[CostCurve]) -> String {
    serde_json::to_string_pretty(curves).expect("cost curves serialize as JSON") + "\n"
}

/// Formats cost curves as a Markdown table, followed by a second one with their requirements.
pub fn table(curves: &[CostCurve]) -> String {
    let mut text = String::from(
        "| figure | unit | size: value | fit | slope | at target |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for curve in curves {
        text.push_str(&cost_row(curve));
    }
    text.push_str("\n| figure | required | found | met |\n| --- | --- | --- | --- |\n");
    for curve in curves {
        text.push_str(&requirement_row(curve));
    }
    text
}

fn cost_row(curve: &CostCurve) -> String {
    let points: Vec<String> =
        curve.points.iter().map(|point| format!("{}: {}", point.size, format_value(point.value))).collect();
    format!(
        "| {} | {} | {} {} | {} | {:.6} | {} at {} |\n",
        curve.name,
        curve.unit,
        curve.size.label(),
        points.join(", "),
        curve.fit.label(),
        curve.slope,
        format_value(curve.at_target),
        curve.target
    )
}

/// Returns an empty string for a cost without a requirement.
fn requirement_row(curve: &CostCurve) -> String {
    let mut row = String::new();
    if let Some(requirement) = &curve.requirement {
        let met = if requirement.met { "yes" } else { "NO" };
        let found = format_value(requirement.value);
        // Writing to a String cannot fail.
        let _ = writeln!(row, "| {} | {} | {found} | {met} |", curve.name, requirement.description);
    }
    row
}

/// Three decimals below 1000, none above.
fn format_value(value: f64) -> String {
    if value.abs() < 1000.0 { format!("{value:.3}") } else { format!("{value:.0}") }
}
