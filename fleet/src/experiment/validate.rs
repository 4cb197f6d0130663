//! The allowed range of each value of an experiment. Each type checks its own table of the file, and the
//! first invalid value is reported.

use super::error::{InvalidReason, ValueRange};
use super::file::{
    Class, Counter, Discovery, Endpoints, Experiment, Fleet, Interval, Load, Network, Plan, Rollout,
};
use std::ops::RangeInclusive;

const POSITIVE: f64 = ValueRange::POSITIVE;
/// An upper bound for values without a natural one: larger than any plausible value, and far from overflow.
const MAX_PLAUSIBLE: f64 = 1e9;
const DAY_S: f64 = 86_400.0;
const HOUR_S: f64 = 3600.0;
const MINUTE_MS: f64 = 60_000.0;

/// A value that is out of range or not in order.
pub(super) struct InvalidValue {
    /// The dotted key.
    pub(super) key: String,
    /// Why the value is invalid.
    pub(super) reason: InvalidReason,
}

/// Checks the values of one table of the file.
struct TableValidator {
    /// The dotted key of the table with a trailing dot; empty for the root.
    key_prefix: String,
}

impl TableValidator {
    fn root() -> Self {
        Self { key_prefix: String::new() }
    }

    fn table(name: &str) -> Self {
        Self { key_prefix: format!("{name}.") }
    }

    fn array_element(array: &str, index: usize) -> Self {
        Self::table(&format!("{array}.{index}"))
    }

    fn check_number(&self, key: &str, found: f64, allowed: RangeInclusive<f64>) -> Result<(), InvalidValue> {
        let range = ValueRange::from(allowed);
        if range.contains(found) {
            return Ok(());
        }
        Err(self.error(key, InvalidReason::OutOfRange { found, range }))
    }

    fn check_interval(
        &self, key: &str, found: Interval<f64>, allowed: RangeInclusive<f64>,
    ) -> Result<(), InvalidValue> {
        let range = ValueRange::from(allowed);
        if range.min <= found.low && found.low <= found.high && found.high <= range.max {
            return Ok(());
        }
        Err(self.error(key, InvalidReason::InvalidInterval { found, range }))
    }

    fn error(&self, key: &str, reason: InvalidReason) -> InvalidValue {
        InvalidValue { key: format!("{}{key}", self.key_prefix), reason }
    }
}

impl Experiment {
    /// Fails with the first invalid value, in the order of the checks.
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        let root = TableValidator::root();
        root.check_number("seconds", self.duration_s, 0.1..=DAY_S)?;
        root.check_number("settle_s", self.warm_up_s, 0.0..=self.duration_s)?;
        self.fleet.validate()?;
        let gateways = self.scale.gateways.unwrap_or(1);
        TableValidator::table("scale").check_number("gateways", gateways.into(), 1.0..=100_000.0)?;
        self.network.validate()?;
        self.load.validate()?;
        self.endpoints.validate()?;
        self.counter.validate()?;
        self.discovery.validate()?;
        if let Some(rollout) = &self.rollout {
            rollout.validate(self.duration_s)?;
        }
        root.check_number("class", self.classes.len() as f64, 1.0..=100_000.0)?;
        root.check_number("plan", self.plans.len() as f64, 1.0..=10_000.0)?;
        self.classes.iter().enumerate().try_for_each(|(index, class)| class.validate(index))?;
        self.plans.iter().enumerate().try_for_each(|(index, plan)| plan.validate(index))
    }
}

impl Fleet {
    fn validate(&self) -> Result<(), InvalidValue> {
        let fleet = TableValidator::table("fleet");
        fleet.check_number("gateways", self.gateways.into(), 1.0..=100_000.0)?;
        fleet.check_number("servers", self.endpoints.into(), 1.0..=1e6)?;
        fleet.check_number("regions", self.regions.into(), 1.0..=self.gateways.into())?;
        fleet.check_number("zones", self.zones_per_region.into(), 1.0..=100.0)
    }
}

impl Network {
    fn validate(&self) -> Result<(), InvalidValue> {
        let network = TableValidator::table("network");
        network.check_number("zone_ms", self.within_zone_ms, 0.0..=10_000.0)?;
        network.check_number("region_ms", self.within_region_ms, 0.0..=10_000.0)?;
        network.check_number("cross_region_ms", self.cross_region_ms, 0.0..=10_000.0)?;
        network.check_number("jitter", self.jitter, 0.0..=10.0)
    }
}

impl Load {
    fn validate(&self) -> Result<(), InvalidValue> {
        let load = TableValidator::table("load");
        load.check_number("requests_per_s", self.requests_per_s, POSITIVE..=MAX_PLAUSIBLE)?;
        load.check_number("swing", self.rate_amplitude, 0.0..=1.0)?;
        load.check_number("wave_s", self.rate_period_s, POSITIVE..=MAX_PLAUSIBLE)?;
        load.check_number("tenants", self.tenants.into(), 1.0..=1e8)?;
        load.check_interval("use_of_plan", self.usage_factor, POSITIVE..=1000.0)?;
        load.check_number("heavy_share", self.heavy_fraction, 0.0..=1.0)?;
        load.check_interval("heavy_times", self.heavy_usage_factor, POSITIVE..=1000.0)?;
        let units = Interval { low: self.units.low.into(), high: self.units.high.into() };
        load.check_interval("units", units, 1.0..=1000.0)?;
        load.check_number("retries", self.max_retries.into(), 0.0..=100.0)?;
        load.check_number("retry_share", self.retry_probability, 0.0..=1.0)?;
        load.check_interval("backoff_ms", self.backoff_ms, 0.0..=MINUTE_MS)?;
        load.check_number("longest_advice_ms", self.max_retry_after_ms, 0.0..=MINUTE_MS)?;
        load.check_number("impatient", self.disconnect_probability, 0.0..=1.0)
    }
}

impl Endpoints {
    fn validate(&self) -> Result<(), InvalidValue> {
        let endpoints = TableValidator::table("servers");
        endpoints.check_number("cores", self.cores.into(), 1.0..=10_000.0)?;
        endpoints.check_interval("speed", self.speed, 0.01..=100.0)?;
        endpoints.check_number("error_rate", self.error_rate, 0.0..=1.0)?;
        endpoints.check_number("cell", self.cell_size.into(), 1.0..=1e6)?;
        endpoints.check_number("cold_share", self.slow_start_initial_fraction, 0.01..=1.0)?;
        endpoints.check_number("cold_s", self.slow_start_s, 0.001..=DAY_S)?;
        endpoints.check_number("fall_multiple", self.overload_factor, POSITIVE..=1000.0)?;
        endpoints.check_number("fall_s", self.overload_window_s, 0.001..=HOUR_S)?;
        endpoints.check_number("handshake_trips", self.handshake_round_trips.into(), 0.0..=10.0)?;
        endpoints.check_number("handshake_ms", self.handshake_work_ms, 0.0..=10_000.0)?;
        endpoints.check_number("idle_s", self.idle_timeout_s, 0.0..=DAY_S)
    }
}

impl Counter {
    fn validate(&self) -> Result<(), InvalidValue> {
        let counter = TableValidator::table("counter");
        counter.check_number("parts", self.partitions.into(), 1.0..=100_000.0)?;
        counter.check_number("per_s", self.calls_per_s, POSITIVE..=MAX_PLAUSIBLE)?;
        counter.check_number("longest_wait_ms", self.max_wait_ms, 0.0..=MINUTE_MS)?;
        counter.check_number("timeout_ms", self.timeout_ms, POSITIVE..=MINUTE_MS)
    }
}

impl Discovery {
    fn validate(&self) -> Result<(), InvalidValue> {
        let discovery = TableValidator::table("discovery");
        discovery.check_number("period_ms", self.publish_period_ms, 1.0..=MINUTE_MS)?;
        discovery.check_number("notice_ms", self.notification_delay_ms, 0.0..=MINUTE_MS)?;
        discovery.check_number("spread_ms", self.notification_spread_ms, 0.0..=MINUTE_MS)
    }
}

impl Rollout {
    fn validate(&self, duration_s: f64) -> Result<(), InvalidValue> {
        let rollout = TableValidator::table("release");
        rollout.check_number("at_s", self.start_s, 0.0..=duration_s)?;
        rollout.check_number("over_s", self.duration_s, 0.0..=duration_s)?;
        rollout.check_number("share", self.replaced_fraction, 0.0..=1.0)?;
        rollout.check_number("grace_s", self.drain_grace_s, 0.0..=HOUR_S)?;
        rollout.check_number("boot_s", self.boot_s, 0.0..=HOUR_S)
    }
}

impl Class {
    fn validate(&self, index: usize) -> Result<(), InvalidValue> {
        let class = TableValidator::array_element("class", index);
        class.check_number("share", self.request_weight, POSITIVE..=MAX_PLAUSIBLE)?;
        class.check_number("work_ms", self.mean_work_ms, POSITIVE..=MINUTE_MS)?;
        class.check_number("aim_ms", self.latency_objective_ms, POSITIVE..=self.deadline_ms)?;
        class.check_number("deadline_ms", self.deadline_ms, 1.0..=10.0 * MINUTE_MS)?;
        class.check_number("window_ms", self.dedup_window_ms, 0.0..=10.0 * MINUTE_MS)?;
        class.check_number("worth", self.priority_weight, POSITIVE..=MAX_PLAUSIBLE)
    }
}

impl Plan {
    fn validate(&self, index: usize) -> Result<(), InvalidValue> {
        let plan = TableValidator::array_element("plan", index);
        plan.check_number("share", self.tenant_weight, POSITIVE..=MAX_PLAUSIBLE)?;
        plan.check_number("rate", self.rate, POSITIVE..=MAX_PLAUSIBLE)?;
        plan.check_number("burst_s", self.burst_s, 0.1..=HOUR_S)?;
        plan.check_interval("spread", self.gateway_fraction, 0.0..=1.0)?;
        plan.check_number("over_worth", self.over_quota_weight, 0.0..=1000.0)?;
        plan.check_number("over_cost", self.over_quota_cost, 0.0..=1000.0)
    }
}
