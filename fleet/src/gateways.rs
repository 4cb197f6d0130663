//! The hollow gateways: the real decisions, the real table of connections, and a pool of made-up connections.

use crate::discovery::{Batch, zone_name};
use crate::experiment::Experiment;
use ryefront_gateway::endpoint::EndpointRegistry;
use ryefront_policy::{Event, LoadReportSource, PolicyEngine, QuotaPlan, Settings, SettingsError};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors of a gateway's process.
const SOCKETS: usize = 1024;
const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// What a gateway of an experiment is told at its start.
pub(crate) fn settings(experiment: &Experiment, gateways: u32, number: u32, zone: u32) -> Settings {
    let (load, servers) = (&experiment.load, &experiment.servers);
    let plan = |p: &crate::experiment::Plan| QuotaPlan {
        name: p.name.as_str().into(),
        rate: p.rate,
        burst: p.rate * p.burst_s,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        weight_factor: 1.0,
        over_quota_weight: p.over_worth,
        over_quota_cost: p.over_cost,
    };
    Settings {
        gateway_count: gateways,
        gateway_index: number,
        zone: zone_name(zone).into(),
        tick: 1.0,
        classes: experiment.class.iter().map(|c| c.of_settings()).collect(),
        plans: experiment.plan.iter().map(plan).collect(),
        has_counter: true,
        counter_timeout: experiment.counter.timeout_ms,
        settles_usage: false,
        max_units: load.units[1].into(),
        load_report_source: LoadReportSource::Responses,
        health_checks: false,
        gossip: false,
        cancellation: true,
        polls_endpoints: false,
        connect_timeout: CONNECT_TIMEOUT_MS,
        max_attempts: 6,
        max_retry_after: load.longest_advice_ms,
        slow_start_initial_fraction: servers.cold_share,
        slow_start_duration: servers.cold_s * 1000.0,
        overload_factor: servers.fall_multiple,
        overload_window: servers.fall_s * 1000.0,
        cross_zone_cost: 0.01,
    }
}

/// The real table of connections, with none.
pub(crate) fn table(idle: Duration) -> Rc<EndpointRegistry> {
    EndpointRegistry::new(
        Duration::from_secs_f64(CONNECT_TIMEOUT_MS / 1000.0),
        idle,
        LoadReportSource::Responses,
        SOCKETS,
    )
}

/// One gateway.
pub(crate) struct Host {
    pub(crate) gateway: PolicyEngine,
    table: Option<Rc<EndpointRegistry>>,
    /// Counted over all regions.
    pub(crate) zone: u32,
    /// When it took each list in, µs.
    pub(crate) heard: Vec<Option<u64>>,
    /// Free connections to each server, and since when each is free, µs.
    pool: HashMap<u32, Vec<u64>>,
    pub(crate) whole_bytes: u64,
    pub(crate) change_bytes: u64,
}

impl Host {
    pub(crate) fn new(
        settings: Settings, zone: u32, seed: u64, table: Option<Rc<EndpointRegistry>>,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            gateway: PolicyEngine::new(settings, seed)?,
            table,
            zone,
            heard: Vec::new(),
            pool: HashMap::new(),
            whole_bytes: 0,
            change_bytes: 0,
        })
    }

    /// A list has come: to the connections first, as in a real gateway, then as an event to the decisions.
    pub(crate) fn hear(&mut self, batch: &Batch, place: usize, now: u64) -> Event {
        if self.heard.len() <= place {
            self.heard.resize(place + 1, None);
        }
        self.heard[place] = Some(now);
        let bytes = if batch.list.whole { &mut self.whole_bytes } else { &mut self.change_bytes };
        *bytes += batch.bytes;
        if let Some(table) = &self.table {
            table.apply(&batch.list);
        }
        let entries = batch.list.hosts.iter().map(|h| h.entry.clone()).collect();
        if batch.list.whole { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) }
    }

    /// Whether there is a free connection to a server, which is then busy.
    pub(crate) fn free_connection(&mut self, server: u32, now: u64, idle: u64) -> bool {
        let Some(free) = self.pool.get_mut(&server) else { return false };
        free.retain(|since| now - since < idle);
        free.pop().is_some()
    }

    /// A connection is free again.
    pub(crate) fn keep_connection(&mut self, server: u32, now: u64) {
        self.pool.entry(server).or_default().push(now);
    }

    /// A server is gone, with all connections to it.
    pub(crate) fn drop_connections(&mut self, server: u32) {
        self.pool.remove(&server);
    }
}
