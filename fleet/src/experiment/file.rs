//! The types of an experiment and the keys of its file. Every key is required unless its documentation says
//! otherwise, and unknown keys are errors.

use ryefront_policy::{DedupScope, RequestClass};
use serde::Deserialize;

/// An experiment. Times are in milliseconds (`_ms`) or seconds (`_s`). The allowed ranges of all values are
/// in the module `validate`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment, which the report repeats.
    pub name: String,
    /// The seed of all random numbers; `--seed` overrides it.
    pub seed: u64,
    /// How long clients send requests, including the warm-up.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Warm-up at the start: requests that arrive during it are simulated, but not counted.
    #[serde(rename = "settle_s")]
    pub warm_up_s: f64,
    /// The size of the fleet.
    pub fleet: Fleet,
    /// The simulated part of the fleet. Optional; by default, all of it.
    #[serde(default)]
    pub scale: Scale,
    /// One-way network delays.
    pub network: Network,
    /// The requests of the clients.
    pub load: Load,
    /// The endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Endpoints,
    /// The shared counter.
    pub counter: Counter,
    /// The publication of endpoint lists.
    pub discovery: Discovery,
    /// A rolling replacement of endpoints. Optional; by default, none.
    #[serde(rename = "release")]
    pub rollout: Option<Rollout>,
    /// The request classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The quota plans.
    #[serde(rename = "plan")]
    pub plans: Vec<Plan>,
}

/// The bounds of a uniform distribution, written as an array of two numbers.
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

/// The number of gateways and endpoints, and their regions and zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of endpoints.
    #[serde(rename = "servers")]
    pub endpoints: u32,
    /// Number of regions. The gateways of a region have consecutive indices.
    pub regions: u32,
    /// Number of zones in each region.
    #[serde(rename = "zones")]
    pub zones_per_region: u32,
}

/// The simulated part of the fleet, for fleets that need too much memory or time to simulate completely.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// Number of simulated gateways; endpoints, tenants, requests and counter are scaled in proportion.
    /// Optional; by default, all gateways.
    pub gateways: Option<u32>,
    /// Number of gateways that have a real endpoint registry in addition to their policy engine. Optional; by
    /// default, all gateways.
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
    /// The maximum random addition to a delay, as a fraction of the delay.
    pub jitter: f64,
}

/// The requests of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate of first attempts of all clients together.
    pub requests_per_s: f64,
    /// Amplitude of the sine by which the request rate varies, as a fraction of the mean.
    #[serde(rename = "swing")]
    pub rate_amplitude: f64,
    /// The period of that sine.
    #[serde(rename = "wave_s")]
    pub rate_period_s: f64,
    /// Number of tenants on all plans together.
    pub tenants: u32,
    /// The usage of a tenant that is not heavy, as a factor on the rate of its plan.
    #[serde(rename = "use_of_plan")]
    pub usage_factor: Interval<f64>,
    /// The fraction of heavy tenants.
    #[serde(rename = "heavy_share")]
    pub heavy_fraction: f64,
    /// The usage of a heavy tenant, as a factor on the rate of its plan.
    #[serde(rename = "heavy_times")]
    pub heavy_usage_factor: Interval<f64>,
    /// The units of a request, an integer drawn uniformly.
    pub units: Interval<u32>,
    /// The maximum number of times that a client retries a rejected request.
    #[serde(rename = "retries")]
    pub max_retries: u32,
    /// The probability that a rejected request is retried.
    #[serde(rename = "retry_share")]
    pub retry_probability: f64,
    /// Client backoff before a retry, unless Retry-After is longer.
    pub backoff_ms: Interval<f64>,
    /// The upper limit that clients apply to Retry-After.
    #[serde(rename = "longest_advice_ms")]
    pub max_retry_after_ms: f64,
    /// The probability that a client disconnects before its deadline.
    #[serde(rename = "impatient")]
    pub disconnect_probability: f64,
}

/// The capacity of endpoints, their slow start and their connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoints {
    /// Number of requests that an endpoint processes concurrently.
    pub cores: u32,
    /// The speed of an endpoint relative to nominal: the service time of a request is its work / speed.
    pub speed: Interval<f64>,
    /// Number of requests that may wait at an endpoint; further ones are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: u32,
    /// The fraction of requests that end with an error.
    pub error_rate: f64,
    /// Number of endpoints in a cell.
    #[serde(rename = "cell")]
    pub cell_size: u32,
    /// The fraction of its full capacity that an endpoint has at the beginning of slow start.
    #[serde(rename = "cold_share")]
    pub slow_start_initial_fraction: f64,
    /// The duration of slow start, after which an endpoint has its full capacity.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
    /// Overload factor: attempts to an endpoint in slow start above this multiple of its present capacity,
    /// within the overload window, violate an invariant. The model never makes an endpoint fail because of
    /// overload.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The overload window: the time over which those attempts are counted.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// Number of network round trips needed to open a connection.
    #[serde(rename = "handshake_trips")]
    pub handshake_round_trips: u32,
    /// Work at the endpoint for a new connection.
    #[serde(rename = "handshake_ms")]
    pub handshake_work_ms: f64,
    /// How long an idle connection is kept open.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Number of partitions of the key space.
    #[serde(rename = "parts")]
    pub partitions: u32,
    /// Calls per second that all partitions together can serve.
    #[serde(rename = "per_s")]
    pub calls_per_s: f64,
    /// The longest wait in a partition; a call that would wait longer is rejected.
    #[serde(rename = "longest_wait_ms")]
    pub max_wait_ms: f64,
    /// The counter timeout in the gateways' settings.
    pub timeout_ms: f64,
}

/// The publication of endpoint lists.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// The interval at which collected changes are published.
    #[serde(rename = "period_ms")]
    pub publish_period_ms: f64,
    /// The minimum delay from publication to the notification of a gateway.
    #[serde(rename = "notice_ms")]
    pub notification_delay_ms: f64,
    /// The maximum random addition to that delay.
    #[serde(rename = "spread_ms")]
    pub notification_spread_ms: f64,
}

/// A rolling replacement of endpoints under load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// When the first endpoint starts to drain.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// The interval over which the drains start; their start times are evenly spaced.
    #[serde(rename = "over_s")]
    pub duration_s: f64,
    /// The fraction of all endpoints that is replaced.
    #[serde(rename = "share")]
    pub replaced_fraction: f64,
    /// How long a draining endpoint still accepts requests before it stops.
    #[serde(rename = "grace_s")]
    pub drain_grace_s: f64,
    /// The time from the stop of an endpoint to the start of its successor.
    pub boot_s: f64,
}

/// Whether a request may be executed again after an earlier attempt that may have run.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum Idempotency {
    /// The request may be repeated at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// The request carries an idempotency key, by which the endpoints of a zone recognize a repetition.
    #[serde(rename = "keyed")]
    WithKey,
    /// The request must not be executed twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The weight of the class when the class of a request is drawn.
    #[serde(rename = "share")]
    pub request_weight: f64,
    /// The mean of the exponentially distributed work of a request.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Latency objective: a slower response counts as late.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// How long clients wait for a response.
    pub deadline_ms: f64,
    /// Whether a request may be executed again.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// How long a repeated idempotency key is recognized.
    #[serde(rename = "window_ms")]
    pub dedup_window_ms: f64,
    /// The priority weight of the class in the gateways' settings.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
}

/// A quota plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// The weight of the plan when the plan of a tenant is drawn.
    #[serde(rename = "share")]
    pub tenant_weight: f64,
    /// Units per second.
    pub rate: f64,
    /// The burst, in seconds of the rate: `rate * burst_s` units may be used at once.
    pub burst_s: f64,
    /// The fraction of all gateways that serves a tenant.
    #[serde(rename = "spread")]
    pub gateway_fraction: Interval<f64>,
    /// The value of serving a request beyond the quota, as a factor on its priority weight.
    #[serde(rename = "over_worth")]
    pub over_quota_weight: f64,
    /// The cost of serving a request beyond the quota, as a factor on its priority weight.
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
    /// Converts the class to that of the gateways' settings.
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
