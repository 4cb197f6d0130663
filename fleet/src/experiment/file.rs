//! The types of an experiment and the keys of its file. Every key is required unless its documentation says
//! otherwise, and unknown keys are errors.

use ryefront_policy::{DedupScope, RequestClass};
use serde::Deserialize;

/// An experiment. Times are in milliseconds (`_ms`) or seconds (`_s`). The range of each figure is in
/// `validate`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The seed, unless the command line has one.
    pub seed: u64,
    /// How long clients send requests.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Requests that arrive during this time at the start are simulated, but not counted.
    #[serde(rename = "settle_s")]
    pub warm_up_s: f64,
    /// The size of the fleet.
    pub fleet: Fleet,
    /// The part of the fleet that is simulated. Optional: all of it.
    #[serde(default)]
    pub scale: Scale,
    /// Network delays.
    pub network: Network,
    /// The requests of the clients.
    pub load: Load,
    /// The endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Endpoints,
    /// The shared counter.
    pub counter: Counter,
    /// Discovery.
    pub discovery: Discovery,
    /// Replacement of endpoints. Optional: none.
    #[serde(rename = "release")]
    pub rollout: Option<Rollout>,
    /// The request classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The quota plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
}

/// Two bounds of a uniform distribution, in the file an array of two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(from = "[T; 2]")]
pub struct Interval<T> {
    /// The lower bound.
    pub low: T,
    /// The upper bound.
    pub high: T,
}

impl<T> From<[T; 2]> for Interval<T> {
    fn from([low, high]: [T; 2]) -> Self {
        Self { low, high }
    }
}

/// The size of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Gateways.
    pub gateways: u32,
    /// Endpoints.
    #[serde(rename = "servers")]
    pub endpoints: u32,
    /// Regions, each of which has gateways with consecutive indices.
    pub regions: u32,
    /// Zones of each region.
    #[serde(rename = "zones")]
    pub zones_per_region: u32,
}

/// The part that is simulated of a fleet too large for the memory or the time at hand.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Gateways that are simulated, with endpoints, tenants, requests and counter in proportion. Optional:
    /// all.
    pub gateways: Option<u32>,
    /// Gateways that have a real endpoint registry beside their policy engine. Optional: all.
    #[serde(rename = "tables")]
    pub gateways_with_registry: Option<u32>,
}

/// One-way network delays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    #[serde(rename = "zone_ms")]
    pub within_zone_ms: f64,
    /// Between zones of a region.
    #[serde(rename = "region_ms")]
    pub within_region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// The most by which a delay is longer, as a factor on the delay.
    pub jitter: f64,
}

/// The requests of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First attempts of all clients together.
    pub requests_per_s: f64,
    /// The fraction by which the request rate rises and falls, as a sine.
    #[serde(rename = "swing")]
    pub rate_amplitude: f64,
    /// The period of that sine.
    #[serde(rename = "wave_s")]
    pub rate_period_s: f64,
    /// Tenants.
    pub tenants: u32,
    /// The usage of a tenant as a factor on the rate of its plan.
    #[serde(rename = "use_of_plan")]
    pub usage_factor: Interval<f64>,
    /// The fraction of heavy tenants.
    #[serde(rename = "heavy_share")]
    pub heavy_fraction: f64,
    /// The usage of a heavy tenant as a factor on the rate of its plan.
    #[serde(rename = "heavy_times")]
    pub heavy_usage_factor: Interval<f64>,
    /// Units of a request, integers.
    pub units: Interval<u32>,
    /// The most retries of a rejected request.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The probability that a rejected request is retried.
    #[serde(rename = "retry_share")]
    pub retry_probability: f64,
    /// The backoff of a client before a retry, unless Retry-After is longer.
    pub backoff_ms: Interval<f64>,
    /// The longest Retry-After that clients follow.
    #[serde(rename = "longest_advice_ms")]
    pub max_retry_after_ms: f64,
    /// The probability that a client disconnects before its deadline.
    #[serde(rename = "impatient")]
    pub disconnect_probability: f64,
}

/// The endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// Requests that an endpoint processes at once.
    pub cores: u32,
    /// The speed of an endpoint, relative to nominal: the service time of a request is its work / speed.
    pub speed: Interval<f64>,
    /// Requests that may wait at an endpoint; more are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// The fraction of requests that end with an error.
    pub error_rate: f64,
    /// Endpoints of a cell.
    #[serde(rename = "cell")]
    pub cell_size: u32,
    /// The fraction of its capacity that an endpoint starts with.
    #[serde(rename = "cold_share")]
    pub slow_start_initial_fraction: f64,
    /// The time until an endpoint has its full capacity.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// Overload factor: attempts above this multiple of an endpoint's present capacity within the overload
    /// window violate an invariant. The model never fails an endpoint for it.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The overload window: the time over which those attempts are counted.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// Round trips of a new connection.
    #[serde(rename = "handshake_trips")]
    pub handshake_round_trips: u32,
    /// Work of a new connection at the endpoint.
    #[serde(rename = "handshake_ms")]
    pub handshake_work_ms: f64,
    /// How long an idle connection is kept.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Partitions of the key space.
    #[serde(rename = "parts")]
    pub partitions: u32,
    /// Calls per second of all partitions together.
    #[serde(rename = "per_s")]
    pub calls_per_s: f64,
    /// A call that would wait longer is rejected.
    #[serde(rename = "longest_wait_ms")]
    pub max_wait_ms: f64,
    /// The counter timeout in the gateways' settings.
    pub timeout_ms: f64,
}

/// Discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Changes are collected for this time before they are published.
    #[serde(rename = "period_ms")]
    pub publish_period_ms: f64,
    /// The least time until a gateway is notified.
    #[serde(rename = "notice_ms")]
    pub notification_delay_ms: f64,
    /// How much later than that a gateway may be notified.
    #[serde(rename = "spread_ms")]
    pub notification_spread_ms: f64,
}

/// Replacement of endpoints while requests go on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// When the first endpoint drains.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// From the first drain to the last.
    #[serde(rename = "over_s")]
    pub duration_s: f64,
    /// The fraction of all endpoints that is replaced.
    #[serde(rename = "share")]
    pub replaced_fraction: f64,
    /// How long a draining endpoint still accepts requests.
    #[serde(rename = "grace_s")]
    pub drain_grace_s: f64,
    /// How long after that its successor starts.
    pub boot_s: f64,
}

/// What may be done with a request whose earlier attempt may have run.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum Idempotency {
    /// It may be repeated at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// It carries an idempotency key, which the endpoints of a zone recognize.
    #[serde(rename = "keyed")]
    WithKey,
    /// It must never run twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// One request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its weight among all requests.
    #[serde(rename = "share")]
    pub request_weight: f64,
    /// The mean work of a request, which is distributed exponentially.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Latency objective: a response after it counts as late.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long clients wait.
    pub deadline_ms: f64,
    /// What may be done with a request that may have run.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long a repeated idempotency key is recognized.
    #[serde(rename = "window_ms")]
    pub dedup_window_ms: f64,
    /// Priority weight.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

/// One quota plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its weight among all tenants.
    #[serde(rename = "share")]
    pub tenant_weight: f64,
    /// Units per second.
    pub rate: f64,
    /// The most units that may be used at once, in seconds of the rate.
    pub burst_s: f64,
    /// The fraction of the gateways that serves a tenant.
    #[serde(rename = "spread")]
    pub gateway_fraction: Interval<f64>,
    /// What a request beyond the quota earns, as a factor on its weight.
    #[serde(rename = "over_worth")]
    pub over_quota_weight: f64,
    /// What a request beyond the quota costs, as a factor on its weight.
    #[serde(rename = "over_cost")]
    pub over_quota_cost: f64,
}

impl From<Idempotency> for ryefront_policy::Idempotency {
    fn from(idempotency: Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => Self::Idempotent,
            Idempotency::WithKey => Self::WithKey,
            Idempotency::NonIdempotent => Self::NonIdempotent,
        }
    }
}

impl Class {
    /// The class in the settings of a gateway.
    pub(crate) fn request_class(&self) -> RequestClass {
        RequestClass {
            name: self.name.as_str().into(),
            latency_objective: self.latency_objective_ms,
            idempotency: self.idempotency.into(),
            dedup_scope: DedupScope::Zone,
            dedup_window: self.dedup_window_ms,
            priority_weight: self.priority_weight,
            late_weight_fraction: 0.0,
        }
    }
}
