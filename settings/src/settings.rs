//! Maps the keys of the settings object to the policy's settings.

use crate::{Object, ReadError};
use ryefront_policy::{
    DedupScope, Idempotency, LoadReportSource, Millis, Name, QuotaPlan, RequestClass, Settings,
};
use serde_json::Value;

/// Reads settings from JSON text; unknown keys are ignored.
///
/// # Errors
/// When the text is not JSON, a value has the wrong type, or a word is unknown.
pub fn parse(text: &str) -> Result<Settings, ReadError> {
    read(&serde_json::from_str(text)?)
}

/// Reads settings from a JSON value; unknown keys are ignored.
///
/// # Errors
/// When a value has the wrong type or a word is unknown.
pub fn read(root: &Value) -> Result<Settings, ReadError> {
    if !root.is_object() {
        return Err(ReadError::NotAnObject);
    }
    let top = Object(root);
    let extra = Object::of(root, "extra")?;
    let permissions = Object::of(root, "permissions")?;
    let rules = Object::of(root, "rules")?;
    let prices = Object::of(root, "prices")?;
    Ok(Settings {
        gateway_count: top.count("fleet-size")?,
        gateway_index: top.count("my-number")?,
        zone: Name::from(top.text("locality")?),
        tick: top.number("period-ms")?,
        classes: top.list("classes")?.iter().map(request_class).collect::<Result<_, _>>()?,
        plans: top.list("plans")?.iter().map(quota_plan).collect::<Result<_, _>>()?,
        has_counter: extra.flag("has-counter")?,
        counter_timeout: extra.number("count-limit-ms")?,
        settles_usage: extra.flag("trued-up")?,
        max_units: extra.number("units-top")?,
        load_report_source: load_report_source(root)?,
        health_checks: permissions.flag("probes")?,
        gossip: permissions.flag("peers")?,
        cancellation: permissions.flag("may-cancel")?,
        polls_endpoints: top.text("discovery")? == "on_request",
        connect_timeout: permissions.number("dial-timeout-ms")?,
        max_attempts: permissions.count("most-tries")?,
        max_retry_after: max_retry_after(permissions)?,
        slow_start_initial_fraction: rules.number("cold-from")?,
        slow_start_duration: rules.number("cold-ms")?,
        overload_factor: rules.number("overload-factor")?,
        overload_window: rules.number("fall-ms")?,
        cross_zone_cost: prices.number("cross-zone")?,
    })
}

/// Returns the longest Retry-After that clients follow: 0 where none may be sent to them.
fn max_retry_after(permissions: Object<'_>) -> Result<Millis, ReadError> {
    if permissions.permits("retry-after")? { permissions.number("max-retry-after-ms") } else { Ok(0.0) }
}

fn load_report_source(root: &Value) -> Result<LoadReportSource, ReadError> {
    match Object::of(root, "load-info")?.text("source")? {
        "inline" => Ok(LoadReportSource::Responses),
        "on_probe" => Ok(LoadReportSource::HealthChecks),
        "off" | "" => Ok(LoadReportSource::None),
        other => Err(unknown_word("source", other, "inline, on_probe or off")),
    }
}

fn request_class(value: &Value) -> Result<RequestClass, ReadError> {
    let class = Object(value);
    Ok(RequestClass {
        name: Name::from(class.text("name")?),
        latency_objective: class.number("goal-time-ms")?,
        idempotency: idempotency(class.text("effect")?)?,
        dedup_scope: dedup_scope(class.text("dedup-scope")?)?,
        dedup_window: class.number("window-ms")?,
        priority_weight: class.number("worth")?,
        late_weight_fraction: class.number("late-value")?,
    })
}

fn idempotency(word: &str) -> Result<Idempotency, ReadError> {
    match word {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::WithKey),
        "at_most_once" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_word("effect", other, "idempotent, deduplicated or at_most_once")),
    }
}

fn dedup_scope(word: &str) -> Result<DedupScope, ReadError> {
    match word {
        "all" | "" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        other => Err(unknown_word("dedup-scope", other, "all, zone or cell")),
    }
}

fn quota_plan(value: &Value) -> Result<QuotaPlan, ReadError> {
    let plan = Object(value);
    Ok(QuotaPlan {
        name: Name::from(plan.text("name")?),
        rate: plan.number("refill")?,
        burst: plan.number("burst")?,
        max_in_flight: plan.count("parallel")?,
        ceiling_rate: plan.number("cap-rate")?,
        ceiling_burst: plan.number("ceiling-burst")?,
        ceiling_slack: plan.number("ceiling-slack")?,
        weight_factor: plan.number("worth-factor")?,
        over_quota_weight: plan.number("over-worth")?,
        over_quota_cost: plan.number("overrun-cost")?,
    })
}

fn unknown_word(key: &'static str, found: &str, expected: &'static str) -> ReadError {
    ReadError::UnknownWord { key, found: found.to_owned(), expected }
}
