//! The registry of the endpoints in the endpoint list: their addresses and readiness.

use crate::discovery::{EndpointList, ListedEndpoint};
use crate::endpoint::connections::{AcquiredConnection, EndpointConnections, EndpointProcess};
use crate::endpoint::settings::EndpointSettings;
use crate::memory::MemoryMonitor;
use rustc_hash::FxHashMap;
use ryefront_policy::{EndpointState, LoadReportSource, Name};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The interval between checks of the idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The state of one endpoint.
struct Endpoint {
    process: EndpointProcess,
    is_ready: bool,
    /// When the endpoint last responded; before its first response, when it was first listed.
    last_response_at: Instant,
    /// The number of the last applied list that contains the endpoint.
    last_list_number: u64,
}

/// All endpoints in the endpoint list, and the connections to them.
pub struct EndpointRegistry {
    endpoints: RefCell<FxHashMap<Name, Endpoint>>,
    /// The number of endpoint lists that were applied.
    applied_list_count: Cell<u64>,
    connections: EndpointConnections,
    load_report_source: LoadReportSource,
    memory: Rc<MemoryMonitor>,
}

impl EndpointRegistry {
    /// A registry without endpoints.
    pub fn new(settings: EndpointSettings) -> Rc<Self> {
        Rc::new(Self {
            endpoints: RefCell::default(),
            applied_list_count: Cell::default(),
            connections: EndpointConnections::new(&settings),
            load_report_source: settings.load_report_source,
            memory: settings.memory,
        })
    }

    /// Applies an endpoint list, and closes the idle connections to endpoints that are draining, were removed,
    /// have moved to another address or have been started again. A delta takes time proportional to its length;
    /// a snapshot also takes time proportional to the number of endpoints in the registry.
    pub fn apply(&self, list: &EndpointList) {
        let list_number = self.applied_list_count.get() + 1;
        self.applied_list_count.set(list_number);
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        if list.is_snapshot {
            let added = list.endpoints.len().saturating_sub(endpoints.len());
            endpoints.reserve(added);
        }
        for listed in &list.endpoints {
            self.apply_entry(&mut endpoints, listed, list_number, now);
        }
        if list.is_snapshot {
            self.remove_unlisted(&mut endpoints, list_number);
        }
    }

    fn apply_entry(
        &self, endpoints: &mut FxHashMap<Name, Endpoint>, listed: &ListedEndpoint, list_number: u64,
        now: Instant,
    ) {
        let name = &listed.entry.name;
        let process = EndpointProcess { address: listed.address, started_at: listed.entry.started_at };
        if listed.entry.state == EndpointState::Removed {
            endpoints.remove(name);
            self.connections.close_idle(name);
            return;
        }
        let is_ready = listed.entry.state == EndpointState::Ready;
        let endpoint = endpoints.entry(name.clone()).or_insert(Endpoint {
            process,
            is_ready,
            last_response_at: now,
            last_list_number: list_number,
        });
        if !is_ready || endpoint.process != process {
            self.connections.close_idle(name);
        }
        endpoint.is_ready = is_ready;
        endpoint.process = process;
        endpoint.last_list_number = list_number;
    }

    fn remove_unlisted(&self, endpoints: &mut FxHashMap<Name, Endpoint>, list_number: u64) {
        endpoints.retain(|name, endpoint| {
            let is_listed = endpoint.last_list_number == list_number;
            if !is_listed {
                self.connections.close_idle(name);
            }
            is_listed
        });
    }

    /// The process of an endpoint that may be sent new requests.
    pub(super) fn ready_process(&self, endpoint: &Name) -> Option<EndpointProcess> {
        self.endpoints.borrow().get(endpoint).filter(|known| known.is_ready).map(|known| known.process)
    }

    pub(super) fn load_report_source(&self) -> LoadReportSource {
        self.load_report_source
    }

    pub(super) fn memory(&self) -> Rc<MemoryMonitor> {
        self.memory.clone()
    }

    pub(super) fn connections(&self) -> &EndpointConnections {
        &self.connections
    }

    /// Records that an endpoint responded, and keeps the connection for reuse if it can carry another request
    /// and the endpoint is ready.
    pub(super) async fn release_after_response(&self, endpoint: &Name, mut acquired: AcquiredConnection) {
        let is_reusable = acquired.connection.is_reusable().await;
        let mut endpoints = self.endpoints.borrow_mut();
        let known = endpoints.get_mut(endpoint).filter(|known| known.process == acquired.process);
        let Some(known) = known else { return };
        known.last_response_at = Instant::now();
        if is_reusable && known.is_ready {
            self.connections.release(endpoint, acquired, known.last_response_at);
        }
    }

    /// Records that an attempt timed out: closes the idle connections to the endpoint if it has not responded
    /// to any request since the attempt began.
    ///
    /// A host that fails without closing its connections leaves them open, and each would cost another
    /// request a timeout. A new connection fails quickly instead, and before the request is written. An
    /// endpoint that has responded since is merely slow.
    pub(super) fn record_timeout(&self, endpoint: &Name, attempt_started_at: Instant) {
        let endpoints = self.endpoints.borrow();
        if endpoints.get(endpoint).is_some_and(|known| known.last_response_at < attempt_started_at) {
            self.connections.close_idle(endpoint);
        }
    }

    /// Closes idle connections that have expired or that their endpoint has closed, every second. Never
    /// returns.
    pub async fn maintain_connections(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.connections.close_expired();
        }
    }
}
