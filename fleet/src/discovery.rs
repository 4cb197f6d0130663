//! Discovery: the endpoint lists it publishes, and the changes it collects.

use crate::endpoint_list::{EndpointList, EndpointListError};
use crate::list_format::{ListEntry, ListKind, format_list};

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
        let text = format_list(self.published.len() as u64 + 1, kind, entries);
        let list = EndpointList::parse(text.as_bytes())?;
        self.published.push(PublishedList { list, bytes: text.len() as u64 });
        Ok(self.published.len() - 1)
    }
}
