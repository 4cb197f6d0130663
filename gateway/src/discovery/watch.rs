//! Keeps the endpoint list up to date by long polling. A connection is used until it fails.
//!
//! While discovery is unreachable, the last list remains in use.

use crate::discovery::backoff::{CONNECT_TIMEOUT, PollBackoff, PollFailure, PollTiming};
use crate::discovery::endpoint_list::{EndpointList, EndpointListError, MAX_LIST_BYTES};
use crate::headers::ENDPOINT_LIST_PATH;
use crate::http_connection::{Connection, ExchangeError, ExchangeLimits};
use crate::log;
use crate::memory::MemoryMonitor;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// A consumer of endpoint lists.
pub trait EndpointListSink {
    /// Applies a snapshot or a delta. Called in the order in which the lists were received.
    fn apply(&self, list: EndpointList);
}

/// The settings of a watch.
pub struct WatchSettings {
    /// The address of discovery. When it changes, the watch continues at the new address at once.
    pub address: watch::Receiver<SocketAddr>,
    /// The version of the cached list, from which the first poll continues.
    pub cached_version: u64,
    /// The seed of the backoff's jitter.
    pub seed: u64,
    /// The timing of the polls.
    pub timing: PollTiming,
}

/// Watches the endpoint list. Never returns.
pub async fn watch_endpoints(settings: WatchSettings, sink: Rc<dyn EndpointListSink>) {
    let mut address = settings.address;
    let mut watcher = Watcher {
        timing: settings.timing,
        sink,
        known_version: Some(settings.cached_version),
        jitter_source: fastrand::Rng::with_seed(settings.seed),
        error_log: ErrorLog::default(),
    };
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = watcher.watch_at(current) => {}
            Ok(()) = address.changed() => {}
        }
        // The service at the new address may number its versions differently, so a snapshot is requested.
        watcher.known_version = None;
    }
}

/// Why the watch on one connection to discovery ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
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
    #[error("the response was not complete in time")]
    Incomplete,
    #[error("status {0}, expected 200 OK")]
    UnexpectedStatus(StatusCode),
    #[error("{0}; the previous list is kept")]
    InvalidList(#[from] EndpointListError),
}

/// A kind of error. Only the first error of each kind is logged.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WatchErrorKind {
    Unreachable,
    UnexpectedStatus,
    InvalidList,
}

impl WatchError {
    fn kind(&self) -> WatchErrorKind {
        match self {
            Self::UnexpectedStatus(_) => WatchErrorKind::UnexpectedStatus,
            Self::InvalidList(_) => WatchErrorKind::InvalidList,
            _ => WatchErrorKind::Unreachable,
        }
    }

    fn poll_failure(&self) -> PollFailure {
        match self {
            Self::NoResponse => PollFailure::NoResponse,
            Self::Incomplete => PollFailure::Incomplete,
            Self::UnexpectedStatus(_) | Self::InvalidList(_) => PollFailure::Rejected,
            Self::ConnectFailed
            | Self::InvalidRequest(_)
            | Self::ConnectionFailed
            | Self::ConnectionClosed => PollFailure::ConnectionLost,
        }
    }
}

/// Logs errors, but only the first of each kind.
#[derive(Default)]
struct ErrorLog {
    logged: Vec<WatchErrorKind>,
}

impl ErrorLog {
    /// Logs an error unless one of its kind has been logged.
    fn log_once(&mut self, error: &WatchError) {
        let kind = error.kind();
        if !self.logged.contains(&kind) {
            self.logged.push(kind);
            log::write(format_args!("discovery: {error} (logged once)"));
        }
    }
}

/// The state of the watch that outlives a connection or address.
struct Watcher {
    timing: PollTiming,
    sink: Rc<dyn EndpointListSink>,
    /// The version of the current list; the next poll returns changes since then. `None` to poll for a
    /// snapshot.
    known_version: Option<u64>,
    jitter_source: fastrand::Rng,
    error_log: ErrorLog,
}

impl Watcher {
    /// Watches the list at one address, reconnecting after each failure. Never returns.
    async fn watch_at(&mut self, address: SocketAddr) {
        let mut backoff = PollBackoff::new(self.timing);
        loop {
            let Err(error) = self.watch_on_new_connection(address, &mut backoff).await;
            self.error_log.log_once(&error);
            let delay = backoff.record_failure(error.poll_failure(), self.jitter_source.f64());
            sleep(delay).await;
        }
    }

    /// Connects, then polls until a poll fails or the connection closes.
    async fn watch_on_new_connection(
        &mut self, address: SocketAddr, backoff: &mut PollBackoff,
    ) -> Result<Infallible, WatchError> {
        let connecting = Connection::connect(address, CONNECT_TIMEOUT);
        let mut connection = connecting.await.map_err(|_| WatchError::ConnectFailed)?;
        // The first poll does not wait for changes: it returns those since the last connection, and shows
        // whether the service responds.
        let mut wait = Duration::ZERO;
        loop {
            let request = self.poll_request(address, wait)?;
            let list = poll(&mut connection, request, wait, backoff).await?;
            self.update_known_version(&list);
            wait = self.timing.max_wait;
            backoff.record_success();
            self.sink.apply(list);
            if !connection.is_reusable().await {
                return Err(WatchError::ConnectionClosed);
            }
        }
    }

    fn poll_request(
        &self, address: SocketAddr, wait: Duration,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let uri = match self.known_version {
            Some(version) => {
                format!("{ENDPOINT_LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
            }
            None => ENDPOINT_LIST_PATH.into(),
        };
        Request::get(uri).header(HOST, address.to_string()).body(Full::default())
    }

    /// Records the version of a list. A delta of a lower version means that the service has restarted. It may
    /// then list other endpoints, so the next poll is for a snapshot.
    fn update_known_version(&mut self, list: &EndpointList) {
        let restarted = !list.is_snapshot && self.known_version.is_some_and(|known| list.version < known);
        self.known_version = (!restarted).then_some(list.version);
    }
}

/// Sends one poll and returns the list in its response.
async fn poll(
    connection: &mut Connection, request: Request<Full<Bytes>>, wait: Duration, backoff: &PollBackoff,
) -> Result<EndpointList, WatchError> {
    let started_at = Instant::now();
    let completion_timeout = backoff.completion_timeout();
    let limits = ExchangeLimits {
        max_body_bytes: MAX_LIST_BYTES,
        response_timeout: completion_timeout,
        write_deadline: None,
        memory: Rc::new(MemoryMonitor::unlimited()),
    };
    let socket = connection.socket();
    let no_response = async {
        sleep(backoff.poll_timeout(wait)).await;
        socket.wait_for_pending_read().await;
    };
    let exchanged = tokio::select! {
        biased;
        exchanged = connection.exchange(request, limits) => exchanged,
        () = no_response => return Err(WatchError::NoResponse),
    };
    let response = match exchanged {
        Ok(response) => response,
        Err(ExchangeError::InvalidResponse) if started_at.elapsed() >= completion_timeout => {
            return Err(WatchError::Incomplete);
        }
        Err(_) => return Err(WatchError::ConnectionFailed),
    };
    if response.status() != StatusCode::OK {
        return Err(WatchError::UnexpectedStatus(response.status()));
    }
    let list = EndpointList::parse(response.body());
    drop(response);
    // Parsing and applying a long list both take a while, so other tasks run in between.
    yield_now().await;
    Ok(list?)
}
