//! The ranges of an experiment's figures. Each table checks its own; the first figure out of range is
//! reported.

use super::error::{Problem, Range};
use super::file::{
    Class, Counter, Discovery, Endpoints, Experiment, Fleet, Interval, Load, Network, Plan, Rollout,
};
use std::ops::RangeInclusive;

const POSITIVE: f64 = Range::POSITIVE;
/// Above any figure that makes sense, and far from overflow.
const LARGE: f64 = 1e9;
const DAY_S: f64 = 86_400.0;
const HOUR_S: f64 = 3600.0;
const MINUTE_MS: f64 = 60_000.0;

/// A figure out of range.
pub(super) struct InvalidValue {
    /// Its dotted key.
    pub(super) key: String,
    /// What is wrong with it.
    pub(super) problem: Problem,
}

/// Checks the figures of one table of the file.
struct Checker {
    /// The dotted key of the table; empty for the root.
    table: String,
}

impl Checker {
    fn root() -> Self {
        Self { table: String::new() }
    }

    fn table(name: &str) -> Self {
        Self { table: format!("{name}.") }
    }

    fn element(array: &str, index: usize) -> Self {
        Self::table(&format!("{array}.{index}"))
    }

    fn number(&self, key: &str, found: f64, allowed: RangeInclusive<f64>) -> Result<(), InvalidValue> {
        let range = Range::from(allowed);
        if range.contains(found) {
            return Ok(());
        }
        Err(self.error(key, Problem::OutOfRange { found, range }))
    }

    fn interval(
        &self, key: &str, found: Interval<f64>, allowed: RangeInclusive<f64>,
    ) -> Result<(), InvalidValue> {
        let range = Range::from(allowed);
        if range.min <= found.low && found.low <= found.high && found.high <= range.max {
            return Ok(());
        }
        Err(self.error(key, Problem::InvalidInterval { found, range }))
    }

    fn error(&self, key: &str, problem: Problem) -> InvalidValue {
        InvalidValue { key: format!("{}{key}", self.table), problem }
    }
}

impl Experiment {
    /// Returns the first figure that is out of range, if there is one.
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        let root = Checker::root();
        root.number("seconds", self.duration_s, 0.1..=DAY_S)?;
        root.number("settle_s", self.warm_up_s, 0.0..=self.duration_s)?;
        self.fleet.validate()?;
        let gateways = self.scale.gateways.unwrap_or(1);
        Checker::table("scale").number("gateways", gateways.into(), 1.0..=100_000.0)?;
        self.network.validate()?;
        self.load.validate()?;
        self.endpoints.validate()?;
        self.counter.validate()?;
        self.discovery.validate()?;
        if let Some(rollout) = &self.rollout {
            rollout.validate(self.duration_s)?;
        }
        root.number("class", self.classes.len() as f64, 1.0..=100_000.0)?;
        root.number("plan", self.plans.len() as f64, 1.0..=10_000.0)?;
        self.classes.iter().enumerate().try_for_each(|(index, class)| class.validate(index))?;
        self.plans.iter().enumerate().try_for_each(|(index, plan)| plan.validate(index))
    }
}

impl Fleet {
    fn validate(&self) -> Result<(), InvalidValue> {
        let fleet = Checker::table("fleet");
        fleet.number("gateways", self.gateways.into(), 1.0..=100_000.0)?;
        fleet.number("servers", self.endpoints.into(), 1.0..=1e6)?;
        fleet.number("regions", self.regions.into(), 1.0..=self.gateways.into())?;
        fleet.number("zones", self.zones_per_region.into(), 1.0..=100.0)
    }
}

impl Network {
    fn validate(&self) -> Result<(), InvalidValue> {
        let network = Checker::table("network");
        network.number("zone_ms", self.within_zone_ms, 0.0..=10_000.0)?;
        network.number("region_ms", self.within_region_ms, 0.0..=10_000.0)?;
        network.number("cross_region_ms", self.cross_region_ms, 0.0..=10_000.0)?;
        network.number("jitter", self.jitter, 0.0..=10.0)
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        let load = Checker::table("load");
        load.number("requests_per_s", self.requests_per_s, POSITIVE..=LARGE)?;
        load.number("swing", self.rate_amplitude, 0.0..=1.0)?;
        load.number("wave_s", self.rate_period_s, POSITIVE..=LARGE)?;
        load.number("tenants", self.tenants.into(), 1.0..=1e8)?;
        load.interval("use_of_plan", self.usage_factor, POSITIVE..=1000.0)?;
        load.number("heavy_share", self.heavy_fraction, 0.0..=1.0)?;
        load.interval("heavy_times", self.heavy_usage_factor, POSITIVE..=1000.0)?;
        let units = Interval { low: self.units.low.into(), high: self.units.high.into() };
        load.interval("units", units, 1.0..=1000.0)?;
        load.number("retries", self.max_retries.into(), 0.0..=100.0)?;
        load.number("retry_share", self.retry_probability, 0.0..=1.0)?;
        load.interval("backoff_ms", self.backoff_ms, 0.0..=MINUTE_MS)?;
        load.number("longest_advice_ms", self.max_retry_after_ms, 0.0..=MINUTE_MS)?;
        load.number("impatient", self.disconnect_probability, 0.0..=1.0)
    }
}

impl Endpoints {
    fn validate(&self) -> Result<(), InvalidValue> {
        let servers = Checker::table("servers");
        servers.number("cores", self.cores.into(), 1.0..=10_000.0)?;
        servers.interval("speed", self.speed, 0.01..=100.0)?;
        servers.number("error_rate", self.error_rate, 0.0..=1.0)?;
        servers.number("cell", self.cell_size.into(), 1.0..=1e6)?;
        servers.number("cold_share", self.slow_start_initial_fraction, 0.01..=1.0)?;
        servers.number("cold_s", self.slow_start_s, 0.001..=DAY_S)?;
        servers.number("fall_multiple", self.overload_factor, POSITIVE..=1000.0)?;
        servers.number("fall_s", self.overload_window_s, 0.001..=HOUR_S)?;
        servers.number("handshake_trips", self.handshake_round_trips.into(), 0.0..=10.0)?;
        servers.number("handshake_ms", self.handshake_work_ms, 0.0..=10_000.0)?;
        servers.number("idle_s", self.idle_timeout_s, 0.0..=DAY_S)
    }
}

impl Counter {
    fn validate(&self) -> Result<(), InvalidValue> {
        let counter = Checker::table("counter");
        counter.number("parts", self.partitions.into(), 1.0..=100_000.0)?;
        counter.number("per_s", self.calls_per_s, POSITIVE..=LARGE)?;
        counter.number("longest_wait_ms", self.max_wait_ms, 0.0..=MINUTE_MS)?;
        counter.number("timeout_ms", self.timeout_ms, POSITIVE..=MINUTE_MS)
    }
}

impl Discovery {
    fn validate(&self) -> Result<(), InvalidValue> {
        let discovery = Checker::table("discovery");
        discovery.number("period_ms", self.publish_period_ms, 1.0..=MINUTE_MS)?;
        discovery.number("notice_ms", self.notification_delay_ms, 0.0..=MINUTE_MS)?;
        discovery.number("spread_ms", self.notification_spread_ms, 0.0..=MINUTE_MS)
    }
}

impl Rollout {
    fn validate(&self, duration_s: f64) -> Result<(), InvalidValue> {
        let release = Checker::table("release");
        release.number("at_s", self.start_s, 0.0..=duration_s)?;
        release.number("over_s", self.duration_s, 0.0..=duration_s)?;
        release.number("share", self.replaced_fraction, 0.0..=1.0)?;
        release.number("grace_s", self.drain_grace_s, 0.0..=HOUR_S)?;
        release.number("boot_s", self.boot_s, 0.0..=HOUR_S)
    }
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), InvalidValue> {
        let class = Checker::element("class", index);
        class.number("share", self.request_weight, POSITIVE..=LARGE)?;
        class.number("work_ms", self.mean_work_ms, POSITIVE..=MINUTE_MS)?;
        class.number("aim_ms", self.latency_objective_ms, POSITIVE..=self.deadline_ms)?;
        class.number("deadline_ms", self.deadline_ms, 1.0..=10.0 * MINUTE_MS)?;
        class.number("window_ms", self.dedup_window_ms, 0.0..=10.0 * MINUTE_MS)?;
        class.number("worth", self.priority_weight, POSITIVE..=LARGE)
    }
}

impl Plan {
    fn validate(&self, index: usize) -> Result<(), InvalidValue> {
        let plan = Checker::element("plan", index);
        plan.number("share", self.tenant_weight, POSITIVE..=LARGE)?;
        plan.number("rate", self.rate, POSITIVE..=LARGE)?;
        plan.number("burst_s", self.burst_s, 0.1..=HOUR_S)?;
        plan.interval("spread", self.gateway_fraction, 0.0..=1.0)?;
        plan.number("over_worth", self.over_quota_weight, 0.0..=1000.0)?;
        plan.number("over_cost", self.over_quota_cost, 0.0..=1000.0)
    }
}
