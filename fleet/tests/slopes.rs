//! The fitted functions and the form of the output of `slopes`. Measured times are not tested.

use ryefront_fleet::slopes::{CostCurve, Dimension, Fit, MemoryLoad, Point, Sizes, json, measure};
use std::process::Command;
use std::time::Duration;

#[test]
fn fits_a_line_or_a_logarithm_and_evaluates_it_at_the_target() {
    let sizes = [200.0, 800.0, 3200.0, 10_000.0];
    for fit in [Fit::Linear, Fit::Log] {
        let of = |x: f64| 3.0 + 0.5 * if fit == Fit::Log { x.ln() } else { x };
        let points = sizes.map(|size| Point { size, value: of(size) }).to_vec();

        let curve = CostCurve::fitted("a cost", "us", Dimension::Endpoints, points);

        assert_eq!(curve.fit, fit);
        let found = [curve.slope, curve.intercept, curve.at_target];
        let wanted = [0.5, 3.0, of(26_000.0)];
        assert!(
            found.iter().zip(wanted).all(|(f, w)| (f - w).abs() < 1e-6),
            "{fit:?}: {found:?}, not {wanted:?}"
        );
    }
}

#[test]
fn every_figure_is_measured_at_all_sizes() {
    let sizes = Sizes {
        endpoints: vec![20, 60],
        tenants: vec![10, 2000],
        routes: vec![1, 10],
        repeat_for: Duration::ZERO,
    };
    let memory = |load, size: usize| {
        let load = if load == MemoryLoad::Tenants { "tenants" } else { "endpoints" };
        let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
            .args(["memory", load, &size.to_string()])
            .output()
            .expect("it runs");
        Ok(String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number of bytes"))
    };
    let slopes = measure(&sizes, &memory).expect("figures");
    let text: serde_json::Value = serde_json::from_str(&json(&slopes)).expect("JSON");
    let rows = text.as_array().expect("an array");
    for row in rows {
        assert!(row["name"].is_string() && row["unit"].is_string() && row["at_target"].is_f64(), "{row}");
        let found: Vec<_> = row["points"].as_array().into_iter().flatten().map(|p| p[0].as_f64()).collect();
        let sizes = match row["size"].as_str() {
            Some("tenants") => &sizes.tenants,
            Some("routes") => &sizes.routes,
            _ => &sizes.endpoints,
        };
        assert_eq!(found, sizes.iter().map(|s| Some(*s as f64)).collect::<Vec<_>>(), "{row}");
    }
    let required: Vec<_> =
        rows.iter().filter(|r| r["requirement"].is_object()).map(|r| r["name"].as_str()).collect();
    let wanted = [
        "one request's decisions",
        "endpoint list snapshot, first",
        "endpoint list snapshot, repeated",
        "endpoint list snapshot over a socket",
        "delta of 10 endpoints",
    ];
    assert!(wanted.iter().all(|w| required.contains(&Some(*w))), "{required:?}");
    let tenants =
        slopes.iter().find(|s| s.name.contains("tenants known") && s.unit == "bytes").expect("the row");
    assert!(tenants.points[1].value > tenants.points[0].value, "{tenants:?}");
}
