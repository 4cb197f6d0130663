//! Timeouts of polls to discovery and the backoff between them.
//!
//! They bound how late a gateway is notified of a change after any sequence of failures.

use std::time::Duration;

/// The timeout of a connection attempt to discovery.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The delay after a failure. Below the 200 ms for which discovery keeps a watch open between two polls.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The longest timeout of a poll that does not wait for changes, however many responses were late.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1400);
/// A response that has begun is complete within this fraction of the response timeout. It is below 1, so that
/// a response that is too slow is distinguished from none.
const COMPLETION_FRACTION: f64 = 0.8;

/// Capped exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    /// The delay after the first failure, without jitter.
    pub initial: Duration,
    /// The longest delay.
    pub max: Duration,
}

impl ExponentialBackoff {
    /// The delay after a number of consecutive failures. It doubles with each up to the maximum. From the
    /// second failure on, `jitter` from 0 to 1 selects between half the delay and all of it, so that gateways
    /// that failed together do not retry together.
    pub fn delay(&self, failures: u32, jitter: f64) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let longest = self.initial.saturating_mul(1 << doublings).min(self.max.max(self.initial));
        if doublings == 0 { self.initial } else { longest.mul_f64(0.5 + 0.5 * jitter) }
    }
}

/// Who responds to the polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryService {
    /// One service that all gateways poll.
    Shared,
    /// An agent on the gateway's own machine, to which changes are pushed.
    LocalAgent,
}

/// The timing of the polls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PollTiming {
    /// How long one poll may wait for changes. It bounds how long the loss of a poll is unnoticed, as it
    /// looks like a poll without changes until its wait is over.
    pub max_wait: Duration,
    /// A poll without a response this long after its wait is lost.
    pub response_timeout: Duration,
    /// Consecutive polls without a response double the timeout up to this.
    pub max_response_timeout: Duration,
    /// The delay after polls that were rejected. When most gateways reconnect at once, discovery rejects
    /// them, and retries of hundreds of gateways at a fixed interval would keep it overloaded. After other
    /// failures the delay remains the initial one, as polls do not keep a service busy that does not respond.
    pub backoff: ExponentialBackoff,
}

impl PollTiming {
    /// The timing for a shared service. A change must be known within 6 s of when the service could be
    /// reached. A poll or delay in progress at that time, one more failure of any kind, and a successful poll
    /// fit into that, with a margin for a gateway short of CPU time. The timeout grows from poll to poll, as
    /// every response of a slow service would otherwise be too late.
    pub const SHARED_SERVICE: Self = Self {
        max_wait: Duration::from_secs(1),
        response_timeout: Duration::from_millis(500),
        max_response_timeout: MAX_RESPONSE_TIMEOUT,
        backoff: ExponentialBackoff { initial: RECONNECT_DELAY, max: Duration::from_millis(1500) },
    };

    /// The timing for a service. A local agent responds at once, and the gateway must know its changes
    /// whether or not a poll is in progress. So a poll that was lost when the agent stopped responding,
    /// noticed only after it recovered, a delay, and a successful poll fit into the drain grace period.
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

/// How a poll failed, as far as the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection was not established, or broke.
    ConnectionLost,
    /// No response began in time.
    NoResponse,
    /// A response began in time but was not complete in time.
    Incomplete,
    /// Discovery responded, but with no list or an invalid one.
    Rejected,
}

/// The timeout of the next poll and the delay before it, by the failures since the last success.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    timing: PollTiming,
    consecutive_rejections: u32,
    response_timeout: Duration,
}

impl PollBackoff {
    /// The state before any failure.
    pub fn new(timing: PollTiming) -> Self {
        Self { timing, consecutive_rejections: 0, response_timeout: timing.response_timeout }
    }

    /// The timeout of a poll that may wait for changes for `wait`, its response included.
    pub fn poll_timeout(&self, wait: Duration) -> Duration {
        wait + self.response_timeout
    }

    /// The timeout of a response once it has begun.
    pub fn completion_timeout(&self) -> Duration {
        self.response_timeout.mul_f64(COMPLETION_FRACTION)
    }

    /// Records a list that was received.
    pub fn record_success(&mut self) {
        *self = Self::new(self.timing);
    }

    /// Records a failure and returns the delay before the next connection. `jitter` is from 0 to 1.
    pub fn record_failure(&mut self, failure: PollFailure, jitter: f64) -> Duration {
        self.consecutive_rejections = match failure {
            PollFailure::Rejected => self.consecutive_rejections + 1,
            _ => 0,
        };
        // A service that rejects polls responds in time. So the longest timeouts and the longest delays never
        // add up.
        self.response_timeout = match failure {
            PollFailure::ConnectionLost => self.response_timeout,
            PollFailure::NoResponse => (self.response_timeout * 2).min(self.timing.max_response_timeout),
            PollFailure::Incomplete => (self.response_timeout * 2).min(MAX_RESPONSE_TIMEOUT),
            PollFailure::Rejected => self.timing.response_timeout,
        };
        self.timing.backoff.delay(self.consecutive_rejections, jitter)
    }
}
