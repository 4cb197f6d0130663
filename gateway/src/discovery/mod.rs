//! The endpoint list: its wire format, and the watch that follows it.

pub mod backoff;
pub mod endpoint_list;
pub mod watch;

pub use endpoint_list::{EndpointList, EndpointListError, ListedEndpoint};
pub use watch::{EndpointListSink, watch_endpoints};
