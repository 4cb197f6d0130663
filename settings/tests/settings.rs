//! Each key of the settings object sets its field, and an error names the key and the expected value.

use ryefront_policy::{DedupScope, Idempotency, LoadReport, LoadReportSource};
use ryefront_settings::{from_str, from_value, longest_deadline, set_load_value};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "fleet-size": 30, "my-number": 7, "locality": "z", "period-ms": 2.0, "discovery": "on_request",
        "classes": [{"name": "book", "effect": "deduplicated", "dedup-scope": "cell", "goal-time-ms": 500.0,
            "worth": 3.0, "late-value": 0.1, "window-ms": 600.0}],
        "plans": [{"name": "p", "refill": 5.0, "burst": 10.0, "parallel": 3, "cap-rate": 8.0, "ceiling-burst": 16.0,
            "ceiling-slack": 1.6, "worth-factor": 1.5, "over-worth": 0.2, "overrun-cost": 0.5}],
        "extra": {"has-counter": true, "count-limit-ms": 30.0, "units-top": 4, "trued-up": true},
        "load-info": {"source": "on_probe"},
        "permissions": {"dial-timeout-ms": 250.0, "max-retry-after-ms": 1000.0, "most-tries": 6, "peers": true,
            "probes": true, "may-cancel": true, "retry-after": true},
        "prices": {"cross-zone": 0.01},
        "rules": {"cold-from": 0.2, "cold-ms": 9000.0, "overload-factor": 2.5, "fall-ms": 1000.0},
    })
}

/// Returns the error for settings in which the value at a JSON pointer is replaced.
fn error(pointer: &str, value: Value) -> String {
    let mut settings = settings();
    *settings.pointer_mut(pointer).expect("a value to replace") = value;
    from_value(&settings).expect_err("an error").to_string()
}

#[test]
fn each_key_of_the_settings_reaches_its_field() {
    let settings = from_value(&settings()).expect("usable settings");

    assert_eq!((settings.gateway_count, settings.gateway_index), (30, 7));
    assert_eq!((&*settings.zone, settings.tick), ("z", 2.0));
    assert_eq!((settings.has_counter, settings.counter_timeout), (true, 30.0));
    assert_eq!((settings.settles_usage, settings.max_units), (true, 4.0));
    assert_eq!(settings.load_report_source, LoadReportSource::HealthChecks);
    assert_eq!((settings.health_checks, settings.gossip, settings.cancellation), (true, true, true));
    assert_eq!((settings.polls_endpoints, settings.connect_timeout), (true, 250.0));
    assert_eq!((settings.max_attempts, settings.max_retry_after), (6, 1000.0));
    assert_eq!((settings.slow_start_initial_fraction, settings.slow_start_duration), (0.2, 9000.0));
    assert_eq!((settings.overload_factor, settings.overload_window), (2.5, 1000.0));
    assert_eq!(settings.cross_zone_cost, 0.01);
}

#[test]
fn each_key_of_a_class_and_a_plan_reaches_its_field() {
    let settings = from_value(&settings()).expect("usable settings");

    let class = &settings.classes[0];
    assert_eq!((&*class.name, class.latency_objective), ("book", 500.0));
    assert_eq!((class.idempotency, class.dedup_scope), (Idempotency::WithKey, DedupScope::Cell));
    assert_eq!((class.dedup_window, class.priority_weight, class.late_weight_fraction), (600.0, 3.0, 0.1));
    let plan = &settings.plans[0];
    assert_eq!((&*plan.name, plan.rate, plan.burst, plan.max_in_flight), ("p", 5.0, 10.0, 3));
    assert_eq!((plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack), (8.0, 16.0, 1.6));
    assert_eq!((plan.weight_factor, plan.over_quota_weight, plan.over_quota_cost), (1.5, 0.2, 0.5));
}

#[test]
fn absent_keys_read_as_zero_and_unknown_keys_are_ignored() {
    let settings = from_value(&json!({"a-new-key": {"x": 1}})).expect("usable settings");

    assert_eq!((settings.gateway_count, settings.max_attempts), (0, 0));
    assert!(settings.classes.is_empty() && settings.plans.is_empty() && !settings.has_counter);
}

#[test]
fn max_retry_after_is_zero_where_the_header_may_not_be_sent() {
    let mut settings = settings();
    settings["permissions"]["retry-after"] = json!(false);

    assert_eq!(from_value(&settings).expect("usable settings").max_retry_after, 0.0);
}

#[test]
fn errors_of_the_settings_name_the_key_and_what_was_expected() {
    assert_eq!(error("/fleet-size", json!(-1)), "settings: fleet-size is not a small whole number");
    assert_eq!(error("/classes", json!(3)), "settings: classes is not a list");
    assert_eq!(error("/rules", json!([])), "settings: rules is not an object");
    assert_eq!(error("/rules/cold-ms", json!("x")), "settings: cold-ms is not a number");
    assert_eq!(
        error("/classes/0/effect", json!("twice")),
        "settings: effect is \"twice\", expected idempotent, deduplicated or at_most_once"
    );
    assert_eq!(
        error("/classes/0/dedup-scope", json!("rack")),
        "settings: dedup-scope is \"rack\", expected all, zone or cell"
    );
    assert_eq!(
        error("/load-info/source", json!("poll")),
        "settings: source is \"poll\", expected inline, on_probe or off"
    );
    assert_eq!(from_value(&json!(3)).expect_err("an error").to_string(), "settings: not an object");
    assert!(from_str("{").expect_err("an error").to_string().starts_with("settings: "));
}

#[test]
fn known_values_of_a_load_report_are_set_and_others_ignored() {
    let mut report = LoadReport::default();

    for (name, value) in [("outstanding", 4.0), ("backlog", 2.0), ("recent_ms", 7.5), ("util", 0.6)] {
        set_load_value(&mut report, name, value);
    }

    let expected = LoadReport { in_flight: Some(4.0), queue_length: Some(2.0), service_time: Some(7.5) };
    assert_eq!(report, expected);
}

#[test]
fn longest_deadline_is_that_of_the_classes_that_name_one() {
    let longest = |limits: Value| {
        let mut settings = settings();
        settings["classes"] = limits;
        longest_deadline(&settings).map_err(|error| error.to_string())
    };

    assert_eq!(longest(json!([{}, {"hard-limit-ms": 400.0}, {"hard-limit-ms": 800}, {}])), Ok(Some(800.0)));
    assert_eq!(longest(json!([{"name": "a"}, {"hard-limit-ms": 0}])), Ok(None));
    assert_eq!(longest(json!([])), Ok(None));
    let error = longest(json!([{"hard-limit-ms": "short"}]));
    assert_eq!(error, Err("settings: hard-limit-ms is not a number".to_owned()));
}
