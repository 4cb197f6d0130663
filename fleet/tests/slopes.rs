//! The form of what `slopes` gives, and the line that it fits. What is timed is no test.

use ryefront_fleet::slopes::{Load, Sizes, Slope, json, measure};
use std::process::Command;
use std::time::Duration;

#[test]
fn a_line_or_a_logarithm_is_fitted_and_read_at_the_target() {
    let sizes = [200.0, 800.0, 3200.0, 10_000.0];
    for fit in ["linear", "log"] {
        let of = |x: f64| 3.0 + 0.5 * if fit == "log" { x.ln() } else { x };
        let points = sizes.map(|x| [x, of(x)]).to_vec();
        let slope = Slope::fitted("a figure", "us", "servers", points, 26_000.0);
        assert_eq!(slope.fit, fit);
        let found = [slope.slope, slope.intercept, slope.at_target];
        let wanted = [0.5, 3.0, of(26_000.0)];
        assert!(
            found.iter().zip(wanted).all(|(f, w)| (f - w).abs() < 1e-6),
            "{fit}: {found:?}, not {wanted:?}"
        );
    }
}

#[test]
fn every_role_is_there_with_all_its_sizes() {
    let sizes = Sizes {
        servers: vec![20, 60],
        tenants: vec![10, 2000],
        routes: vec![1, 10],
        measured_for: Duration::ZERO,
    };
    let weigh = |load, size: usize| {
        let load = if load == Load::Tenants { "tenants" } else { "endpoints" };
        let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
            .args(["weigh", load, &size.to_string()])
            .output()
            .expect("it runs");
        Ok(String::from_utf8_lossy(&output.stdout).trim().parse().expect("a number of bytes"))
    };
    let slopes = measure(&sizes, &weigh).expect("figures");
    let text: serde_json::Value = serde_json::from_str(&json(&slopes)).expect("JSON");
    let rows = text.as_array().expect("an array");
    for row in rows {
        assert!(row["name"].is_string() && row["unit"].is_string() && row["at_target"].is_f64(), "{row}");
        let found: Vec<_> = row["points"].as_array().into_iter().flatten().map(|p| p[0].as_f64()).collect();
        let sizes = match row["size"].as_str() {
            Some("tenants") => &sizes.tenants,
            Some("routes") => &sizes.routes,
            _ => &sizes.servers,
        };
        assert_eq!(found, sizes.iter().map(|s| Some(*s as f64)).collect::<Vec<_>>(), "{row}");
    }
    let bars: Vec<_> = rows.iter().filter(|r| r["bar"].is_object()).map(|r| r["name"].as_str()).collect();
    let wanted =
        ["one request's decisions", "whole list, first", "whole list, again", "whole list over a socket"];
    assert!(wanted.iter().chain(&["change of 10 servers"]).all(|w| bars.contains(&Some(*w))), "{bars:?}");
    let tenants =
        slopes.iter().find(|s| s.name.contains("tenants held") && s.unit == "bytes").expect("the row");
    assert!(tenants.points[1][1] > tenants.points[0][1], "{tenants:?}");
}
