//! The hollow gateways: the real decisions, the real table of connections, and a pool of made-up connections.

use crate::discovery::{Batch, zone_name};
use crate::experiment::Experiment;
use doorcourse::{Event, Gateway, Plan, Reports, Settings, SettingsError};
use fennelscale::backends::Backends;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors of a gateway's process.
const SOCKETS: usize = 1024;
const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// What a gateway of an experiment is told at its start.
pub(crate) fn settings(experiment: &Experiment, gateways: u32, number: u32, zone: u32) -> Settings {
    let (load, servers) = (&experiment.load, &experiment.servers);
    let plan = |p: &crate::experiment::Plan| Plan {
        name: p.name.as_str().into(),
        rate: p.rate,
        burst: p.rate * p.burst_s,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: p.over_worth,
        over_cost: p.over_cost,
    };
    Settings {
        gateways,
        number,
        zone: zone_name(zone).into(),
        tick: 1.0,
        classes: experiment.class.iter().map(|c| c.of_settings()).collect(),
        plans: experiment.plan.iter().map(plan).collect(),
        counter: true,
        counter_timeout: experiment.counter.timeout_ms,
        settles: false,
        most_units: load.units[1].into(),
        reports: Reports::Answers,
        probes: false,
        peers: false,
        cancel: true,
        list_on_request: false,
        connect_timeout: CONNECT_TIMEOUT_MS,
        most_attempts: 6,
        longest_advice: load.longest_advice_ms,
        cold_share: servers.cold_share,
        cold_time: servers.cold_s * 1000.0,
        fall_multiple: servers.fall_multiple,
        fall_time: servers.fall_s * 1000.0,
        price_cross_zone: 0.01,
    }
}

/// The real table of connections, with none.
pub(crate) fn table(idle: Duration) -> Rc<Backends> {
    Backends::new(Duration::from_secs_f64(CONNECT_TIMEOUT_MS / 1000.0), idle, Reports::Answers, SOCKETS)
}

/// One gateway.
pub(crate) struct Host {
    pub(crate) gateway: Gateway,
    table: Option<Rc<Backends>>,
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
        settings: Settings, zone: u32, seed: u64, table: Option<Rc<Backends>>,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            gateway: Gateway::new(settings, seed)?,
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
            table.update(&batch.list);
        }
        let entries = batch.list.hosts.iter().map(|h| h.entry.clone()).collect();
        if batch.list.whole { Event::BackendList(entries) } else { Event::BackendChanges(entries) }
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
