//! The functions that `slopes` fits, and the format of its output. Measured times are not tested, as they
//! depend on the machine.

use ryefront_fleet::slopes::{CostCurve, Dimension, Fit, MemoryLoad, Point, Sizes, json, measure};
use std::process::Command;
use std::time::Duration;

#[test]
fn fits_a_line_or_a_logarithm_and_evaluates_it_at_the_target() {
    let sizes = [200.0, 800.0, 3200.0, 10_000.0];
    for fit in [Fit::Linear, Fit::Log] {
        let function = |x: f64| 3.0 + 0.5 * if fit == Fit::Log { x.ln() } else { x };
        let points = sizes.map(|size| Point { size, value: function(size) }).to_vec();

        let curve = CostCurve::fitted("a cost", "us", Dimension::Endpoints, points);

        assert_eq!(curve.fit, fit);
        let found = [curve.slope, curve.intercept, curve.at_target];
        let expected = [0.5, 3.0, function(26_000.0)];
        assert!(
            found.iter().zip(expected).all(|(found, expected)| (found - expected).abs() < 1e-6),
            "{fit:?}: found {found:?}, expected {expected:?}"
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
    let memory_probe = |load, size: usize| {
        let load = if load == MemoryLoad::Tenants { "tenants" } else { "endpoints" };
        let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
            .args(["memory", load, &size.to_string()])
            .output()
            .expect("the program starts");
        Ok(String::from_utf8_lossy(&output.stdout).trim().parse().expect("the output is a number of bytes"))
    };
    let curves = measure(&sizes, &memory_probe).expect("all costs are measured");
    let output: serde_json::Value = serde_json::from_str(&json(&curves)).expect("the output is JSON");
    let rows = output.as_array().expect("the output is an array");
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
    let with_requirement: Vec<_> =
        rows.iter().filter(|row| row["requirement"].is_object()).map(|row| row["name"].as_str()).collect();
    let expected = [
        "one request's decisions",
        "endpoint list snapshot, first",
        "endpoint list snapshot, repeated",
        "endpoint list snapshot over a socket",
        "delta of 10 endpoints",
    ];
    assert!(expected.iter().all(|name| with_requirement.contains(&Some(*name))), "{with_requirement:?}");
    let tenant_memory = curves
        .iter()
        .find(|curve| curve.name.contains("tenants known") && curve.unit == "bytes")
        .expect("the memory of tenants is measured");
    assert!(tenant_memory.points[1].value > tenant_memory.points[0].value, "{tenant_memory:?}");
}
