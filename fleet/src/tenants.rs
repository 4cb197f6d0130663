//! Tenants, and what each has left of its quota by the model's exact accounting of the requests that reached
//! an endpoint. Gateways only estimate it.

use crate::experiment::Experiment;
use crate::random::{GOLDEN_GAMMA, Random};
use crate::time::Micros;
use ryefront_policy::Name;

/// The quota of a plan.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    /// Units per second.
    pub(crate) rate: f64,
    /// The most units that may be used at once.
    pub(crate) burst: f64,
}

/// One tenant.
pub(crate) struct Tenant {
    pub(crate) name: Name,
    /// The index of its plan.
    pub(crate) plan: usize,
    /// The index of the first gateway that serves it; the others follow it in order, wrapping around.
    pub(crate) first_gateway: u32,
    pub(crate) gateway_count: u32,
    /// Units of requests that reached an endpoint.
    pub(crate) used_units: f64,
    /// Units that were left when it was charged last.
    remaining: f64,
    charged_at: Micros,
}

/// Whether a request was within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaCheck {
    Within,
    Over,
}

/// Tenants drawn at random.
pub(crate) struct GeneratedTenants {
    pub(crate) tenants: Tenants,
    /// The cumulative weights by which tenants send requests.
    pub(crate) usage_weights: Vec<f64>,
    /// The sum of the rates of all quotas, units per second.
    pub(crate) total_rate: f64,
}

/// All tenants.
pub(crate) struct Tenants {
    all: Vec<Tenant>,
    /// The quota of each plan.
    quotas: Vec<Quota>,
}

impl Tenants {
    /// Draws the tenants of a fraction of the fleet, which `gateway_count` gateways serve.
    pub(crate) fn generate(
        experiment: &Experiment, fraction: f64, gateway_count: u32, random: &mut Random,
    ) -> GeneratedTenants {
        let load = &experiment.load;
        let plan_weights = cumulative(experiment.plans.iter().map(|plan| plan.tenant_weight));
        let quotas: Vec<Quota> = experiment
            .plans
            .iter()
            .map(|plan| Quota { rate: plan.rate, burst: plan.rate * plan.burst_s })
            .collect();
        let count = ((f64::from(load.tenants) * fraction).round() as u32).max(1);
        let mut all = Vec::new();
        let mut usage = Vec::new();
        let mut total_rate = 0.0;
        for number in 0..count {
            let plan = random.weighted(&plan_weights);
            let settings = &experiment.plans[plan];
            let tenant_gateways = random.within(settings.gateway_fraction) * f64::from(gateway_count);
            let heavy = random.unit() < load.heavy_fraction;
            let usage_factor = random.within(if heavy { load.heavy_usage_factor } else { load.usage_factor });
            usage.push(settings.rate * usage_factor);
            total_rate += quotas[plan].rate;
            all.push(Tenant {
                name: tenant_name(number),
                plan,
                first_gateway: random.below(gateway_count as usize) as u32,
                gateway_count: tenant_gateways.round().max(1.0) as u32,
                used_units: 0.0,
                remaining: quotas[plan].burst,
                charged_at: 0,
            });
        }
        GeneratedTenants { tenants: Self { all, quotas }, usage_weights: cumulative(usage), total_rate }
    }

    pub(crate) fn get(&self, tenant: u32) -> &Tenant {
        &self.all[tenant as usize]
    }

    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = &Tenant> {
        self.all.iter()
    }

    pub(crate) fn quota(&self, tenant: &Tenant) -> Quota {
        self.quotas[tenant.plan]
    }

    /// The units that a tenant has left by the model's exact accounting.
    pub(crate) fn remaining(&self, tenant: u32, now: Micros) -> f64 {
        let tenant = self.get(tenant);
        let quota = self.quota(tenant);
        (tenant.remaining + quota.rate * (now - tenant.charged_at) as f64 / 1e6).min(quota.burst)
    }

    /// Records the units used by a request that reached an endpoint, and deducts them from the quota if it
    /// has as many left.
    pub(crate) fn charge(&mut self, tenant: u32, units: f64, now: Micros) -> QuotaCheck {
        let remaining = self.remaining(tenant, now);
        let tenant = &mut self.all[tenant as usize];
        tenant.charged_at = now;
        tenant.used_units += units;
        if remaining >= units {
            tenant.remaining = remaining - units;
            QuotaCheck::Within
        } else {
            tenant.remaining = remaining;
            QuotaCheck::Over
        }
    }
}

/// Running sums of the weights.
pub(crate) fn cumulative(weights: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |weight: f64| {
        sum += weight;
        sum
    };
    weights.into_iter().map(add).collect()
}

/// 16 hexadecimal digits below 2^33, as tenants' names have them; the odd factor makes each unique.
fn tenant_name(number: u32) -> Name {
    const MASK: u64 = 0x1_ffff_ffff;
    format!("{:016x}", u64::from(number).wrapping_mul(GOLDEN_GAMMA) & MASK).into()
}
