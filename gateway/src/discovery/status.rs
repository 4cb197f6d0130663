//! How up to date the endpoint list is, and whether discovery responds in time: for the log.

use crate::log;
use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Discovery counts as silent after this long without a response.
const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Discovery counts as slow until its responses have been in time for this long. Bounds the number of log lines
/// while late responses come and go.
const RECOVERED_AFTER: Duration = Duration::from_secs(10);

/// Whether discovery responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// Responses are in time.
    Responsive,
    /// Responses are late.
    Slow,
    /// There are no responses.
    Silent,
}

impl Condition {
    fn name(self) -> &'static str {
        match self {
            Self::Responsive => "responsive",
            Self::Slow => "slow",
            Self::Silent => "silent",
        }
    }
}

/// The last response with a valid list.
#[derive(Clone, Copy, Debug)]
struct LastResponse {
    received_at: Instant,
    /// How long after it was due it was received.
    response_time: Duration,
    version: u64,
}

/// The state of the watch, for the log. Displayed, it tells the age of the list and since when discovery is slow
/// or silent.
#[derive(Debug)]
pub struct DiscoveryStatus {
    condition: Cell<Condition>,
    condition_since: Cell<Instant>,
    /// When a response was late or missing last.
    last_late_at: Cell<Instant>,
    last_response: Cell<Option<LastResponse>>,
    started_at: Instant,
}

impl Default for DiscoveryStatus {
    /// The state of a watch that begins now.
    fn default() -> Self {
        let now = Instant::now();
        Self {
            condition: Cell::new(Condition::Responsive),
            condition_since: Cell::new(now),
            last_late_at: Cell::new(now),
            last_response: Cell::default(),
            started_at: now,
        }
    }
}

impl DiscoveryStatus {
    /// Records that a list was received this long after it was due. `timeout` is the longest time of a response
    /// that is in time.
    pub(super) fn record_response(&self, version: u64, response_time: Duration, timeout: Duration) {
        let now = Instant::now();
        let silent_for = self.since_last_response();
        self.last_response.set(Some(LastResponse { received_at: now, response_time, version }));
        if self.condition.get() == Condition::Silent {
            log::write(format_args!(
                "endpoint list: discovery responds again after {} ms",
                silent_for.as_millis()
            ));
            self.enter(Condition::Responsive);
        }
        if response_time > timeout {
            self.last_late_at.set(now);
            self.record_late_response(response_time);
        } else if now >= self.last_late_at.get() + RECOVERED_AFTER {
            self.record_recovery();
        }
    }

    /// Records that a poll has timed out.
    pub(super) fn record_timeout(&self) {
        self.last_late_at.set(Instant::now());
        if self.condition.get() != Condition::Silent && self.since_last_response() >= SILENT_AFTER {
            self.enter_since(Condition::Silent, self.last_response_at());
            log::write(format_args!("endpoint list: {self}"));
        }
    }

    fn record_late_response(&self, response_time: Duration) {
        if self.condition.get() == Condition::Responsive {
            self.enter(Condition::Slow);
            let late_ms = response_time.as_millis();
            log::write(format_args!("endpoint list: discovery is slow: a response was {late_ms} ms late"));
        }
    }

    fn record_recovery(&self) {
        if self.condition.get() == Condition::Slow {
            let slow_ms = self.condition_since.get().elapsed().as_millis();
            log::write(format_args!("endpoint list: discovery is no longer slow, after {slow_ms} ms"));
            self.enter(Condition::Responsive);
        }
    }

    fn enter(&self, condition: Condition) {
        self.enter_since(condition, Instant::now());
    }

    fn enter_since(&self, condition: Condition, since: Instant) {
        self.condition.set(condition);
        self.condition_since.set(since);
    }

    fn since_last_response(&self) -> Duration {
        self.last_response_at().elapsed()
    }

    /// When the last response was received; before the first one, when the watch began.
    fn last_response_at(&self) -> Instant {
        self.last_response.get().map_or(self.started_at, |response| response.received_at)
    }
}

impl fmt::Display for DiscoveryStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.last_response.get() {
            Some(LastResponse { received_at, response_time, version }) => {
                let age_ms = received_at.elapsed().as_millis();
                let late_ms = response_time.as_millis();
                write!(f, "version {version}, last response {age_ms} ms ago, {late_ms} ms late")?;
            }
            None => {
                let age_ms = self.started_at.elapsed().as_millis();
                write!(f, "from the configuration, no response in {age_ms} ms")?;
            }
        }
        let condition = self.condition.get().name();
        let condition_ms = self.condition_since.get().elapsed().as_millis();
        write!(f, "; discovery is {condition} for {condition_ms} ms")
    }
}
