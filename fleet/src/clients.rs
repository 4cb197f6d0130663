//! Clients and tenants: who asks what, when, and through which gateways, and what each tenant truly has left.

use crate::experiment::Experiment;
use crate::random::Random;
use ryefront_policy::Name;
use std::f64::consts::TAU;

/// One tenant.
pub(crate) struct Tenant {
    pub(crate) name: Name,
    pub(crate) plan: usize,
    pub(crate) first: u32,
    pub(crate) spread: u32,
    /// Its store by all that truly reached servers: units, and when that was, µs.
    store: f64,
    at: u64,
    /// Units that truly reached servers.
    pub(crate) used: f64,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) tenant: u32,
    pub(crate) class: usize,
    pub(crate) units: f64,
    /// Work at a server of speed 1, µs.
    pub(crate) work: f64,
    pub(crate) gateway: u32,
    /// Tries before this one.
    pub(crate) tries: u32,
    /// Whether its first try came when results are counted.
    pub(crate) counted: bool,
}

/// All clients and their tenants.
pub(crate) struct Clients {
    pub(crate) tenants: Vec<Tenant>,
    /// Rate and burst of each plan.
    rates: Vec<(f64, f64)>,
    gateways: u32,
    weights: Vec<f64>,
    classes: Vec<f64>,
    rate: f64,
    /// What is asked of all quotas together, as a share of them.
    pub(crate) asked_of_quota: f64,
    random: Random,
}

impl Clients {
    /// Tenants drawn by chance; `share` of the load is played, through so many gateways.
    pub(crate) fn new(experiment: &Experiment, share: f64, gateways: u32, seed: u64) -> Self {
        let mut random = Random::new(seed, 1);
        let load = &experiment.load;
        let cumulative = |shares: Vec<f64>| -> Vec<f64> {
            shares
                .into_iter()
                .scan(0.0, |sum, s| {
                    *sum += s;
                    Some(*sum)
                })
                .collect()
        };
        let plans = cumulative(experiment.plan.iter().map(|p| p.share).collect());
        let rates: Vec<_> = experiment.plan.iter().map(|p| (p.rate, p.rate * p.burst_s)).collect();
        let count = ((f64::from(load.tenants) * share).round() as u32).max(1);
        let (mut weights, mut quotas) = (Vec::new(), 0.0);
        let tenants = (0..count)
            .map(|n| {
                let plan = random.weighted(&plans);
                let p = &experiment.plan[plan];
                let spread = (random.within(p.spread) * f64::from(gateways)).round().max(1.0) as u32;
                let heavy = random.unit() < load.heavy_share;
                let times = random.within(if heavy { load.heavy_times } else { load.use_of_plan });
                weights.push(p.rate * times);
                quotas += rates[plan].0;
                let first = random.below(gateways as usize) as u32;
                // 16 hex digits below 2^33, as on the wire; an odd factor gives no two the same.
                let name =
                    format!("{:016x}", u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15) & 0x1_ffff_ffff);
                Tenant { name: name.into(), plan, first, spread, store: rates[plan].1, at: 0, used: 0.0 }
            })
            .collect();
        let rate = load.requests_per_s * share;
        let units = f64::midpoint(f64::from(load.units[0]), f64::from(load.units[1]));
        Self {
            tenants,
            asked_of_quota: rate * units / quotas,
            rates,
            gateways,
            weights: cumulative(weights),
            classes: cumulative(experiment.class.iter().map(|c| c.share).collect()),
            rate,
            random,
        }
    }

    /// When the next first try comes, µs, and what it is. Its rate goes up and down in waves.
    pub(crate) fn next(&mut self, now: u64, experiment: &Experiment) -> (u64, Ask) {
        let load = &experiment.load;
        let peak = self.rate * (1.0 + load.swing);
        let mut at = now as f64;
        loop {
            at += self.random.exponential() / peak * 1e6;
            let wave = 1.0 + load.swing * (at / 1e6 / load.wave_s * TAU).sin();
            if self.random.unit() * (1.0 + load.swing) < wave {
                break;
            }
        }
        let tenant = self.random.weighted(&self.weights);
        let class = self.random.weighted(&self.classes);
        let units = load.units[0] + self.random.below((load.units[1] - load.units[0] + 1) as usize) as u32;
        let work = self.random.exponential() * experiment.class[class].work_ms * 1000.0;
        let Tenant { first, spread, .. } = self.tenants[tenant];
        let gateway = (first + self.random.below(spread as usize) as u32) % self.gateways;
        let ask = Ask {
            tenant: tenant as u32,
            class,
            units: units.into(),
            work,
            gateway,
            tries: 0,
            counted: false,
        };
        (at.ceil() as u64, ask)
    }

    /// What a tenant truly has left, and how much it can have at most.
    pub(crate) fn left(&self, tenant: u32, now: u64) -> (f64, f64) {
        let tenant = &self.tenants[tenant as usize];
        let (rate, burst) = self.rates[tenant.plan];
        ((tenant.store + rate * (now - tenant.at) as f64 / 1e6).min(burst), burst)
    }

    /// A request has reached a server: it takes its units. False: its tenant had not so many left.
    pub(crate) fn charge(&mut self, tenant: u32, units: f64, now: u64) -> bool {
        let (left, _) = self.left(tenant, now);
        let tenant = &mut self.tenants[tenant as usize];
        let within = left >= units;
        (tenant.store, tenant.at) = (if within { left - units } else { left }, now);
        tenant.used += units;
        within
    }

    /// The rate and the burst of a tenant's plan.
    pub(crate) fn quota(&self, tenant: &Tenant) -> (f64, f64) {
        self.rates[tenant.plan]
    }
}
