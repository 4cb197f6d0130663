//! One poll to discovery: connects unless it is given a connection, and receives one endpoint list.

use crate::discovery::backoff::{MAX_RESPONSE_TIME, PollFailure};
use crate::discovery::endpoint_list::{EndpointList, EndpointListError, MAX_LIST_BYTES};
use crate::headers::ENDPOINT_LIST_PATH;
use crate::http_connection::{Connection, ExchangeLimits};
use crate::memory::MemoryMonitor;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("cannot connect")]
    ConnectFailed,
    #[error("cannot build the poll request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("the connection failed")]
    ConnectionFailed,
    #[error("the connection was closed")]
    ConnectionClosed,
    #[error("no response in time")]
    NoResponse,
    #[error("status {0}, expected 200 OK")]
    UnexpectedStatus(StatusCode),
    #[error("{0}; the previous list is kept")]
    InvalidList(#[from] EndpointListError),
}

impl PollError {
    /// The kind of failure, by which the next poll is scheduled.
    pub(super) fn failure(&self) -> PollFailure {
        match self {
            Self::NoResponse => PollFailure::NoResponse,
            Self::UnexpectedStatus(_) | Self::InvalidList(_) => PollFailure::Rejected,
            Self::ConnectFailed
            | Self::InvalidRequest(_)
            | Self::ConnectionFailed
            | Self::ConnectionClosed => PollFailure::ConnectionLost,
        }
    }
}

/// What a poll asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollQuery {
    /// The address of discovery.
    pub(super) address: SocketAddr,
    /// The version since which changes are requested. `None` for a snapshot.
    pub(super) known_version: Option<u64>,
    /// How long the service may wait for changes.
    pub(super) wait: Duration,
}

impl PollQuery {
    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri = match self.known_version {
            Some(version) => {
                format!("{ENDPOINT_LIST_PATH}?after={version}&wait_ms={}", self.wait.as_millis())
            }
            None => ENDPOINT_LIST_PATH.into(),
        };
        Request::get(uri).header(HOST, self.address.to_string()).body(Full::default())
    }
}

/// A list, and the connection on which it was received.
pub(super) struct PollResponse {
    pub(super) list: EndpointList,
    /// The connection if it can carry another poll.
    pub(super) connection: Option<Connection>,
}

/// Sends one poll and returns the list in its response. Uses `connection` if there is one.
///
/// There is no limit to the time until the response begins.
///
/// # Errors
/// If the poll fails, or if it takes longer than [`MAX_RESPONSE_TIME`] to connect or from the first byte of the
/// response to its last.
pub(super) async fn poll(
    query: PollQuery, connection: Option<Connection>,
) -> Result<PollResponse, PollError> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => connect(query.address).await?,
    };
    let limits = ExchangeLimits {
        max_body_bytes: MAX_LIST_BYTES,
        response_timeout: MAX_RESPONSE_TIME,
        write_deadline: None,
        memory: Rc::new(MemoryMonitor::unlimited()),
    };
    let request = query.request()?;
    let exchanged = connection.exchange(request, limits).await;
    let response = exchanged.map_err(|_| PollError::ConnectionFailed)?;
    if response.status() != StatusCode::OK {
        return Err(PollError::UnexpectedStatus(response.status()));
    }
    let list = EndpointList::parse(response.body());
    drop(response);
    // Parsing and applying a long list both take a while, so other tasks run in between.
    yield_now().await;
    let list = list?;
    let is_reusable = connection.is_reusable().await;
    Ok(PollResponse { list, connection: is_reusable.then_some(connection) })
}

async fn connect(address: SocketAddr) -> Result<Connection, PollError> {
    Connection::connect(address, MAX_RESPONSE_TIME).await.map_err(|_| PollError::ConnectFailed)
}
