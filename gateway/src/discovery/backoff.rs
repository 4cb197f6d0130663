//! How long calls to discovery may take and how far they are apart, after any mix of failures.

use std::time::Duration;

/// A connection to discovery comes up within this or has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Between calls after a failure: a watch lasts as long as the next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest limit of a call that does not wait, however often answers came too late.
const LONGEST_CALL: Duration = Duration::from_millis(1400);
/// An answer that has begun is whole within this share of the limit. Less than all of it, so that an answer that is
/// merely long is told from none.
const WHOLE_SHARE: f64 = 0.8;

/// Capped exponential backoff with jitter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// The pause after the first failure, without jitter.
    pub first: Duration,
    /// No pause is longer.
    pub cap: Duration,
}

impl Backoff {
    /// The pause after so many failures in a row: doubled with each up to the cap, and from the second on between a
    /// half and all of that, as `chance` from 0 to 1 says, so that gateways that failed together do not come again
    /// together.
    pub fn pause(&self, failures: u32, chance: f64) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let longest = self.first.saturating_mul(1 << doublings).min(self.cap.max(self.first));
        if doublings == 0 { self.first } else { longest.mul_f64(0.5 + 0.5 * chance) }
    }
}

/// How often discovery is asked, and how long an answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// How long one call of the watch may wait for news. Guards drains against answers that never come: a call that
    /// is lost looks like one without news until its wait is over.
    pub wait: Duration,
    /// A call that is silent for this much longer has been lost.
    pub patience: Duration,
    /// Silence in a row doubles the patience up to this.
    pub longest_silence: Duration,
    /// The pauses between calls that are turned away. Guards discovery against the fleet: when most gateways come
    /// back at once it turns them away, and calls at a fixed pace from hundreds of them keep it too busy to answer
    /// any. Who is silent is kept busy by nobody: there the pause stays the first.
    pub backoff: Backoff,
}

impl Pace {
    /// Where lists must be asked for, all gateways ask one service, and what it has counts as told 6 s after it
    /// could be reached. What may be out or awaited by then, one more failure of any kind and the call that is
    /// answered fit into that, with some time to spare for a gateway short of processor time. A discovery that is
    /// merely slow is waited for longer from call to call: else its answers would never be heard.
    pub const ASKING: Self = Self {
        wait: Duration::from_secs(1),
        patience: Duration::from_millis(500),
        longest_silence: LONGEST_CALL,
        backoff: Backoff { first: PAUSE, cap: Duration::from_millis(1500) },
    };

    /// Where lists are pushed, an agent beside each gateway answers at once and at no cost, and what it has counts
    /// as told whether or not a call is out. So the worst there is, a call lost when the agent fell silent and found
    /// out only after it came back, a pause, and one call that is answered, fits into the drains' grace.
    pub fn of(pushed: bool, drain_grace: Duration) -> Self {
        if !pushed || drain_grace.is_zero() {
            return Self::ASKING;
        }
        let patience = Self::ASKING.patience.min(drain_grace / 4);
        Self {
            wait: Self::ASKING.wait.min(drain_grace / 3),
            patience,
            longest_silence: patience,
            backoff: Backoff { first: PAUSE, cap: Self::ASKING.backoff.cap.min(drain_grace / 4) },
        }
    }
}

/// How a call failed, as far as the next one depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection did not come up or broke.
    Lost,
    /// Nothing came in time.
    Silent,
    /// An answer began in time but was not whole in time.
    Unfinished,
    /// Discovery is there, but does not give the list, or none that can be read.
    TurnedAway,
}

/// Where the calls stand after the failures so far.
#[derive(Clone, Debug)]
pub struct Retry {
    pace: Pace,
    turned_away: u32,
    limit: Duration,
}

impl Retry {
    /// No failures yet.
    pub fn new(pace: Pace) -> Self {
        Self { pace, turned_away: 0, limit: pace.patience }
    }

    /// How long a call that may wait for `wait` takes at most, its answer included.
    pub fn limit(&self, wait: Duration) -> Duration {
        wait + self.limit
    }

    /// How long an answer takes at most once it has begun.
    pub fn whole(&self) -> Duration {
        self.limit.mul_f64(WHOLE_SHARE)
    }

    /// Notes a list that was read.
    pub fn answered(&mut self) {
        *self = Self::new(self.pace);
    }

    /// Notes a failure; tells the pause before the next connection. `chance` is from 0 to 1.
    pub fn failed(&mut self, failure: Failure, chance: f64) -> Duration {
        self.turned_away = if failure == Failure::TurnedAway { self.turned_away + 1 } else { 0 };
        // Whoever turns calls away answers in time. So the longest limits and the longest pauses never come
        // together.
        self.limit = match failure {
            Failure::Lost => self.limit,
            Failure::Silent => (self.limit * 2).min(self.pace.longest_silence),
            Failure::Unfinished => (self.limit * 2).min(LONGEST_CALL),
            Failure::TurnedAway => self.pace.patience,
        };
        self.pace.backoff.pause(self.turned_away, chance)
    }
}
