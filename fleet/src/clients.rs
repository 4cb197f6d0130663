//! The load: the arrival process and the content of requests, client disconnects, and client retries.

use crate::experiment::{Experiment, Load};
use crate::random::Random;
use crate::tenants::{Tenant, Tenants, cumulative_sums};
use crate::time::{self, Micros};
use ryefront_policy::Millis;
use std::f64::consts::TAU;

/// One attempt of a client's request, as it is sent to a gateway.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) tenant: u32,
    /// The index of its class.
    pub(crate) class: usize,
    pub(crate) units: f64,
    /// The service time at an endpoint of speed 1, in µs.
    pub(crate) work: f64,
    pub(crate) gateway: u32,
    /// The number of client attempts before this one.
    pub(crate) retries: u32,
    /// Whether the first attempt arrived after the warm-up. Only such requests are counted in the metrics.
    pub(crate) counted: bool,
}

/// The first attempt of a request, and the time at which a client sends it.
pub(crate) struct ScheduledRequest {
    pub(crate) at: Micros,
    pub(crate) request: ClientRequest,
}

/// Generates new requests.
pub(crate) struct Clients {
    gateway_count: u32,
    /// Cumulative request weights of the tenants.
    tenant_weights: Vec<f64>,
    /// Cumulative request weights of the classes.
    class_weights: Vec<f64>,
    requests_per_s: f64,
    random: Random,
}

impl Clients {
    /// Creates clients that send `requests_per_s` first attempts on average, distributed over tenants by the
    /// cumulative `tenant_weights`.
    pub(crate) fn new(
        experiment: &Experiment, requests_per_s: f64, gateway_count: u32, tenant_weights: Vec<f64>,
        random: Random,
    ) -> Self {
        Self {
            gateway_count,
            tenant_weights,
            class_weights: cumulative_sums(experiment.classes.iter().map(|class| class.request_weight)),
            requests_per_s,
            random,
        }
    }

    /// Draws the next new request after a point in time.
    pub(crate) fn next_request(
        &mut self, now: Micros, experiment: &Experiment, tenants: &Tenants,
    ) -> ScheduledRequest {
        let load = &experiment.load;
        let at = self.next_arrival_time(now, load);
        let tenant = self.random.weighted_index(&self.tenant_weights) as u32;
        let class = self.random.weighted_index(&self.class_weights);
        let units = load.units.low
            + self.random.uniform_below((load.units.high - load.units.low + 1) as usize) as u32;
        let work = self.random.exponential() * experiment.classes[class].mean_work_ms * 1000.0;
        let gateway = random_gateway(tenants.get(tenant), self.gateway_count, &mut self.random);
        let request =
            ClientRequest { tenant, class, units: units.into(), work, gateway, retries: 0, counted: false };
        ScheduledRequest { at, request }
    }

    /// Draws the time of the next arrival from a Poisson process whose rate varies as a sine, by thinning a
    /// process of the peak rate.
    fn next_arrival_time(&mut self, now: Micros, load: &Load) -> Micros {
        let peak = self.requests_per_s * (1.0 + load.rate_amplitude);
        let mut at = now as f64;
        loop {
            at += self.random.exponential() / peak * 1e6;
            let relative_rate = 1.0 + load.rate_amplitude * (at / 1e6 / load.rate_period_s * TAU).sin();
            if self.random.uniform() * (1.0 + load.rate_amplitude) < relative_rate {
                return at.ceil() as Micros;
            }
        }
    }
}

/// Disconnects and retries of clients.
pub(crate) struct ClientBehavior {
    load: Load,
    random: Random,
}

impl ClientBehavior {
    pub(crate) fn new(load: &Load, random: Random) -> Self {
        Self { load: load.clone(), random }
    }

    /// Draws whether a client disconnects before its deadline, and the time after which it does.
    pub(crate) fn disconnect_after(&mut self, time_to_deadline: Micros) -> Option<Micros> {
        let probability = self.load.disconnect_probability;
        let draw = self.random.uniform();
        // Given draw < probability, draw / probability is uniform in [0, 1).
        (draw < probability).then(|| (time_to_deadline as f64 * (draw / probability)) as Micros)
    }

    /// Draws whether a client retries a rejected request, the delay before the retry, and its gateway.
    pub(crate) fn retry(
        &mut self, mut request: ClientRequest, retry_after: Millis, tenant: &Tenant, gateway_count: u32,
    ) -> Option<ScheduledRetry> {
        // Both are drawn even if they are not used, so that the outcome does not shift the random stream.
        let draw = self.random.uniform();
        let backoff_ms = self.random.uniform_in(self.load.backoff_ms);
        if request.retries >= self.load.max_retries || draw >= self.load.retry_probability {
            return None;
        }
        request.retries += 1;
        request.gateway = random_gateway(tenant, gateway_count, &mut self.random);
        let delay_ms = backoff_ms.max(retry_after.min(self.load.max_retry_after_ms));
        Some(ScheduledRetry { delay: time::from_ms_ceil(delay_ms), request })
    }
}

/// A retry of a rejected request, and the delay after which the client sends it.
pub(crate) struct ScheduledRetry {
    pub(crate) delay: Micros,
    pub(crate) request: ClientRequest,
}

/// Draws one of the gateways that serve a tenant.
fn random_gateway(tenant: &Tenant, gateway_count: u32, random: &mut Random) -> u32 {
    let offset = random.uniform_below(tenant.gateway_count as usize) as u32;
    (tenant.first_gateway + offset) % gateway_count
}
