//! The wire format of the endpoint list: a snapshot, or a delta to an earlier version.

use ryefront_policy::{EndpointEntry, EndpointState, Name};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::net::SocketAddr;

/// The maximum number of endpoints in a list.
const MAX_ENDPOINTS: usize = 1 << 15;
/// The maximum size of one entry, including indentation.
const MAX_ENTRY_BYTES: usize = 512;
/// The maximum size of a list.
pub(crate) const MAX_LIST_BYTES: usize = MAX_ENDPOINTS * MAX_ENTRY_BYTES;

/// A snapshot of the endpoint list, or a delta to it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list once this is applied.
    pub version: u64,
    /// Whether this is a snapshot, which removes the endpoints that are not in it.
    pub is_snapshot: bool,
    /// The entries. If an endpoint has several, the last one applies.
    pub endpoints: Vec<ListedEndpoint>,
}

/// An endpoint and its address.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The entry for the policy.
    pub entry: EndpointEntry,
    /// The address of the endpoint.
    pub address: SocketAddr,
}

/// Why an endpoint list is invalid.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The list is not JSON, or a field is missing or has the wrong type.
    #[error("malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An entry has an empty name.
    #[error("entry {index} of the endpoint list: the name is empty")]
    EmptyName {
        /// The index of the entry, from 0.
        index: usize,
    },
    /// An entry has no valid address.
    #[error("endpoint {endpoint}: address {address:?}, expected an IP address and a port")]
    InvalidAddress {
        /// The name of the endpoint.
        endpoint: String,
        /// The invalid address.
        address: String,
    },
}

impl EndpointList {
    /// Parses a list from JSON text.
    ///
    /// # Errors
    /// If any part of it is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, EndpointListError> {
        serde_json::from_slice::<WireList>(text)?.decode()
    }

    /// Parses a list from a JSON value.
    ///
    /// # Errors
    /// If any part of it is invalid.
    pub fn from_value(value: &Value) -> Result<Self, EndpointListError> {
        WireList::deserialize(value)?.decode()
    }
}

/// A list in its wire format. Strings are borrowed from the text unless they need unescaping, as lists can be
/// long.
#[derive(Deserialize)]
struct WireList<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_snapshot: bool,
    #[serde(borrow, rename = "hosts")]
    entries: Vec<WireEntry<'a>>,
}

/// An entry in its wire format.
#[derive(Deserialize)]
struct WireEntry<'a> {
    #[serde(borrow, rename = "host")]
    name: Cow<'a, str>,
    #[serde(borrow, rename = "dial")]
    address: Cow<'a, str>,
    #[serde(borrow, default, rename = "site")]
    zone: Cow<'a, str>,
    #[serde(default, rename = "block")]
    cell: u64,
    #[serde(rename = "health")]
    state: WireState,
    #[serde(default, rename = "born_ms")]
    started_at: f64,
}

#[derive(Clone, Copy, Deserialize)]
enum WireState {
    #[serde(rename = "in_service")]
    Ready,
    #[serde(rename = "terminating")]
    Draining,
    #[serde(rename = "terminated")]
    Removed,
}

impl WireList<'_> {
    fn decode(self) -> Result<EndpointList, EndpointListError> {
        let mut last_zone = Name::from("");
        let entries = self.entries.into_iter().enumerate();
        let endpoints = entries.map(|(index, entry)| entry.decode(index, &mut last_zone));
        Ok(EndpointList {
            version: self.version,
            is_snapshot: self.is_snapshot,
            endpoints: endpoints.collect::<Result<_, _>>()?,
        })
    }
}

impl WireEntry<'_> {
    /// Decodes the entry at `index`. Adjacent entries are often in the same zone, so an entry shares the
    /// allocation of `last_zone` if the names are equal.
    fn decode(self, index: usize, last_zone: &mut Name) -> Result<ListedEndpoint, EndpointListError> {
        if self.name.is_empty() {
            return Err(EndpointListError::EmptyName { index });
        }
        let Ok(address) = self.address.parse() else {
            return Err(EndpointListError::InvalidAddress {
                endpoint: self.name.into(),
                address: self.address.into(),
            });
        };
        if **last_zone != *self.zone {
            *last_zone = self.zone.into();
        }
        let entry = EndpointEntry {
            name: self.name.into(),
            zone: last_zone.clone(),
            cell: self.cell,
            state: self.state.into(),
            // 0 stands for an unknown time long ago.
            started_at: (self.started_at > 0.0).then_some(self.started_at),
        };
        Ok(ListedEndpoint { entry, address })
    }
}

impl From<WireState> for EndpointState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Ready => Self::Ready,
            WireState::Draining => Self::Draining,
            WireState::Removed => Self::Removed,
        }
    }
}
