//! The figures of a simulation, as `result.json` holds them.

use super::invariants::{Invariant, WorstRatios, invariants};
use super::metrics::{Metrics, RejectionReason};
use super::rounding::{fraction, round};
use crate::counter::CounterStatistics;
use crate::endpoints::Endpoints;
use crate::experiment::Experiment;
use crate::gateway_process::{GatewayProcess, ListBytes};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The part of the fleet that was simulated.
#[derive(Clone, Debug, Serialize)]
pub struct SimulatedScale {
    /// Gateways in the experiment file.
    pub gateways_in_file: u32,
    /// Gateways that were simulated.
    pub gateways: u32,
    /// The fraction of gateways, endpoints, tenants, requests and counter that was simulated.
    pub fraction: f64,
    /// Endpoints at the start.
    pub endpoints: u64,
    /// Tenants.
    pub tenants: u64,
    /// First attempts per second, on average.
    pub requests_per_s: f64,
    /// Gateways with a real endpoint registry beside their policy engine.
    pub gateways_with_registry: u32,
    /// Measured time, seconds, after the warm-up.
    pub counted_s: f64,
}

/// Rejected client attempts, by reason.
#[derive(Clone, Debug, Serialize)]
pub struct Rejections {
    /// All of them.
    pub total: u64,
    /// The tenant had too few units left by the model's exact accounting (gateways only estimate it).
    pub beyond_quota: u64,
    /// An attempt had been forwarded.
    pub after_attempt: u64,
    /// On arrival, though the tenant had the units: shed, the wait queue full, or beyond the quota by the
    /// gateway's reading.
    pub on_arrival: u64,
    /// On a reply of the counter, though the tenant had the units.
    pub on_counter_reply: u64,
    /// On any other event, mostly the end of a wait for the counter or for capacity, though the tenant had
    /// the units.
    pub wait_expired: u64,
}

/// Failed client attempts.
#[derive(Clone, Debug, Serialize)]
pub struct Failures {
    /// Without a response by the deadline.
    pub timed_out: u64,
    /// All others.
    pub other: u64,
}

/// Percentiles of a duration, in virtual ms.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs, reason = "the names are clear")]
pub struct Percentiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub max: f64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
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

/// How evenly something is spread over the endpoints that were ready from start to end.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    /// The largest value of one endpoint.
    pub max: u64,
    /// The mean.
    pub mean: f64,
    /// `max` / `mean`.
    pub max_over_mean: f64,
}

impl Spread {
    fn of(values: impl Iterator<Item = u64> + Clone) -> Self {
        let max = values.clone().max().unwrap_or(0);
        let count = values.clone().count().max(1);
        let mean = values.sum::<u64>() as f64 / count as f64;
        Self { max, mean: round(mean), max_over_mean: round(max as f64 / mean.max(1e-9)) }
    }
}

/// Calls of the counter, with those of the warm-up.
#[derive(Clone, Debug, Serialize)]
pub struct CounterCalls {
    /// All calls.
    pub calls: u64,
    /// Calls per second.
    pub per_s: f64,
    /// Calls per client attempt.
    #[serde(rename = "per_request")]
    pub per_client_attempt: f64,
    /// Abandoned by the gateway.
    pub timed_out: u64,
    /// Rejected by the counter.
    pub rejected: u64,
}

/// Endpoint lists, their bodies alone.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointLists {
    /// Lists that were published.
    pub published: u64,
    /// Mean bytes of snapshots that a gateway received.
    pub snapshot_bytes_per_gateway: f64,
    /// Mean bytes of deltas that a gateway received.
    pub delta_bytes_per_gateway: f64,
}

/// Attempts that all gateways together sent to endpoints in slow start, and their budget within an overload
/// window: N + 2 sqrt(N) + 2, where N is the overload factor times the attempts that the endpoint's present
/// capacity serves within the window. Chance alone exceeds N.
#[derive(Clone, Debug, Serialize)]
pub struct SlowStartLoad {
    /// Endpoints that started.
    pub starts: u64,
    /// Attempts sent to them during slow start, each of which was compared with its budget.
    pub attempts: u64,
    /// The highest ratio of attempts to budget ...
    pub worst_ratio: f64,
    /// ... its attempts ...
    pub worst_attempts: u64,
    /// ... and its budget.
    pub worst_budget: f64,
}

/// The result of a simulation. Counts are of client attempts after the warm-up, unless their documentation
/// says otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: String,
    /// The seed.
    pub seed: u64,
    /// The part of the fleet that was simulated.
    pub scale: SimulatedScale,
    /// Units that first attempts ask for, relative to the rates of all quotas.
    pub quota_demand: f64,
    /// First attempts, relative to the capacity of the endpoints that are ready at the end.
    pub capacity_demand: f64,
    /// Client attempts.
    pub offered: u64,
    /// First attempts among them.
    pub first_attempts: u64,
    /// Served ones.
    pub served: u64,
    /// The fraction of first attempts that were served, on the first attempt or on a retry.
    pub served_fraction_of_first_attempts: f64,
    /// Served after the latency objective.
    pub late: u64,
    /// Rejected ones.
    pub rejected: Rejections,
    /// Rejected while over half of the tenant's burst was left.
    pub rejected_with_quota_left: u64,
    /// Those as a fraction of client attempts.
    pub rejected_with_quota_left_fraction: f64,
    /// Failed ones.
    pub failed: Failures,
    /// Those whose client disconnected.
    pub client_disconnected: u64,
    /// Served though the tenant had too few units left.
    pub over_quota: u64,
    /// Those as a fraction of the served ones.
    pub over_quota_fraction: f64,
    /// The latency of served ones without the attempt that was served, but with its new connection. The
    /// gateway's processor time is not included: see `slopes`.
    pub added_ms: Percentiles,
    /// The latency of served ones at the gateway.
    pub latency_ms: Percentiles,
    /// Attempts per endpoint, with those of the warm-up.
    pub attempts_per_endpoint: Spread,
    /// Gateways that sent to an endpoint at least once, with the warm-up.
    pub gateways_per_endpoint: Spread,
    /// Calls of the counter.
    pub counter: CounterCalls,
    /// Endpoint lists.
    pub endpoint_lists: EndpointLists,
    /// Attempts to endpoints in slow start.
    pub slow_start: SlowStartLoad,
    /// Forwarded attempts per client attempt.
    #[serde(rename = "attempts_per_request")]
    pub attempts_per_client_attempt: f64,
    /// New connections.
    pub handshakes: u64,
    /// New connections per forwarded attempt.
    pub handshakes_per_attempt: f64,
    /// The fraction of forwarded attempts that left the gateway's zone.
    pub cross_zone_fraction: f64,
    /// The fraction of forwarded attempts that left the gateway's region.
    pub cross_region_fraction: f64,
    /// What must hold in every simulation.
    pub invariants: Vec<Invariant>,
}

/// What a report is made of.
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
        let scale = SimulatedScale::of(input);
        let always_ready = || endpoints.iter().filter(|endpoint| endpoint.was_always_ready());
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
            rejected: Rejections::of(metrics),
            rejected_with_quota_left: metrics.rejected_with_quota_left,
            rejected_with_quota_left_fraction: fraction(metrics.rejected_with_quota_left, metrics.offered),
            failed: Failures { timed_out: metrics.timed_out, other: metrics.failed },
            client_disconnected: metrics.client_disconnected,
            over_quota: metrics.over_quota,
            over_quota_fraction: fraction(metrics.over_quota, metrics.served),
            added_ms: Percentiles::of(&metrics.added),
            latency_ms: Percentiles::of(&metrics.latency),
            attempts_per_endpoint: Spread::of(always_ready().map(|endpoint| endpoint.attempts())),
            gateways_per_endpoint: Spread::of(always_ready().map(|e| u64::from(e.sender_count()))),
            counter: CounterCalls::of(*counter, experiment.duration_s, metrics.offered_with_warm_up),
            endpoint_lists: EndpointLists::of(input.gateways, input.list_count),
            slow_start: SlowStartLoad::of(endpoints),
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

    /// The result for machines, with a line feed at its end.
    ///
    /// # Panics
    /// Never: all figures can be written as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("all figures can be written as JSON") + "\n"
    }
}

impl SimulatedScale {
    fn of(input: &ReportInput) -> Self {
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
    fn of(metrics: &Metrics) -> Self {
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
    fn of(counter: CounterStatistics, duration_s: f64, offered: u64) -> Self {
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
    fn of(gateways: &[GatewayProcess], list_count: usize) -> Self {
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
    fn of(endpoints: &Endpoints) -> Self {
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
