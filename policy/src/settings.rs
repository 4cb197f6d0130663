//! The settings of a gateway and their validation.
//!
//! They hold all that the policy knows about a deployment: its request classes, its quota plans, and the
//! capabilities and limits of the host. The policy reads no clock, no file and no environment variable.

use crate::{Millis, Name};

/// The index of a class in [`Settings::classes`].
pub(crate) type ClassIndex = usize;
/// The index of a plan in [`Settings::plans`].
pub(crate) type PlanIndex = usize;

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated at any time.
    Idempotent,
    /// It carries an idempotency key: endpoints of the same [`DedupScope`] drop duplicates within the dedup
    /// window.
    WithKey,
    /// It must not run twice.
    NonIdempotent,
}

/// The set of endpoints that share a record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests with the same objective, weight and idempotency.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The name that arrivals refer to.
    pub name: Name,
    /// A response within this time has its full weight.
    pub latency_objective: Millis,
    /// Whether a request may be repeated after an attempt that may have run.
    pub idempotency: Idempotency,
    /// The endpoints that detect a duplicate idempotency key.
    pub dedup_scope: DedupScope,
    /// How long a duplicate key is detected, from the first attempt that may have run.
    pub dedup_window: Millis,
    /// The relative value of a response; requests of a lower weight are shed first.
    pub priority_weight: f64,
    /// The fraction of the weight that is left to a response after the latency objective.
    pub late_weight_fraction: f64,
}

/// A quota plan: the limits of each of its tenants, over all gateways together.
#[derive(Clone, Debug)]
pub struct QuotaPlan {
    /// The name that arrivals refer to.
    pub name: Name,
    /// The refill rate of the quota in units per second; 0 for no quota.
    pub rate: f64,
    /// The most units that a tenant may use at once.
    pub burst: f64,
    /// The most attempts of a tenant that may be in flight at once; 0 for no limit.
    pub max_in_flight: u32,
    /// The refill rate of the hard ceiling in units per second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling allows at once.
    pub ceiling_burst: f64,
    /// The units by which the ceiling may be exceeded.
    pub ceiling_slack: f64,
    /// Multiplies the priority weight of the plan's requests.
    pub weight_factor: f64,
    /// The value of serving a request that is over quota, as a fraction of its priority weight.
    pub over_quota_weight: f64,
    /// The cost of serving a request that is over quota, as a fraction of its priority weight.
    pub over_quota_cost: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Endpoints send no load reports.
    #[default]
    None,
    /// Responses to requests.
    Responses,
    /// Responses to health checks only.
    HealthChecks,
}

/// The settings of one gateway.
///
/// The default holds zeros and no request classes. It does not pass validation, and serves as the base of
/// struct update syntax.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of gateways in the fleet.
    pub gateway_count: u32,
    /// The index of this gateway in the fleet, from 0.
    pub gateway_index: u32,
    /// The zone of this gateway.
    pub zone: Name,
    /// The time resolution of the host: the shortest time between two calls of
    /// [`PolicyEngine::handle`](crate::PolicyEngine::handle).
    pub tick: Millis,
    /// The request classes; at least one.
    pub classes: Vec<RequestClass>,
    /// The quota plans that arrivals refer to.
    pub plans: Vec<QuotaPlan>,
    /// Whether the gateways share a counter.
    pub has_counter: bool,
    /// The timeout of a counter call.
    pub counter_timeout: Millis,
    /// Whether responses report the units that the request actually used.
    pub settles_usage: bool,
    /// The most units of one request; 0 for no limit.
    pub max_units: f64,
    /// The most tenants of which the gateway keeps leases and readings; 0 for no limit.
    pub max_tenants: usize,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// Whether the gateway may send health checks.
    pub health_checks: bool,
    /// Whether gateways may send messages to each other.
    pub gossip: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether endpoint lists have to be requested with
    /// [`Action::WatchEndpoints`](crate::Action::WatchEndpoints).
    pub polls_endpoints: bool,
    /// The timeout for establishing a connection to an endpoint.
    pub connect_timeout: Millis,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients follow; 0 if they are sent none.
    pub max_retry_after: Millis,
    /// The least fraction of its capacity that an endpoint has when it starts.
    pub slow_start_initial_fraction: f64,
    /// The longest time from the start of an endpoint until it has its full capacity.
    pub slow_start_duration: Millis,
    /// An endpoint in slow start fails at a load above this multiple of its current capacity.
    pub overload_factor: f64,
    /// The time over which that load is averaged.
    pub overload_window: Millis,
    /// The score that is lost for each request that is forwarded to another zone.
    pub cross_zone_cost: f64,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no request classes.
    #[error("settings name no request class")]
    NoClasses,
    /// A value is negative, not finite, or zero where it must not be.
    #[error("settings: {name} is {value}, expected {expected}")]
    InvalidValue {
        /// The name of the setting.
        name: &'static str,
        /// The invalid value.
        value: f64,
        /// A description of the valid values.
        expected: &'static str,
    },
    /// The gateway index is not below the number of gateways.
    #[error("settings: gateway index {index} is not below the number of gateways, {count}")]
    GatewayIndexOutOfRange {
        /// The gateway index.
        index: u32,
        /// The number of gateways.
        count: u32,
    },
}

impl Settings {
    /// Checks the settings. Returns the first error that is found.
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
    /// Returns a plan with a quota and no other limit. A request that is over quota has no value and costs
    /// its full weight.
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
