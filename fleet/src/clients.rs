//! Clients: which requests they send, when, through which gateways, and how they retry.

use crate::experiment::{Experiment, Load};
use crate::random::Random;
use crate::tenants::{Tenant, Tenants, cumulative};
use crate::time::{self, Micros};
use ryefront_policy::Millis;
use std::f64::consts::TAU;

/// A client's request, as its next attempt sends it.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub(crate) tenant: u32,
    /// The index of its class.
    pub(crate) class: usize,
    pub(crate) units: f64,
    /// Work at an endpoint of speed 1, µs.
    pub(crate) work: f64,
    pub(crate) gateway: u32,
    /// Client attempts before this one.
    pub(crate) retries: u32,
    /// Whether the first attempt came after the warm-up, so that it counts in the metrics.
    pub(crate) counted: bool,
}

/// A request that a client will send.
pub(crate) struct ScheduledRequest {
    pub(crate) at: Micros,
    pub(crate) request: ClientRequest,
}

/// The source of new requests.
pub(crate) struct Clients {
    gateway_count: u32,
    /// Cumulative weights by tenant.
    tenant_weights: Vec<f64>,
    /// Cumulative weights by class.
    class_weights: Vec<f64>,
    requests_per_s: f64,
    random: Random,
}

impl Clients {
    /// Clients that send `requests_per_s` first attempts on average, by the weights of their tenants.
    pub(crate) fn new(
        experiment: &Experiment, requests_per_s: f64, gateway_count: u32, tenant_weights: Vec<f64>,
        random: Random,
    ) -> Self {
        Self {
            gateway_count,
            tenant_weights,
            class_weights: cumulative(experiment.classes.iter().map(|class| class.request_weight)),
            requests_per_s,
            random,
        }
    }

    /// Draws the next first attempt after a point in time.
    pub(crate) fn next_request(
        &mut self, now: Micros, experiment: &Experiment, tenants: &Tenants,
    ) -> ScheduledRequest {
        let load = &experiment.load;
        let at = self.next_arrival(now, load);
        let tenant = self.random.weighted(&self.tenant_weights) as u32;
        let class = self.random.weighted(&self.class_weights);
        let units =
            load.units.low + self.random.below((load.units.high - load.units.low + 1) as usize) as u32;
        let work = self.random.exponential() * experiment.classes[class].mean_work_ms * 1000.0;
        let gateway = random_gateway(tenants.get(tenant), self.gateway_count, &mut self.random);
        let request =
            ClientRequest { tenant, class, units: units.into(), work, gateway, retries: 0, counted: false };
        ScheduledRequest { at, request }
    }

    /// Draws the time of the next arrival: a Poisson process whose rate is a sine, by thinning one of its
    /// peak rate.
    fn next_arrival(&mut self, now: Micros, load: &Load) -> Micros {
        let peak = self.requests_per_s * (1.0 + load.rate_amplitude);
        let mut at = now as f64;
        loop {
            at += self.random.exponential() / peak * 1e6;
            let wave = 1.0 + load.rate_amplitude * (at / 1e6 / load.rate_period_s * TAU).sin();
            if self.random.unit() * (1.0 + load.rate_amplitude) < wave {
                return at.ceil() as Micros;
            }
        }
    }
}

/// What clients do after they have sent a request.
pub(crate) struct ClientBehavior {
    load: Load,
    random: Random,
}

impl ClientBehavior {
    pub(crate) fn new(load: &Load, random: Random) -> Self {
        Self { load: load.clone(), random }
    }

    /// Draws whether a client disconnects before its deadline, and after which time.
    pub(crate) fn disconnect_after(&mut self, time_to_deadline: Micros) -> Option<Micros> {
        let probability = self.load.disconnect_probability;
        let draw = self.random.unit();
        // Given draw < probability, draw / probability is uniform in [0, 1).
        (draw < probability).then(|| (time_to_deadline as f64 * (draw / probability)) as Micros)
    }

    /// Draws whether a client retries a rejected request, after which time, and through which gateway.
    pub(crate) fn retry(
        &mut self, mut request: ClientRequest, retry_after: Millis, tenant: &Tenant, gateway_count: u32,
    ) -> Option<ScheduledRetry> {
        // Both are drawn in any case, so that the stream does not depend on the outcome.
        let draw = self.random.unit();
        let backoff_ms = self.random.within(self.load.backoff_ms);
        if request.retries >= self.load.max_retries || draw >= self.load.retry_probability {
            return None;
        }
        request.retries += 1;
        request.gateway = random_gateway(tenant, gateway_count, &mut self.random);
        let delay_ms = backoff_ms.max(retry_after.min(self.load.max_retry_after_ms));
        Some(ScheduledRetry { delay: time::from_ms_ceil(delay_ms), request })
    }
}

/// A rejected request that a client will send again.
pub(crate) struct ScheduledRetry {
    pub(crate) delay: Micros,
    pub(crate) request: ClientRequest,
}

/// Draws one of the gateways that serve a tenant.
fn random_gateway(tenant: &Tenant, gateway_count: u32, random: &mut Random) -> u32 {
    let offset = random.below(tenant.gateway_count as usize) as u32;
    (tenant.first_gateway + offset) % gateway_count
}
