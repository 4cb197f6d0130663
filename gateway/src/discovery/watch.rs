//! Keeps the endpoint list up to date by long polling. A connection is used until it fails.
//!
//! When a response is late, another poll is sent beside the first, on a connection of its own. From one poll
//! alone, a service that is slow cannot be told from one that has stopped: the first poll is answered by the
//! slow one, the next by the one that has recovered. The lists are applied in the order of the polls.
//!
//! While discovery is unreachable, the last list remains in use.

use crate::discovery::backoff::{MAX_RESPONSE_TIME, PollBackoff, PollFailure, PollTiming};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::error_log::ErrorLog;
use crate::discovery::known_version::{KnownVersion, ListStatus};
use crate::discovery::outstanding_polls::{EndedPoll, OutstandingPolls};
use crate::discovery::poll::{PollError, PollQuery, PollResponse};
use crate::discovery::status::DiscoveryStatus;
use crate::http_connection::Connection;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

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
    /// Kept up to date by the watch.
    pub status: Rc<DiscoveryStatus>,
}

/// Watches the endpoint list. Never returns.
pub async fn watch_endpoints(settings: WatchSettings, sink: Rc<dyn EndpointListSink>) {
    let mut address = settings.address;
    let mut watcher = Watcher {
        timing: settings.timing,
        sink,
        known_version: KnownVersion::new(settings.cached_version),
        jitter_source: fastrand::Rng::with_seed(settings.seed),
        error_log: ErrorLog::default(),
        status: settings.status,
    };
    loop {
        let current = *address.borrow_and_update();
        tokio::select! {
            () = watcher.watch_at(current) => {}
            Ok(()) = address.changed() => {}
        }
        // The service at the new address may number its versions differently.
        watcher.known_version.request_snapshot();
    }
}

/// The state of the watch that outlives an address.
struct Watcher {
    timing: PollTiming,
    sink: Rc<dyn EndpointListSink>,
    known_version: KnownVersion,
    jitter_source: fastrand::Rng,
    error_log: ErrorLog,
    status: Rc<DiscoveryStatus>,
}

impl Watcher {
    /// Watches the list at one address. Never returns.
    async fn watch_at(&mut self, address: SocketAddr) {
        let mut session = Session::new(self, address);
        // Not by a timer, whose resolution would delay it: a gateway that starts serves by its cached list.
        session.poll();
        loop {
            let schedule = session.schedule;
            tokio::select! {
                biased;
                ended = session.polls.next_ended() => session.handle_end(ended),
                () = sleep_until(schedule.at()) => session.handle_timer(schedule),
            }
        }
    }
}

/// What happens next unless a poll ends before.
#[derive(Clone, Copy, Debug)]
enum Schedule {
    /// The last poll times out.
    TimeOut(Instant),
    /// The next poll begins.
    Poll(Instant),
}

impl Schedule {
    fn at(self) -> Instant {
        match self {
            Self::TimeOut(at) | Self::Poll(at) => at,
        }
    }
}

/// The watch at one address.
struct Session<'a> {
    watcher: &'a mut Watcher,
    address: SocketAddr,
    backoff: PollBackoff,
    polls: OutstandingPolls,
    /// A connection on which a response was received while a later poll was outstanding.
    idle_connection: Option<Connection>,
    /// When the response to the last poll was due.
    last_due_at: Instant,
    /// When the last response was received; before the first one, when the watch began.
    last_response_at: Instant,
    schedule: Schedule,
}

impl<'a> Session<'a> {
    fn new(watcher: &'a mut Watcher, address: SocketAddr) -> Self {
        let now = Instant::now();
        Self {
            backoff: PollBackoff::new(watcher.timing),
            watcher,
            address,
            polls: OutstandingPolls::default(),
            idle_connection: None,
            last_due_at: now,
            last_response_at: now,
            schedule: Schedule::Poll(now),
        }
    }

    /// Sends a poll. It waits for changes only on a connection on which a list has been received: on a new one
    /// it returns the changes since the last list at once, and shows whether the service responds.
    fn poll(&mut self) {
        let known_version = self.watcher.known_version.get();
        let connection = self.idle_connection.take().filter(Connection::is_alive);
        let wait = if connection.is_some() { self.watcher.timing.max_wait } else { Duration::ZERO };
        let query = PollQuery { address: self.address, known_version, wait };
        self.last_due_at = self.polls.start(query, connection);
        self.schedule_timeout();
    }

    /// The timeout of the last poll begins anew with each response to an earlier one, as a service that responds
    /// to those may still be working on the last one.
    fn schedule_timeout(&mut self) {
        let waiting_since = self.last_due_at.max(Instant::now());
        let timeout = waiting_since + self.backoff.poll_timeout(Duration::ZERO);
        let latest = self.last_due_at + self.backoff.max_poll_timeout();
        self.schedule = Schedule::TimeOut(timeout.min(latest));
    }

    fn handle_timer(&mut self, schedule: Schedule) {
        match schedule {
            Schedule::TimeOut(_) => {
                self.watcher.status.record_timeout();
                self.handle_failure(&PollError::NoResponse);
            }
            Schedule::Poll(_) => {
                self.give_up_lost_polls();
                self.poll();
            }
        }
    }

    /// Gives up the polls that have had no response for too long. While a service responds to earlier polls, it
    /// may work on one after another, so the time counts from the last response.
    fn give_up_lost_polls(&mut self) {
        let now = Instant::now();
        if now >= self.last_response_at + MAX_RESPONSE_TIME {
            self.polls.give_up_due_before(now - MAX_RESPONSE_TIME);
        }
    }

    fn handle_end(&mut self, ended: EndedPoll) {
        let EndedPoll { query, due_at, result, has_successor } = ended;
        match result {
            Ok(PollResponse { list, connection }) => {
                let response_time = due_at.elapsed();
                self.last_response_at = Instant::now();
                self.backoff.record_response(response_time);
                let list_version = list.version;
                self.apply(query, list);
                let version = self.watcher.known_version.get().unwrap_or(list_version);
                let timeout = self.watcher.timing.response_timeout;
                self.watcher.status.record_response(version, response_time, timeout);
                self.continue_after_response(connection);
            }
            Err(error) if has_successor => self.watcher.error_log.log_once(&error),
            Err(error) => self.handle_failure(&error),
        }
    }

    /// Logs the failure of the last poll and schedules the next one.
    fn handle_failure(&mut self, error: &PollError) {
        self.watcher.error_log.log_once(error);
        let jitter = self.watcher.jitter_source.f64();
        let next_poll_at = Instant::now() + self.backoff.record_failure(error.failure(), jitter);
        self.schedule = match self.schedule {
            // The poll has timed out and failed since.
            Schedule::Poll(at) if error.failure() != PollFailure::Rejected => Schedule::Poll(at),
            Schedule::Poll(at) => Schedule::Poll(at.max(next_poll_at)),
            Schedule::TimeOut(_) => Schedule::Poll(next_poll_at),
        };
    }

    /// Applies a list unless a later one has been applied.
    fn apply(&mut self, query: PollQuery, list: EndpointList) {
        match self.watcher.known_version.record(query.known_version, &list) {
            ListStatus::Current => {}
            ListStatus::Outdated => return,
            ListStatus::FromRestartedService => self.polls.clear(),
        }
        self.watcher.sink.apply(list);
    }

    /// Waits for later polls if there are any. Otherwise polls at once, or reconnects if the service has closed
    /// the connection.
    fn continue_after_response(&mut self, connection: Option<Connection>) {
        let is_reusable = connection.is_some();
        self.idle_connection = connection.or(self.idle_connection.take());
        if !self.polls.is_empty() {
            self.schedule_timeout();
            return;
        }
        self.backoff.record_all_answered();
        if is_reusable {
            self.poll();
        } else {
            self.handle_failure(&PollError::ConnectionClosed);
        }
    }
}
