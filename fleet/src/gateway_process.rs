//! The model of a gateway process: the real policy engine and endpoint registry, with a model of the
//! connection pool instead of sockets.

use crate::connection::ConnectionPool;
use crate::discovery::PublishedList;
use crate::endpoint_list::{CONNECT_TIMEOUT_MS, Registry};
use crate::experiment::{Experiment, Plan};
use crate::list_format::zone_name;
use crate::time::{self, Micros};
use ryefront_policy::{Action, Event, LoadReportSource, PolicyEngine, QuotaPlan, Settings, SettingsError};

/// Settings that are the same in all experiments. The measurements in `slopes` use them too.
pub(crate) const MAX_ATTEMPTS: u32 = 6;
/// See [`MAX_ATTEMPTS`].
pub(crate) const CROSS_ZONE_COST: f64 = 0.01;

/// The policy settings of the gateway at an index.
pub(crate) fn settings(experiment: &Experiment, gateway_count: u32, index: u32, zone: u32) -> Settings {
    let load = &experiment.load;
    let endpoints = &experiment.endpoints;
    Settings {
        max_tenants: 0,
        gateway_count,
        gateway_index: index,
        zone: zone_name(zone).into(),
        tick: 1.0,
        classes: experiment.classes.iter().map(|class| class.request_class()).collect(),
        plans: experiment.plans.iter().map(quota_plan).collect(),
        has_counter: true,
        counter_timeout: experiment.counter.timeout_ms,
        settles_usage: false,
        max_units: load.units.high.into(),
        load_report_source: LoadReportSource::Responses,
        health_checks: false,
        gossip: false,
        cancellation: true,
        polls_endpoints: false,
        connect_timeout: CONNECT_TIMEOUT_MS,
        max_attempts: MAX_ATTEMPTS,
        max_retry_after: load.max_retry_after_ms,
        slow_start_initial_fraction: endpoints.slow_start_initial_fraction,
        slow_start_duration: endpoints.slow_start_s * 1000.0,
        overload_factor: endpoints.overload_factor,
        overload_window: endpoints.overload_window_s * 1000.0,
        cross_zone_cost: CROSS_ZONE_COST,
    }
}

fn quota_plan(plan: &Plan) -> QuotaPlan {
    QuotaPlan {
        over_quota_weight: plan.over_quota_weight,
        over_quota_cost: plan.over_quota_cost,
        ..QuotaPlan::new(plan.name.as_str(), plan.rate, plan.rate * plan.burst_s)
    }
}

/// The bytes of endpoint lists that a gateway received, by kind of list.
#[derive(Clone, Copy, Default)]
pub(crate) struct ListBytes {
    pub(crate) snapshots: u64,
    pub(crate) deltas: u64,
}

/// A gateway process.
pub(crate) struct GatewayProcess {
    engine: PolicyEngine,
    /// `None` if the experiment limits the number of gateways with a registry.
    registry: Option<Registry>,
    zone: u32,
    /// When the gateway received each list, by the list's index.
    list_received_at: Vec<Option<Micros>>,
    list_bytes: ListBytes,
    pub(crate) connections: ConnectionPool,
}

impl GatewayProcess {
    /// # Errors
    /// When the policy engine rejects the settings.
    pub(crate) fn new(
        settings: Settings, zone: u32, seed: u64, registry: Option<Registry>,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            engine: PolicyEngine::new(settings, seed)?,
            registry,
            zone,
            list_received_at: Vec::new(),
            list_bytes: ListBytes::default(),
            connections: ConnectionPool::default(),
        })
    }

    /// The gateway's zone. Zones are numbered across all regions.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn list_bytes(&self) -> ListBytes {
        self.list_bytes
    }

    /// When the gateway received the list at an index; `None` if it has not.
    pub(crate) fn received_list_at(&self, list: usize) -> Option<Micros> {
        self.list_received_at.get(list).copied().flatten()
    }

    /// Passes an event to the policy engine and returns its actions.
    pub(crate) fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.handle(time::wall_clock(now), event, &mut actions);
        actions
    }

    /// Applies a list to the registry and returns the event for the policy engine. A real gateway applies a
    /// list in the same order.
    pub(crate) fn receive_list(&mut self, published: &PublishedList, index: usize, now: Micros) -> Event {
        if self.list_received_at.len() <= index {
            self.list_received_at.resize(index + 1, None);
        }
        self.list_received_at[index] = Some(now);
        if published.list.is_snapshot() {
            self.list_bytes.snapshots += published.bytes;
        } else {
            self.list_bytes.deltas += published.bytes;
        }
        if let Some(registry) = &self.registry {
            registry.apply(&published.list);
        }
        published.list.to_event()
    }
}
