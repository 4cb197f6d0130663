//! The settings of a gateway, their units, and their validation.
//!
//! Everything the policy knows about a deployment comes from here: request classes, quota plans, and what the
//! surrounding system allows. Nothing is read from a clock, a file or the environment.

use crate::{Millis, Name};

/// The index of a class in [`Settings::classes`].
pub(crate) type ClassIndex = usize;
/// The index of a plan in [`Settings::plans`].
pub(crate) type PlanIndex = usize;

/// What may be done with a request whose earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated at any time.
    Idempotent,
    /// Carries an idempotency key: endpoints that share a [`DedupScope`] drop a repeat within the dedup
    /// window.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The endpoints that recognize a repeated idempotency key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name that arrivals refer to.
    pub name: Name,
    /// A response within this time has its full value.
    pub latency_objective: Millis,
    /// What may be done with a request that may have run.
    pub idempotency: Idempotency,
    /// Who recognizes a repeated idempotency key.
    pub dedup_scope: DedupScope,
    /// How long a repeated key is recognized, from the first attempt that may have run.
    pub dedup_window: Millis,
    /// The value of a response; requests of a lower weight are shed first.
    pub priority_weight: f64,
    /// The fraction of the weight that a response after the latency objective still has.
    pub late_weight_fraction: f64,
}

/// The quota that each tenant of this plan holds over all gateways together.
#[derive(Clone, Debug)]
pub struct QuotaPlan {
    /// The name that arrivals refer to.
    pub name: Name,
    /// Units per second; 0 for no rate quota.
    pub rate: f64,
    /// The most units that may be used at once.
    pub burst: f64,
    /// The most attempts of a tenant in flight at once; 0 for no limit.
    pub max_in_flight: u32,
    /// Units per second by which the hard ceiling refills; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling holds.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
    /// A factor on the priority weight of the plan's requests.
    pub weight_factor: f64,
    /// The fraction of its weight that a request beyond the quota earns.
    pub over_quota_weight: f64,
    /// The fraction of its weight that a request beyond the quota costs.
    pub over_quota_cost: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are none.
    #[default]
    None,
    /// With the responses to requests.
    Responses,
    /// With the responses to health checks only.
    HealthChecks,
}

/// What a gateway knows at its start. The default holds zeros and no classes, and has to be filled in.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of gateways in the fleet.
    pub gateway_count: u32,
    /// The index of this gateway in the fleet, from 0.
    pub gateway_index: u32,
    /// The zone of this gateway.
    pub zone: Name,
    /// The shortest time between two calls of [`PolicyEngine::handle`](crate::PolicyEngine::handle).
    pub tick: Millis,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The quota plans.
    pub plans: Vec<QuotaPlan>,
    /// Whether there is a shared counter.
    pub has_counter: bool,
    /// A counter call without a reply for this long is given up.
    pub counter_timeout: Millis,
    /// Whether the units that a request really used come with its response.
    pub settles_usage: bool,
    /// The most units of one request.
    pub max_units: f64,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// Whether health checks are allowed.
    pub health_checks: bool,
    /// Whether gateways may send each other messages.
    pub gossip: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoints: bool,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Millis,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Millis,
    /// An endpoint starts with this fraction of its capacity or more.
    pub slow_start_initial_fraction: f64,
    /// An endpoint has its full capacity after this time at most.
    pub slow_start_duration: Millis,
    /// An endpoint in slow start fails when it gets more than this multiple of its present capacity.
    pub overload_factor: f64,
    /// The time over which that load is measured.
    pub overload_window: Millis,
    /// The score lost per request that crosses zones.
    pub cross_zone_cost: f64,
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no request classes.
    #[error("settings name no request class")]
    NoClasses,
    /// A value is negative, not finite, or zero where it must not be.
    #[error("settings: {name} is {value}, expected {expected}")]
    InvalidValue {
        /// Which value.
        name: &'static str,
        /// What it is.
        value: f64,
        /// What it may be.
        expected: &'static str,
    },
    /// The gateway's index is not below the number of gateways.
    #[error("settings: gateway index {index} is not below the number of gateways, {count}")]
    GatewayIndexOutOfRange {
        /// The gateway's index.
        index: u32,
        /// The number of gateways.
        count: u32,
    },
}

impl Settings {
    /// Returns the first error of the settings, if there is one.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.gateway_index >= self.gateway_count {
            return Err(SettingsError::GatewayIndexOutOfRange {
                index: self.gateway_index,
                count: self.gateway_count,
            });
        }
        self.classes.iter().try_for_each(RequestClass::validate)?;
        self.plans.iter().try_for_each(QuotaPlan::validate)?;
        non_negative("tick", self.tick)?;
        non_negative("counter timeout", self.counter_timeout)?;
        non_negative("connect timeout", self.connect_timeout)?;
        non_negative("max units", self.max_units)?;
        non_negative("max Retry-After", self.max_retry_after)?;
        non_negative("slow-start initial fraction", self.slow_start_initial_fraction)?;
        non_negative("slow-start duration", self.slow_start_duration)?;
        non_negative("overload factor", self.overload_factor)?;
        non_negative("overload window", self.overload_window)?;
        non_negative("cross-zone cost", self.cross_zone_cost)
    }
}

impl RequestClass {
    fn validate(&self) -> Result<(), SettingsError> {
        non_negative("a class's latency objective", self.latency_objective)?;
        non_negative("a class's dedup window", self.dedup_window)?;
        non_negative("a class's priority weight", self.priority_weight)?;
        non_negative("a class's late weight fraction", self.late_weight_fraction)
    }
}

impl QuotaPlan {
    /// Returns a plan of `rate` units per second and no other limit. Requests beyond the quota earn nothing
    /// and cost their weight.
    pub fn new(name: impl Into<Name>, rate: f64, burst: f64) -> Self {
        Self {
            name: name.into(),
            rate,
            burst,
            max_in_flight: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            weight_factor: 1.0,
            over_quota_weight: 0.0,
            over_quota_cost: 1.0,
        }
    }

    fn validate(&self) -> Result<(), SettingsError> {
        non_negative("a plan's rate", self.rate)?;
        non_negative("a plan's burst", self.burst)?;
        non_negative("a plan's ceiling rate", self.ceiling_rate)?;
        non_negative("a plan's ceiling burst", self.ceiling_burst)?;
        non_negative("a plan's ceiling slack", self.ceiling_slack)?;
        non_negative("a plan's weight factor", self.weight_factor)?;
        if self.rate > 0.0 && self.burst <= 0.0 {
            return Err(SettingsError::InvalidValue {
                name: "a plan's burst",
                value: self.burst,
                expected: "more than 0 where there is a rate",
            });
        }
        Ok(())
    }
}

fn non_negative(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(())
    } else {
        Err(SettingsError::InvalidValue { name, value, expected: "a finite number of at least 0" })
    }
}
