//! The version of the endpoint list, by which received lists are put in order.

use crate::discovery::endpoint_list::EndpointList;

/// How a received list relates to those received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListStatus {
    /// The list is up to date.
    Current,
    /// A list of this version or a later one was received after the poll for this one began.
    Outdated,
    /// The version is lower than before, so the service has restarted or is another one. Responses to other
    /// polls cannot be put in order with this one.
    FromRestartedService,
}

/// The version of the current list.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownVersion {
    /// `None` if the next poll must be for a snapshot.
    version: Option<u64>,
}

impl KnownVersion {
    /// Starts from the version of the cached list.
    pub(super) fn new(version: u64) -> Self {
        Self { version: Some(version) }
    }

    /// The version since which changes are to be requested. `None` to request a snapshot.
    pub(super) fn get(self) -> Option<u64> {
        self.version
    }

    /// Makes the next poll one for a snapshot.
    pub(super) fn request_snapshot(&mut self) {
        self.version = None;
    }

    /// Records a list that was received in response to a poll for changes since `requested`.
    ///
    /// A restarted service may list other endpoints, so after a delta of it the next poll is for a snapshot.
    pub(super) fn record(&mut self, requested: Option<u64>, list: &EndpointList) -> ListStatus {
        let Some(known) = self.version else {
            self.version = Some(list.version);
            return ListStatus::Current;
        };
        let changed_since_poll_began = requested != Some(known);
        if changed_since_poll_began && list.version <= known {
            return ListStatus::Outdated;
        }
        if list.version < known {
            self.version = list.is_snapshot.then_some(list.version);
            return ListStatus::FromRestartedService;
        }
        self.version = Some(list.version);
        ListStatus::Current
    }
}
