//! The timing of polls to discovery: when another poll is sent, when one is given up, and the backoff.
//!
//! A poll that is late is not given up when the next one is sent: the service may be slow, or the poll may be
//! lost. Together the times below bound how late a gateway learns of a change, whichever it is:
//!
//! - Lost polls: another poll begins [`PollBackoff::poll_timeout`] and a delay after the last one.
//! - Slow responses: a change is in the response to the first poll that begins after it, if not in an earlier
//!   one. That poll begins at most [`MAX_RESPONSE_TIMEOUT`] and [`RECONNECT_DELAY`] after the wait of the last
//!   one, or later where responses take so little time that it is known within [`TARGET_PROPAGATION_TIME`] all
//!   the same. So it is as long as responses take up to 3.9 s, and up to 1.5 s after a slower response.
//!   Responses that take longer than [`MAX_RESPONSE_TIME`] are not received.

use std::time::Duration;

/// How long after discovery had a change it is to be known. Leaves 0.6 s of the 6 s that are allowed to a
/// gateway that gets little CPU time.
pub const TARGET_PROPAGATION_TIME: Duration = Duration::from_millis(5400);
/// How long the response to a poll is awaited after its wait, while no other response is received either.
pub const MAX_RESPONSE_TIME: Duration = Duration::from_secs(8);
/// The maximum number of polls without a response. Each has a connection.
pub const MAX_OUTSTANDING_POLLS: usize = 6;
/// The delay after a failure. It is below the 200 ms for which discovery keeps a watch open between two
/// polls.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The maximum response timeout, however slow the service is.
pub const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// The response timeout as a multiple of the time that the last response took. It is above 1, so that a
/// service whose responses take equally long is not sent a second poll each time.
const RESPONSE_TIME_MULTIPLE: f64 = 1.25;
/// The response timeout of a silent local agent, as a fraction of what the drain grace period leaves for it.
const SILENCE_TIMEOUT_FRACTION: f64 = 0.8;

/// Capped exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    /// The delay after the first failure. It has no jitter.
    pub initial: Duration,
    /// The maximum delay.
    pub max: Duration,
}

impl ExponentialBackoff {
    /// Returns the delay after this many consecutive failures. It doubles with each failure up to the
    /// maximum. From the second failure on, `jitter` (0 to 1) scales it from half to all, so that gateways
    /// that failed together do not retry together.
    pub fn delay(&self, failures: u32, jitter: f64) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let longest = self.initial.saturating_mul(1 << doublings).min(self.max.max(self.initial));
        if doublings == 0 { self.initial } else { longest.mul_f64(0.5 + 0.5 * jitter) }
    }
}

/// The kind of service that responds to the polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryService {
    /// A central service that all gateways poll.
    Shared,
    /// An agent on the gateway's machine, to which changes are pushed.
    LocalAgent,
}

/// The timing of the polls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// How long a poll may wait for changes. This bounds how long a lost poll goes undetected, as until the
    /// end of its wait it cannot be told from a poll without changes.
    pub max_wait: Duration,
    /// The response timeout of a service that is not slow: how long after its wait a poll may go without a
    /// response before another one is sent beside it.
    pub response_timeout: Duration,
    /// The response timeout of a service that may have stopped, as it does not respond to any poll.
    pub silence_timeout: Duration,
    /// The backoff after rejected polls. Discovery rejects polls when many gateways reconnect at once, and
    /// retries of hundreds of gateways at a fixed interval would keep it overloaded. After other failures the
    /// delay stays at the initial one, as polls to a service that does not respond put no load on it.
    pub backoff: ExponentialBackoff,
}

impl PollTiming {
    /// The timing for a shared service. A gateway must learn of a change within 6 s of when the service
    /// becomes reachable. This leaves time for the poll or delay in progress at that moment, one more
    /// failure of any kind, and a successful poll, with a margin for a gateway that gets little CPU time.
    pub const SHARED_SERVICE: Self = Self {
        max_wait: Duration::from_secs(1),
        response_timeout: Duration::from_millis(500),
        silence_timeout: MAX_RESPONSE_TIMEOUT,
        backoff: ExponentialBackoff { initial: RECONNECT_DELAY, max: Duration::from_millis(1500) },
    };

    /// Returns the timing for a kind of service. A gateway must learn of the changes of a local agent within
    /// the drain grace period, whether or not a poll is in progress when they occur. The period leaves time
    /// for a poll that was lost when the agent stopped responding and times out only after the agent has
    /// recovered, a delay, and a successful poll.
    pub fn new(service: DiscoveryService, drain_grace: Duration) -> Self {
        let shared = Self::SHARED_SERVICE;
        if service == DiscoveryService::Shared || drain_grace.is_zero() {
            return shared;
        }
        let max_wait = shared.max_wait.min(drain_grace / 3);
        let response_timeout = shared.response_timeout.min(drain_grace / 4);
        let longest_timeout = drain_grace.saturating_sub(max_wait + RECONNECT_DELAY);
        let silence_timeout = longest_timeout.mul_f64(SILENCE_TIMEOUT_FRACTION);
        Self {
            max_wait,
            response_timeout,
            silence_timeout: silence_timeout.clamp(response_timeout, shared.silence_timeout),
            backoff: ExponentialBackoff {
                initial: RECONNECT_DELAY,
                max: shared.backoff.max.min(drain_grace / 4),
            },
        }
    }
}

/// How a poll failed. The timeout of the next poll and the delay before it depend on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection was not established, or broke.
    ConnectionLost,
    /// No complete response was received within the response timeout. It may still arrive.
    NoResponse,
    /// The response was an error status or an invalid list.
    Rejected,
}

/// Adapts the timeout of polls and the delay between them to the responses and failures so far.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    timing: PollTiming,
    consecutive_rejections: u32,
    response_timeout: Duration,
    /// The shortest time that a response took since polls were last all answered.
    shortest_response_time: Option<Duration>,
}

impl PollBackoff {
    /// Creates the state before any response or failure.
    pub fn new(timing: PollTiming) -> Self {
        Self {
            timing,
            consecutive_rejections: 0,
            response_timeout: timing.response_timeout,
            shortest_response_time: None,
        }
    }

    /// Returns how long after its start a poll that waits up to `wait` for changes times out: another one is
    /// then due, after a delay.
    pub fn poll_timeout(&self, wait: Duration) -> Duration {
        wait + self.response_timeout
    }

    /// Returns how long after the end of its wait the last poll times out at the latest, although responses to
    /// earlier polls are received meanwhile.
    ///
    /// A service that works on one poll after another needs the time to catch up. The shortest response time is
    /// that of a poll with few others before it.
    pub fn max_poll_timeout(&self) -> Duration {
        let response_time = self.shortest_response_time.unwrap_or_default();
        let begins_before = TARGET_PROPAGATION_TIME.saturating_sub(response_time + RECONNECT_DELAY);
        begins_before.max(MAX_RESPONSE_TIMEOUT)
    }

    /// Records that every poll has been answered.
    pub fn record_all_answered(&mut self) {
        self.shortest_response_time = None;
    }

    /// Records that a list was received this long after the end of the poll's wait.
    ///
    /// The timeout follows the time that responses take. A slow service is therefore not sent further polls
    /// while it works on one, which would make one that handles them one by one slower.
    pub fn record_response(&mut self, response_time: Duration) {
        self.consecutive_rejections = 0;
        let shortest =
            self.shortest_response_time.map_or(response_time, |shortest| shortest.min(response_time));
        self.shortest_response_time = Some(shortest);
        let timeout = response_time.mul_f64(RESPONSE_TIME_MULTIPLE);
        self.response_timeout = timeout.clamp(self.timing.response_timeout, MAX_RESPONSE_TIMEOUT);
    }

    /// Records a failure and returns the delay before the next poll. `jitter` is between 0 and 1.
    pub fn record_failure(&mut self, failure: PollFailure, jitter: f64) -> Duration {
        self.consecutive_rejections = match failure {
            PollFailure::Rejected => self.consecutive_rejections + 1,
            _ => 0,
        };
        // A service that rejects polls does respond, so a rejection resets the timeout. The longest timeout
        // and the longest delay therefore never add up.
        self.response_timeout = match failure {
            PollFailure::ConnectionLost => self.response_timeout,
            PollFailure::NoResponse => self.timeout_after_no_response(),
            PollFailure::Rejected => self.timing.response_timeout,
        };
        self.timing.backoff.delay(self.consecutive_rejections, jitter)
    }

    /// Changes the timeout in steps to that of a silent service.
    fn timeout_after_no_response(&self) -> Duration {
        let silence_timeout = self.timing.silence_timeout;
        if self.response_timeout < silence_timeout {
            (self.response_timeout * 2).min(silence_timeout)
        } else {
            (self.response_timeout / 2).max(silence_timeout)
        }
    }
}
