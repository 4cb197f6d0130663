//! Wraps the gateway's real endpoint list parser and endpoint registry. These are the only parts of the
//! gateway crate that the model uses, except for the endpoint watch, its timing and the engine in
//! `slopes::list_watch`.

use ryefront_gateway::discovery::EndpointList as ParsedList;
pub(crate) use ryefront_gateway::discovery::EndpointListError;
use ryefront_gateway::endpoint::{EndpointRegistry, EndpointSettings};
use ryefront_gateway::memory::MemoryMonitor;
use ryefront_policy::{EndpointEntry, Event, LoadReportSource};
use std::rc::Rc;
use std::time::Duration;

/// The connection limit of a gateway, which is bounded by the file descriptors of its process.
const MAX_CONNECTIONS: usize = 1024;
pub(crate) const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// An endpoint list, parsed by the gateway's code.
pub(crate) struct EndpointList(ParsedList);

impl EndpointList {
    /// # Errors
    /// When the gateway's parser rejects the list.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, EndpointListError> {
        ParsedList::parse(text).map(Self)
    }

    pub(crate) fn is_snapshot(&self) -> bool {
        self.0.is_snapshot
    }

    /// Copies the list's entries into an event for the policy engine.
    pub(crate) fn to_event(&self) -> Event {
        self.event_from(self.0.endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect())
    }

    /// Converts the list into an event for the policy engine without copying its entries.
    pub(crate) fn into_event(mut self) -> Event {
        let entries =
            std::mem::take(&mut self.0.endpoints).into_iter().map(|endpoint| endpoint.entry).collect();
        self.event_from(entries)
    }

    fn event_from(&self, entries: Vec<EndpointEntry>) -> Event {
        if self.is_snapshot() { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) }
    }
}

/// A gateway's endpoint registry. The model opens no connections through it.
#[derive(Clone)]
pub(crate) struct Registry(Rc<EndpointRegistry>);

impl Registry {
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        Self(EndpointRegistry::new(EndpointSettings {
            connect_timeout: Duration::from_secs_f64(CONNECT_TIMEOUT_MS / 1000.0),
            endpoint_idle_timeout: idle_timeout,
            load_report_source: LoadReportSource::Responses,
            max_connections: MAX_CONNECTIONS,
            memory: Rc::new(MemoryMonitor::unlimited()),
        }))
    }

    pub(crate) fn apply(&self, list: &EndpointList) {
        self.0.apply(&list.0);
    }

    pub(crate) fn endpoint_registry(&self) -> Rc<EndpointRegistry> {
        self.0.clone()
    }
}
