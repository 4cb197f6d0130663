//! The shared counter: parts, each of which does one call after another at a fixed pace.

use crate::experiment;
use crate::random::Random;
use ryefront_policy::CounterResult;
use std::collections::HashMap;

/// Names that have run out are dropped after so many calls.
const TIDY: u64 = 100_000;
/// The process of a gateway gives up after so many of the settings' time-outs.
const PATIENCE: f64 = 4.0;

/// How a call went: its outcome and when the counter was done with it, µs.
pub(crate) struct Served {
    pub(crate) outcome: CounterResult,
    pub(crate) done: u64,
}

struct Count {
    total: f64,
    ends: u64,
}

/// The counter and what was asked of it.
pub(crate) struct Counter {
    counts: HashMap<u64, Count>,
    free_at: Vec<u64>,
    pace: u64,
    longest_wait: u64,
    /// A gateway gives a call up after this, µs.
    pub(crate) patience: u64,
    pub(crate) calls: u64,
    pub(crate) turned_away: u64,
    pub(crate) unanswered: u64,
}

impl Counter {
    /// A counter of which a share is played.
    pub(crate) fn new(plan: &experiment::Counter, share: f64) -> Self {
        let per_part = plan.per_s * share / f64::from(plan.parts);
        Self {
            counts: HashMap::new(),
            free_at: vec![0; plan.parts as usize],
            pace: (1e6 / per_part).round() as u64,
            longest_wait: (plan.longest_wait_ms * 1000.0) as u64,
            patience: (plan.timeout_ms * PATIENCE * 1000.0) as u64,
            calls: 0,
            turned_away: 0,
            unanswered: 0,
        }
    }

    /// A call reaches the counter: turned away if it would wait too long, else added in its turn.
    pub(crate) fn add(&mut self, now: u64, name: u64, amount: f64, keep: f64, random: &mut Random) -> Served {
        self.calls += 1;
        if self.calls.is_multiple_of(TIDY) {
            self.counts.retain(|_, count| count.ends > now);
        }
        let part = (name % self.free_at.len() as u64) as usize;
        let start = self.free_at[part].max(now);
        if start - now > self.longest_wait {
            self.turned_away += 1;
            return Served { outcome: CounterResult::NotAdded, done: now };
        }
        self.free_at[part] = start + self.pace;
        let count = self.counts.entry(name).or_insert(Count { total: 0.0, ends: 0 });
        if count.ends <= now {
            *count = Count { total: 0.0, ends: now + (keep * 1000.0) as u64 };
        }
        count.total += amount;
        // No call takes the same time as the one before.
        let done = start + (self.pace as f64 * random.exponential().min(8.0)) as u64;
        Served { outcome: CounterResult::Total(count.total), done }
    }
}
