//! Discovery: the endpoint lists it publishes, as text in the form that gateways read, and the changes it
//! collects.

use crate::endpoint_list::{EndpointList, EndpointListError};
use ryefront_policy::{EndpointState, Millis};
use std::fmt::Write;

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListEntry {
    pub(crate) endpoint: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u64,
    pub(crate) state: EndpointState,
    /// 0 for long ago.
    pub(crate) started_at: Millis,
}

/// Whether a list is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

fn endpoint_name(endpoint: u32) -> String {
    format!("s-{endpoint:08x}")
}

/// The number of the endpoint with a name.
pub(crate) fn endpoint_number(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}

pub(crate) fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

/// A list as JSON. Its addresses are placeholders, as nothing connects to them.
pub(crate) fn list_text<'a>(
    version: u64, kind: ListKind, entries: impl IntoIterator<Item = &'a ListEntry>,
) -> String {
    let whole = kind == ListKind::Snapshot;
    let mut text = format!("{{\"seq\":{version},\"whole\":{whole},\"hosts\":[");
    for (index, entry) in entries.into_iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        write_entry(&mut text, entry);
    }
    text.push_str("]}");
    text
}

fn write_entry(text: &mut String, entry: &ListEntry) {
    let health = match entry.state {
        EndpointState::Ready => "in_service",
        EndpointState::Draining => "terminating",
        EndpointState::Removed => "terminated",
    };
    let [_, a, b, c] = entry.endpoint.to_be_bytes();
    // Writing to a String cannot fail.
    let _ = write!(
        text,
        "{{\"host\":\"{}\",\"dial\":\"127.{a}.{b}.{c}:7070\",\"site\":\"{}\",\"class\":\"m2\",\"block\":{},\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{}}}",
        endpoint_name(entry.endpoint),
        zone_name(entry.zone),
        entry.cell,
        entry.started_at,
    );
}

/// A list that was published.
pub(crate) struct PublishedList {
    /// The list as a gateway reads it.
    pub(crate) list: EndpointList,
    /// The size of its text.
    pub(crate) bytes: u64,
}

/// Discovery's state.
#[derive(Default)]
pub(crate) struct Discovery {
    /// All lists; the version of a list is its index plus 1.
    published: Vec<PublishedList>,
    /// Changes since the last list.
    pending: Vec<ListEntry>,
}

impl Discovery {
    /// The list with an index.
    pub(crate) fn list(&self, index: usize) -> &PublishedList {
        &self.published[index]
    }

    /// How many lists were published.
    pub(crate) fn list_count(&self) -> usize {
        self.published.len()
    }

    /// Records a change for the next list.
    pub(crate) fn record(&mut self, entry: ListEntry) {
        self.pending.push(entry);
    }

    /// Publishes a complete list and returns its index.
    ///
    /// # Errors
    /// When the gateways' parser rejects it.
    pub(crate) fn publish_snapshot(&mut self, entries: &[ListEntry]) -> Result<usize, EndpointListError> {
        self.publish(ListKind::Snapshot, entries)
    }

    /// Publishes the changes since the last list, if there are any, and returns its index.
    ///
    /// # Errors
    /// When the gateways' parser rejects it.
    pub(crate) fn publish_changes(&mut self) -> Result<Option<usize>, EndpointListError> {
        let entries = std::mem::take(&mut self.pending);
        if entries.is_empty() { Ok(None) } else { self.publish(ListKind::Delta, &entries).map(Some) }
    }

    fn publish(&mut self, kind: ListKind, entries: &[ListEntry]) -> Result<usize, EndpointListError> {
        let text = list_text(self.published.len() as u64 + 1, kind, entries);
        self.published
            .push(PublishedList { list: EndpointList::parse(text.as_bytes())?, bytes: text.len() as u64 });
        Ok(self.published.len() - 1)
    }
}
