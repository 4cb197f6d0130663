//! The gateway's real endpoint list code: its parser and its registry. Nothing else of the gateway is used,
//! except the watch, its timing and the engine in `slopes::list_watch`.

use ryefront_gateway::discovery::EndpointList as ParsedList;
pub(crate) use ryefront_gateway::discovery::EndpointListError;
use ryefront_gateway::endpoint::{EndpointRegistry, EndpointSettings};
use ryefront_policy::{EndpointEntry, Event, LoadReportSource};
use std::rc::Rc;
use std::time::Duration;

/// File descriptors of a gateway process.
const FILE_DESCRIPTORS: usize = 1024;
pub(crate) const CONNECT_TIMEOUT_MS: f64 = 250.0;

/// An endpoint list as the gateway's code reads it.
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

    /// The list as an event for the policy engine.
    pub(crate) fn to_event(&self) -> Event {
        self.event_from(self.0.endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect())
    }

    /// The same without a copy of the entries.
    pub(crate) fn into_event(mut self) -> Event {
        let entries =
            std::mem::take(&mut self.0.endpoints).into_iter().map(|endpoint| endpoint.entry).collect();
        self.event_from(entries)
    }

    fn event_from(&self, entries: Vec<EndpointEntry>) -> Event {
        if self.is_snapshot() { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) }
    }
}

/// A real endpoint registry, which has no connections.
#[derive(Clone)]
pub(crate) struct Registry(Rc<EndpointRegistry>);

impl Registry {
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        Self(EndpointRegistry::new(EndpointSettings {
            connect_timeout: Duration::from_secs_f64(CONNECT_TIMEOUT_MS / 1000.0),
            endpoint_idle_timeout: idle_timeout,
            load_report_source: LoadReportSource::Responses,
            max_connections: FILE_DESCRIPTORS,
        }))
    }

    pub(crate) fn apply(&self, list: &EndpointList) {
        self.0.apply(&list.0);
    }

    pub(crate) fn shared(&self) -> Rc<EndpointRegistry> {
        self.0.clone()
    }
}
