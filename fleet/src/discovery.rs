//! The model of discovery, which collects changes of endpoints and publishes endpoint lists.

use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::list_format::{ListEntry, ListKind, format_list};

/// An endpoint list that discovery published.
pub(crate) struct PublishedList {
    /// The list as parsed by a gateway.
    pub(crate) list: EndpointList,
    /// The size of the list's text.
    pub(crate) bytes: u64,
}

/// All published lists, and the changes that are not published yet.
#[derive(Default)]
pub(crate) struct Discovery {
    /// All published lists. The version of a list is its index plus 1.
    published: Vec<PublishedList>,
    /// Changes since the last list.
    pending_changes: Vec<ListEntry>,
}

impl Discovery {
    /// The published list at an index.
    pub(crate) fn list(&self, index: usize) -> &PublishedList {
        &self.published[index]
    }

    /// The number of published lists.
    pub(crate) fn list_count(&self) -> usize {
        self.published.len()
    }

    /// Records a change to publish in the next list.
    pub(crate) fn record_change(&mut self, entry: ListEntry) {
        self.pending_changes.push(entry);
    }

    /// Publishes a snapshot of all endpoints and returns its index.
    ///
    /// # Errors
    /// When the gateways' parser rejects the list.
    pub(crate) fn publish_snapshot(&mut self, entries: &[ListEntry]) -> Result<usize, EndpointListError> {
        self.publish(ListKind::Snapshot, entries)
    }

    /// Publishes the changes since the last list, if there are any, as a delta and returns its index.
    ///
    /// # Errors
    /// When the gateways' parser rejects the list.
    pub(crate) fn publish_changes(&mut self) -> Result<Option<usize>, EndpointListError> {
        let entries = std::mem::take(&mut self.pending_changes);
        if entries.is_empty() { Ok(None) } else { self.publish(ListKind::Delta, &entries).map(Some) }
    }

    fn publish(&mut self, kind: ListKind, entries: &[ListEntry]) -> Result<usize, EndpointListError> {
        let text = format_list(self.published.len() as u64 + 1, kind, entries);
        let list = EndpointList::parse(text.as_bytes())?;
        self.published.push(PublishedList { list, bytes: text.len() as u64 });
        Ok(self.published.len() - 1)
    }
}
