//! The endpoint list.
//!
//! In reading order: `endpoint_list` is its wire format; `watch` keeps it up to date; `poll` performs one poll,
//! of which several may be outstanding (`outstanding_polls`); `backoff` decides when to poll; `known_version`
//! puts the received lists in order; `error_log` logs each kind of failure once, and `status` how up
//! to date the list is.

pub mod backoff;
mod endpoint_list;
mod error_log;
mod known_version;
mod outstanding_polls;
mod poll;
mod status;
mod watch;

pub use endpoint_list::{EndpointList, EndpointListError, ListedEndpoint};
pub use status::DiscoveryStatus;
pub use watch::{EndpointListSink, WatchSettings, watch_endpoints};
