//! The timeouts of polls to discovery and the backoff between them.
//!
//! Together they bound how late a gateway learns of a change after any sequence of failures.

use std::time::Duration;

/// The timeout for connecting to discovery.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay after a failure. It is below the 200 ms for which discovery keeps a watch open between two
/// polls.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The maximum response timeout, however many responses were late.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// The fraction of the response timeout that a response may take to complete once it has begun. It is below
/// 1, so that a slow response can be told from no response.
const COMPLETION_FRACTION: f64 = 0.8;

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
    /// How long after its wait a poll without a response times out.
    pub response_timeout: Duration,
    /// The maximum response timeout. The timeout doubles with each consecutive poll without a response.
    pub max_response_timeout: Duration,
    /// The backoff after rejected polls. Discovery rejects polls when many gateways reconnect at once, and
    /// retries of hundreds of gateways at a fixed interval would keep it overloaded. After other failures the
    /// delay stays at the initial one, as polls to a service that does not respond put no load on it.
    pub backoff: ExponentialBackoff,
}

impl PollTiming {
    /// The timing for a shared service. A gateway must learn of a change within 6 s of when the service
    /// becomes reachable. This leaves time for the poll or delay in progress at that moment, one more
    /// failure of any kind, and a successful poll, with a margin for a gateway that gets little CPU time.
    /// The response timeout grows with each late response, as otherwise every response of a slow service
    /// would come too late.
    pub const SHARED_SERVICE: Self = Self {
        max_wait: Duration::from_secs(1),
        response_timeout: Duration::from_millis(500),
        max_response_timeout: MAX_RESPONSE_TIMEOUT,
        backoff: ExponentialBackoff { initial: RECONNECT_DELAY, max: Duration::from_millis(1500) },
    };

    /// Returns the timing for a kind of service. A local agent responds at once, and the gateway must learn
    /// of its changes within the drain grace period, whether or not a poll is in progress when they occur.
    /// The period leaves time for a poll that was lost when the agent stopped responding and times out only
    /// after the agent has recovered, a delay, and a successful poll.
    pub fn new(service: DiscoveryService, drain_grace: Duration) -> Self {
        let shared = Self::SHARED_SERVICE;
        if service == DiscoveryService::Shared || drain_grace.is_zero() {
            return shared;
        }
        let response_timeout = shared.response_timeout.min(drain_grace / 4);
        Self {
            max_wait: shared.max_wait.min(drain_grace / 3),
            response_timeout,
            max_response_timeout: response_timeout,
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
    /// No response was received in time.
    NoResponse,
    /// A response began in time but did not complete in time.
    Incomplete,
    /// The response was an error status or an invalid list.
    Rejected,
}

/// Adapts the timeout of polls and the delay between them to the failures since the last success.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    timing: PollTiming,
    consecutive_rejections: u32,
    response_timeout: Duration,
}

impl PollBackoff {
    /// Creates the state before any failure.
    pub fn new(timing: PollTiming) -> Self {
        Self { timing, consecutive_rejections: 0, response_timeout: timing.response_timeout }
    }

    /// Returns how long after its start a poll that waits up to `wait` for changes times out.
    pub fn poll_timeout(&self, wait: Duration) -> Duration {
        wait + self.response_timeout
    }

    /// Returns how long a response may take to complete once it has begun.
    pub fn completion_timeout(&self) -> Duration {
        self.response_timeout.mul_f64(COMPLETION_FRACTION)
    }

    /// Records that a list was received.
    pub fn record_success(&mut self) {
        *self = Self::new(self.timing);
    }

    /// Records a failure and returns the delay before the next connection. `jitter` is between 0 and 1.
    pub fn record_failure(&mut self, failure: PollFailure, jitter: f64) -> Duration {
        self.consecutive_rejections = match failure {
            PollFailure::Rejected => self.consecutive_rejections + 1,
            _ => 0,
        };
        // A service that rejects polls does respond, so a rejection resets the timeout. The longest timeout
        // and the longest delay therefore never add up.
        self.response_timeout = match failure {
            PollFailure::ConnectionLost => self.response_timeout,
            PollFailure::NoResponse => (self.response_timeout * 2).min(self.timing.max_response_timeout),
            PollFailure::Incomplete => (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT),
            PollFailure::Rejected => self.timing.response_timeout,
        };
        self.timing.backoff.delay(self.consecutive_rejections, jitter)
    }
}
