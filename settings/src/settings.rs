//! Maps the keys of the settings object to the policy's settings.

use crate::{Object, ReadError};
use ryefront_policy::{
    DedupScope, Idempotency, LoadReportSource, Millis, Name, QuotaPlan, RequestClass, Settings,
};
use serde_json::Value;

/// Reads settings from JSON text. Unknown keys are ignored.
///
/// # Errors
/// If the text is not JSON, a value has the wrong type, or a string is none of the allowed values.
pub fn from_str(text: &str) -> Result<Settings, ReadError> {
    from_value(&serde_json::from_str(text)?)
}

/// Reads settings from a JSON value. Unknown keys are ignored.
///
/// # Errors
/// If a value has the wrong type, or a string is none of the allowed values.
pub fn from_value(root: &Value) -> Result<Settings, ReadError> {
    if !root.is_object() {
        return Err(ReadError::NotAnObject);
    }
    let root_object = Object(root);
    let extra = Object::member(root, "extra")?;
    let permissions = Object::member(root, "permissions")?;
    let rules = Object::member(root, "rules")?;
    let prices = Object::member(root, "prices")?;
    Ok(Settings {
        gateway_count: root_object.integer("fleet-size")?,
        gateway_index: root_object.integer("my-number")?,
        zone: Name::from(root_object.string("locality")?),
        tick: root_object.number("period-ms")?,
        classes: root_object.array("classes")?.iter().map(request_class).collect::<Result<_, _>>()?,
        plans: root_object.array("plans")?.iter().map(quota_plan).collect::<Result<_, _>>()?,
        has_counter: extra.boolean("has-counter")?,
        counter_timeout: extra.number("count-limit-ms")?,
        settles_usage: extra.boolean("trued-up")?,
        max_units: extra.number("units-top")?,
        load_report_source: load_report_source(root)?,
        health_checks: permissions.boolean("probes")?,
        gossip: permissions.boolean("peers")?,
        cancellation: permissions.boolean("may-cancel")?,
        polls_endpoints: root_object.string("discovery")? == "on_request",
        connect_timeout: permissions.number("dial-timeout-ms")?,
        max_attempts: permissions.integer("most-tries")?,
        max_retry_after: max_retry_after(permissions)?,
        slow_start_initial_fraction: rules.number("cold-from")?,
        slow_start_duration: rules.number("cold-ms")?,
        overload_factor: rules.number("overload-factor")?,
        overload_window: rules.number("fall-ms")?,
        cross_zone_cost: prices.number("cross-zone")?,
        // A limit of the host, not of the deployment.
        max_tenants: 0,
    })
}

/// Returns the longest Retry-After that clients follow, or 0 if none may be sent. It may be sent unless the
/// settings forbid it.
fn max_retry_after(permissions: Object<'_>) -> Result<Millis, ReadError> {
    if permissions.boolean_or("retry-after", true)? {
        permissions.number("max-retry-after-ms")
    } else {
        Ok(0.0)
    }
}

fn load_report_source(root: &Value) -> Result<LoadReportSource, ReadError> {
    match Object::member(root, "load-info")?.string("source")? {
        "inline" => Ok(LoadReportSource::Responses),
        "on_probe" => Ok(LoadReportSource::HealthChecks),
        "off" | "" => Ok(LoadReportSource::None),
        other => Err(unknown_value("source", other, "inline, on_probe or off")),
    }
}

/// Returns the longest deadline of a request, over all classes that name one. `None` if no class does.
///
/// # Errors
/// If a value has the wrong type.
pub fn longest_deadline(root: &Value) -> Result<Option<Millis>, ReadError> {
    let mut longest = 0.0;
    for class in Object(root).array("classes")? {
        longest = f64::max(longest, Object(class).number("hard-limit-ms")?);
    }
    Ok((longest > 0.0).then_some(longest))
}

fn request_class(value: &Value) -> Result<RequestClass, ReadError> {
    let class = Object(value);
    Ok(RequestClass {
        name: Name::from(class.string("name")?),
        latency_objective: class.number("goal-time-ms")?,
        idempotency: idempotency(class.string("effect")?)?,
        dedup_scope: dedup_scope(class.string("dedup-scope")?)?,
        dedup_window: class.number("window-ms")?,
        priority_weight: class.number("worth")?,
        late_weight_fraction: class.number("late-value")?,
    })
}

fn idempotency(value: &str) -> Result<Idempotency, ReadError> {
    match value {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::WithKey),
        "at_most_once" => Ok(Idempotency::NonIdempotent),
        other => Err(unknown_value("effect", other, "idempotent, deduplicated or at_most_once")),
    }
}

fn dedup_scope(value: &str) -> Result<DedupScope, ReadError> {
    match value {
        "all" | "" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        other => Err(unknown_value("dedup-scope", other, "all, zone or cell")),
    }
}

fn quota_plan(value: &Value) -> Result<QuotaPlan, ReadError> {
    let plan = Object(value);
    Ok(QuotaPlan {
        name: Name::from(plan.string("name")?),
        rate: plan.number("refill")?,
        burst: plan.number("burst")?,
        max_in_flight: plan.integer("parallel")?,
        ceiling_rate: plan.number("cap-rate")?,
        ceiling_burst: plan.number("ceiling-burst")?,
        ceiling_slack: plan.number("ceiling-slack")?,
        weight_factor: plan.number("worth-factor")?,
        over_quota_weight: plan.number("over-worth")?,
        over_quota_cost: plan.number("overrun-cost")?,
    })
}

fn unknown_value(key: &'static str, found: &str, expected: &'static str) -> ReadError {
    ReadError::UnknownValue { key, found: found.to_owned(), expected }
}
