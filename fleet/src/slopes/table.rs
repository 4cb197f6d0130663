//! The output of all figures: as JSON, and as Markdown tables.

use super::fit::Slope;
use std::fmt::Write;

/// All figures as JSON: an array of objects, with a line feed at its end.
///
/// # Panics
/// Never: all figures can be written as JSON.
pub fn json(slopes: &[Slope]) -> String {
    serde_json::to_string_pretty(slopes).expect("all figures can be written as JSON") + "\n"
}

/// All figures as a table, and what is required of them as another.
pub fn table(slopes: &[Slope]) -> String {
    let mut text = String::from(
        "| figure | unit | size: value | fit | slope | at target |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for slope in slopes {
        text.push_str(&figure_row(slope));
    }
    text.push_str("\n| figure | required | found | met |\n| --- | --- | --- | --- |\n");
    for slope in slopes {
        text.push_str(&requirement_row(slope));
    }
    text
}

fn figure_row(slope: &Slope) -> String {
    let points: Vec<String> =
        slope.points.iter().map(|point| format!("{}: {}", point.size, figure(point.value))).collect();
    format!(
        "| {} | {} | {} {} | {} | {:.6} | {} at {} |\n",
        slope.name,
        slope.unit,
        slope.size.label(),
        points.join(", "),
        slope.fit.label(),
        slope.slope,
        figure(slope.at_target),
        slope.target
    )
}

/// Empty for a figure of which nothing is required.
fn requirement_row(slope: &Slope) -> String {
    let mut row = String::new();
    if let Some(requirement) = &slope.requirement {
        let met = if requirement.met { "yes" } else { "NO" };
        let found = figure(requirement.value);
        // Writing to a String cannot fail.
        let _ = writeln!(row, "| {} | {} | {found} | {met} |", slope.name, requirement.description);
    }
    row
}

fn figure(value: f64) -> String {
    if value.abs() < 1000.0 { format!("{value:.3}") } else { format!("{value:.0}") }
}
