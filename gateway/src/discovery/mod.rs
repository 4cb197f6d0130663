//! The endpoint list: its wire format (`endpoint_list`), the watch that keeps it up to date (`watch`), and
//! the timeouts and backoff of its polls (`backoff`).

pub mod backoff;
mod endpoint_list;
mod watch;

pub use endpoint_list::{EndpointList, EndpointListError, ListedEndpoint};
pub use watch::{EndpointListSink, WatchSettings, watch_endpoints};
