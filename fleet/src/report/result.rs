//! The report of a simulation, serialized as `result.json`.

use super::invariants::{Invariant, WorstRatios, invariants};
use super::metrics::{Metrics, RejectionReason};
use super::rounding::{fraction, round};
use crate::counter::CounterStatistics;
use crate::endpoints::{Endpoint, Endpoints};
use crate::experiment::Experiment;
use crate::gateway_process::{GatewayProcess, ListBytes};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The size of the simulated fleet, which may be a fraction of the fleet in the experiment file.
#[derive(Clone, Debug, Serialize)]
pub struct SimulatedScale {
    /// Number of gateways in the experiment file.
    pub gateways_in_file: u32,
    /// Number of simulated gateways.
    pub gateways: u32,
    /// The simulated fraction of gateways, endpoints, tenants, request rate and counter capacity.
    pub fraction: f64,
    /// Number of endpoints at the start.
    pub endpoints: u64,
    /// Number of tenants.
    pub tenants: u64,
    /// Mean rate of first attempts, per second.
    pub requests_per_s: f64,
    /// Number of gateways that have a real endpoint registry in addition to their policy engine.
    pub gateways_with_registry: u32,
    /// Duration of the run after the warm-up, in seconds.
    pub counted_s: f64,
}

/// Rejected client attempts, by reason.
#[derive(Clone, Debug, Serialize)]
pub struct Rejections {
    /// All rejected client attempts.
    pub total: u64,
    /// The tenant had too few units left by the model's exact accounting (gateways only estimate it).
    pub beyond_quota: u64,
    /// At least one attempt had been forwarded.
    pub after_attempt: u64,
    /// Rejected on arrival although the tenant had the units: shed, the wait queue full, or beyond the quota
    /// by the gateway's estimate.
    pub on_arrival: u64,
    /// Rejected on a counter reply although the tenant had the units.
    pub on_counter_reply: u64,
    /// Rejected on any other event, mostly the end of a wait for the counter or for capacity, although the
    /// tenant had the units.
    pub wait_expired: u64,
}

/// Failed client attempts, by cause.
#[derive(Clone, Debug, Serialize)]
pub struct Failures {
    /// The deadline passed without a response.
    pub timed_out: u64,
    /// Any other cause.
    pub other: u64,
}

/// Percentiles of a duration, in milliseconds of virtual time.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs, reason = "the field names say which percentile each one is")]
pub struct Percentiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl Percentiles {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50: quantile_ms(0.5),
            p90: quantile_ms(0.9),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// How evenly a count is distributed over the endpoints that were ready throughout the simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    /// The highest count of any endpoint.
    pub max: u64,
    /// The mean count per endpoint.
    pub mean: f64,
    /// `max` divided by `mean`; 1 is perfectly even.
    pub max_over_mean: f64,
}

impl Spread {
    fn from_endpoints(endpoints: &Endpoints, count: impl Fn(&Endpoint) -> u64) -> Self {
        let always_ready = endpoints.iter().filter(|endpoint| endpoint.was_always_ready());
        let counts = always_ready.map(&count);
        let max = counts.clone().max().unwrap_or(0);
        let endpoint_count = counts.clone().count().max(1);
        let mean = counts.sum::<u64>() as f64 / endpoint_count as f64;
        Self { max, mean: round(mean), max_over_mean: round(max as f64 / mean.max(1e-9)) }
    }
}

/// Calls from the gateways to the counter, including the warm-up.
#[derive(Clone, Debug, Serialize)]
pub struct CounterCalls {
    /// Number of calls.
    pub calls: u64,
    /// Calls per second.
    pub per_s: f64,
    /// Calls per client attempt.
    #[serde(rename = "per_request")]
    pub per_client_attempt: f64,
    /// Calls that the gateway abandoned after its timeout.
    pub timed_out: u64,
    /// Calls that the counter rejected.
    pub rejected: u64,
}

/// Endpoint lists that discovery published. Sizes are of the list text alone, without protocol headers.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointLists {
    /// Number of published lists.
    pub published: u64,
    /// Bytes of snapshots received per gateway, on average.
    pub snapshot_bytes_per_gateway: f64,
    /// Bytes of deltas received per gateway, on average.
    pub delta_bytes_per_gateway: f64,
}

/// Attempts that all gateways together sent to endpoints in slow start, relative to the budget within an
/// overload window: N + 2 sqrt(N) + 2, where N is the overload factor times the attempts that the endpoint's
/// present capacity serves within the window. The budget is larger than N because random arrivals alone
/// occasionally exceed N.
#[derive(Clone, Debug, Serialize)]
pub struct SlowStartLoad {
    /// Number of endpoints that started during the simulation.
    pub starts: u64,
    /// Attempts sent to them during slow start. Each one is compared with the budget.
    pub attempts: u64,
    /// The highest ratio of attempts to budget within an overload window.
    pub worst_ratio: f64,
    /// The attempts in the window with the highest ratio.
    pub worst_attempts: u64,
    /// The budget of the window with the highest ratio.
    pub worst_budget: f64,
}

/// The result of a simulation. Counts are of client attempts after the warm-up, unless a field's
/// documentation says otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// The seed of the run.
    pub seed: u64,
    /// The size of the simulated fleet.
    pub scale: SimulatedScale,
    /// Units that first attempts request per second, relative to the sum of the rates of all quotas.
    pub quota_demand: f64,
    /// Rate of first attempts, relative to the capacity of the endpoints that are ready at the end.
    pub capacity_demand: f64,
    /// All client attempts.
    pub offered: u64,
    /// Client attempts that are not retries.
    pub first_attempts: u64,
    /// Client attempts that were served.
    pub served: u64,
    /// The fraction of first attempts that were served, on the first attempt or on a retry.
    pub served_fraction_of_first_attempts: f64,
    /// Client attempts that were served after the latency objective.
    pub late: u64,
    /// Client attempts that were rejected.
    pub rejected: Rejections,
    /// Client attempts that were rejected while more than half of the tenant's burst was left.
    pub rejected_with_quota_left: u64,
    /// `rejected_with_quota_left` as a fraction of all client attempts.
    pub rejected_with_quota_left_fraction: f64,
    /// Client attempts that failed.
    pub failed: Failures,
    /// Client attempts whose client disconnected.
    pub client_disconnected: u64,
    /// Client attempts that were served although the tenant had too few units left.
    pub over_quota: u64,
    /// `over_quota` as a fraction of `served`.
    pub over_quota_fraction: f64,
    /// Latency added by the gateway to served client attempts: the latency without that of the served
    /// attempt, plus the handshake of its connection if that was new. The gateway's processor time is not
    /// included: see [`slopes`](crate::slopes).
    pub added_ms: Percentiles,
    /// Latency of served client attempts, measured at the gateway.
    pub latency_ms: Percentiles,
    /// Forwarded attempts per endpoint, including the warm-up.
    pub attempts_per_endpoint: Spread,
    /// Gateways that sent at least one attempt to an endpoint, including the warm-up.
    pub gateways_per_endpoint: Spread,
    /// Calls to the counter.
    pub counter: CounterCalls,
    /// Endpoint lists that discovery published.
    pub endpoint_lists: EndpointLists,
    /// Attempts to endpoints in slow start.
    pub slow_start: SlowStartLoad,
    /// Forwarded attempts per client attempt.
    #[serde(rename = "attempts_per_request")]
    pub attempts_per_client_attempt: f64,
    /// Number of new connections.
    pub handshakes: u64,
    /// New connections per forwarded attempt.
    pub handshakes_per_attempt: f64,
    /// The fraction of forwarded attempts that left the gateway's zone.
    pub cross_zone_fraction: f64,
    /// The fraction of forwarded attempts that left the gateway's region.
    pub cross_region_fraction: f64,
    /// All invariants, including those that held.
    pub invariants: Vec<Invariant>,
}

/// The state of a simulation at its end, from which a report is computed.
pub(crate) struct ReportInput<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) seed: u64,
    pub(crate) quota_demand: f64,
    pub(crate) worst_ratios: WorstRatios,
    pub(crate) tenant_count: usize,
    pub(crate) gateways: &'a [GatewayProcess],
    pub(crate) endpoints: &'a Endpoints,
    pub(crate) counter: CounterStatistics,
    pub(crate) list_count: usize,
    pub(crate) metrics: Metrics,
}

impl Report {
    pub(crate) fn new(input: &ReportInput) -> Self {
        let ReportInput { experiment, endpoints, counter, metrics, .. } = input;
        let scale = SimulatedScale::from_input(input);
        Self {
            experiment: experiment.name.clone(),
            seed: input.seed,
            quota_demand: round(input.quota_demand),
            capacity_demand: round(scale.requests_per_s / endpoints.capacity()),
            scale,
            offered: metrics.offered,
            first_attempts: metrics.first_attempts,
            served: metrics.served,
            served_fraction_of_first_attempts: fraction(metrics.served, metrics.first_attempts),
            late: metrics.late,
            rejected: Rejections::from_metrics(metrics),
            rejected_with_quota_left: metrics.rejected_with_quota_left,
            rejected_with_quota_left_fraction: fraction(metrics.rejected_with_quota_left, metrics.offered),
            failed: Failures { timed_out: metrics.timed_out, other: metrics.failed },
            client_disconnected: metrics.client_disconnected,
            over_quota: metrics.over_quota,
            over_quota_fraction: fraction(metrics.over_quota, metrics.served),
            added_ms: Percentiles::from_histogram(&metrics.added_latency),
            latency_ms: Percentiles::from_histogram(&metrics.latency),
            attempts_per_endpoint: Spread::from_endpoints(endpoints, Endpoint::attempts),
            gateways_per_endpoint: Spread::from_endpoints(endpoints, |e| e.sender_count().into()),
            counter: CounterCalls::from_statistics(
                *counter,
                experiment.duration_s,
                metrics.offered_with_warm_up,
            ),
            endpoint_lists: EndpointLists::from_gateways(input.gateways, input.list_count),
            slow_start: SlowStartLoad::from_endpoints(endpoints),
            attempts_per_client_attempt: fraction(metrics.forwarded, metrics.offered),
            handshakes: metrics.handshakes,
            handshakes_per_attempt: fraction(metrics.handshakes, metrics.forwarded),
            cross_zone_fraction: fraction(metrics.cross_zone, metrics.forwarded),
            cross_region_fraction: fraction(metrics.cross_region, metrics.forwarded),
            invariants: invariants(metrics, input.worst_ratios),
        }
    }

    /// The invariants that did not hold.
    pub fn violations(&self) -> impl Iterator<Item = &Invariant> {
        self.invariants.iter().filter(|invariant| !invariant.held)
    }

    /// Serializes the report as indented JSON with a trailing line feed.
    ///
    /// # Panics
    /// Never: a report contains only strings, numbers and booleans, which always serialize.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report serializes as JSON") + "\n"
    }
}

impl SimulatedScale {
    fn from_input(input: &ReportInput) -> Self {
        let experiment = input.experiment;
        let gateways = input.gateways.len();
        let gateways_in_file = experiment.fleet.gateways;
        let with_registry = experiment.scale.gateways_with_registry.unwrap_or(u32::MAX);
        Self {
            gateways_in_file,
            gateways: gateways as u32,
            fraction: gateways as f64 / f64::from(gateways_in_file),
            endpoints: input.endpoints.count() as u64 - input.endpoints.slow_start().starts,
            tenants: input.tenant_count as u64,
            requests_per_s: experiment.load.requests_per_s * gateways as f64 / f64::from(gateways_in_file),
            gateways_with_registry: with_registry.min(gateways as u32),
            counted_s: experiment.duration_s - experiment.warm_up_s,
        }
    }
}

impl Rejections {
    fn from_metrics(metrics: &Metrics) -> Self {
        Self {
            total: metrics.rejected_total(),
            beyond_quota: metrics.rejected(RejectionReason::BeyondQuota),
            after_attempt: metrics.rejected(RejectionReason::AfterAttempt),
            on_arrival: metrics.rejected(RejectionReason::OnArrival),
            on_counter_reply: metrics.rejected(RejectionReason::OnCounterReply),
            wait_expired: metrics.rejected(RejectionReason::WaitExpired),
        }
    }
}

impl CounterCalls {
    fn from_statistics(counter: CounterStatistics, duration_s: f64, offered: u64) -> Self {
        Self {
            calls: counter.calls,
            per_s: round(counter.calls as f64 / duration_s),
            per_client_attempt: fraction(counter.calls, offered),
            timed_out: counter.timed_out,
            rejected: counter.rejected,
        }
    }
}

impl EndpointLists {
    fn from_gateways(gateways: &[GatewayProcess], list_count: usize) -> Self {
        let mean = |bytes: fn(ListBytes) -> u64| {
            let sum: u64 = gateways.iter().map(|gateway| bytes(gateway.list_bytes())).sum();
            round(sum as f64 / gateways.len() as f64)
        };
        Self {
            published: list_count as u64,
            snapshot_bytes_per_gateway: mean(|bytes| bytes.snapshots),
            delta_bytes_per_gateway: mean(|bytes| bytes.deltas),
        }
    }
}

impl SlowStartLoad {
    fn from_endpoints(endpoints: &Endpoints) -> Self {
        let slow_start = endpoints.slow_start();
        Self {
            starts: slow_start.starts,
            attempts: slow_start.attempts,
            worst_ratio: round(slow_start.worst_ratio),
            worst_attempts: slow_start.worst_attempts,
            worst_budget: round(slow_start.worst_budget),
        }
    }
}
