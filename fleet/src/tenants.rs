//! Tenants and the exact accounting of their quotas, which charges each request that reaches an endpoint.
//! Gateways only have an estimate of it.

use crate::experiment::Experiment;
use crate::random::{GOLDEN_GAMMA, Random};
use crate::time::Micros;
use ryefront_policy::Name;

/// The quota of a plan.
#[derive(Clone, Copy)]
pub(crate) struct Quota {
    /// Units per second.
    pub(crate) rate: f64,
    /// The maximum number of units that may be used at once.
    pub(crate) burst: f64,
}

/// One tenant.
pub(crate) struct Tenant {
    pub(crate) name: Name,
    /// The index of its plan.
    pub(crate) plan: usize,
    /// The index of the first of the `gateway_count` consecutive gateways that serve the tenant. Indices wrap
    /// around at the end of the fleet.
    pub(crate) first_gateway: u32,
    pub(crate) gateway_count: u32,
    /// Total units of all requests that reached an endpoint.
    pub(crate) used_units: f64,
    /// Units left in the quota at `charged_at`.
    remaining: f64,
    /// When the tenant was last charged.
    charged_at: Micros,
}

/// Whether a request was within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaCheck {
    Within,
    Over,
}

/// Randomly generated tenants and their total demand.
pub(crate) struct GeneratedTenants {
    pub(crate) tenants: Tenants,
    /// Cumulative request weights of the tenants.
    pub(crate) request_weights: Vec<f64>,
    /// The sum of the rates of all quotas, units per second.
    pub(crate) total_rate: f64,
}

/// All tenants.
pub(crate) struct Tenants {
    tenants: Vec<Tenant>,
    /// The quota of each plan, by the plan's index.
    quotas: Vec<Quota>,
}

impl Tenants {
    /// Generates the tenants of a fraction of the fleet that has `gateway_count` gateways.
    pub(crate) fn generate(
        experiment: &Experiment, fraction: f64, gateway_count: u32, random: &mut Random,
    ) -> GeneratedTenants {
        let load = &experiment.load;
        let plan_weights = cumulative_sums(experiment.plans.iter().map(|plan| plan.tenant_weight));
        let quotas: Vec<Quota> = experiment
            .plans
            .iter()
            .map(|plan| Quota { rate: plan.rate, burst: plan.rate * plan.burst_s })
            .collect();
        let count = ((f64::from(load.tenants) * fraction).round() as u32).max(1);
        let mut tenants = Vec::new();
        let mut weights = Vec::new();
        let mut total_rate = 0.0;
        for number in 0..count {
            let plan = random.weighted_index(&plan_weights);
            let settings = &experiment.plans[plan];
            let tenant_gateways = random.uniform_in(settings.gateway_fraction) * f64::from(gateway_count);
            let heavy = random.uniform() < load.heavy_fraction;
            let usage_factor =
                random.uniform_in(if heavy { load.heavy_usage_factor } else { load.usage_factor });
            weights.push(settings.rate * usage_factor);
            total_rate += quotas[plan].rate;
            tenants.push(Tenant {
                name: tenant_name(number),
                plan,
                first_gateway: random.uniform_below(gateway_count as usize) as u32,
                gateway_count: tenant_gateways.round().max(1.0) as u32,
                used_units: 0.0,
                remaining: quotas[plan].burst,
                charged_at: 0,
            });
        }
        GeneratedTenants {
            tenants: Self { tenants, quotas },
            request_weights: cumulative_sums(weights),
            total_rate,
        }
    }

    pub(crate) fn get(&self, tenant: u32) -> &Tenant {
        &self.tenants[tenant as usize]
    }

    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = &Tenant> {
        self.tenants.iter()
    }

    pub(crate) fn quota(&self, tenant: &Tenant) -> Quota {
        self.quotas[tenant.plan]
    }

    /// The units that a tenant has left, by exact accounting.
    pub(crate) fn remaining(&self, tenant: u32, now: Micros) -> f64 {
        let tenant = self.get(tenant);
        let quota = self.quota(tenant);
        (tenant.remaining + quota.rate * (now - tenant.charged_at) as f64 / 1e6).min(quota.burst)
    }

    /// Records the units of a request that reached an endpoint, and deducts them from the quota if enough are
    /// left.
    pub(crate) fn charge(&mut self, tenant: u32, units: f64, now: Micros) -> QuotaCheck {
        let remaining = self.remaining(tenant, now);
        let tenant = &mut self.tenants[tenant as usize];
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

/// The cumulative sums of the weights.
pub(crate) fn cumulative_sums(weights: impl IntoIterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |weight: f64| {
        sum += weight;
        sum
    };
    weights.into_iter().map(add).collect()
}

/// The name of a tenant: 16 hexadecimal digits of a number below 2^33, as gateways require. Multiplication by
/// an odd factor keeps the names unique.
fn tenant_name(number: u32) -> Name {
    const MASK: u64 = 0x1_ffff_ffff;
    format!("{:016x}", u64::from(number).wrapping_mul(GOLDEN_GAMMA) & MASK).into()
}
