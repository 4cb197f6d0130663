//! Pick servers: cores, queues, cold starts, and what each was sent, held against the rule of cold servers.

use crate::experiment::{self, Class};
use std::collections::VecDeque;

/// Work that has reached a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    pub(crate) attempt: u32,
    pub(crate) gateway: u32,
    /// Work at speed 1, µs.
    pub(crate) work: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Life {
    Ready,
    /// Since then, µs.
    Draining(u64),
    /// Takes nothing more; what it has is finished.
    Gone,
}

pub(crate) struct Server {
    /// Counted over all regions.
    pub(crate) zone: u32,
    pub(crate) cell: u64,
    pub(crate) life: Life,
    speed: f64,
    /// When it started, µs; none for long ago.
    pub(crate) started: Option<u64>,
    busy: u32,
    pub(crate) queue: VecDeque<Job>,
    pub(crate) sends: u64,
    /// One bit for each gateway that ever sent to it.
    senders: Vec<u64>,
    /// Sends of the last while, for a server that is cold.
    recent: VecDeque<u64>,
}

impl Server {
    /// How many gateways ever sent to it.
    pub(crate) fn gateways(&self) -> u32 {
        self.senders.iter().map(|w| w.count_ones()).sum()
    }

    /// Whether its figures speak of the whole run.
    pub(crate) fn stayed(&self) -> bool {
        self.life == Life::Ready && self.started.is_none()
    }
}

/// The worst that was seen of the rule of cold servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cold {
    pub(crate) starts: u64,
    pub(crate) sends: u64,
    pub(crate) ratio: f64,
    pub(crate) sent: u64,
    pub(crate) allowed: f64,
}

pub(crate) struct Servers {
    pub(crate) all: Vec<Server>,
    plan: experiment::Servers,
    /// Mean work of a request, µs.
    mean_work: f64,
    words: usize,
    pub(crate) cold: Cold,
}

impl Servers {
    pub(crate) fn new(plan: &experiment::Servers, classes: &[Class], gateways: u32) -> Self {
        let shares: f64 = classes.iter().map(|c| c.share).sum();
        let work: f64 = classes.iter().map(|c| c.share * c.work_ms * 1000.0).sum();
        let words = gateways.div_ceil(64) as usize;
        Self { all: Vec::new(), plan: plan.clone(), mean_work: work / shares, words, cold: Cold::default() }
    }

    /// One more server; tells its number.
    pub(crate) fn add(&mut self, zone: u32, cell: u64, speed: f64, started: Option<u64>) -> u32 {
        self.cold.starts += u64::from(started.is_some());
        self.all.push(Server {
            zone,
            cell,
            life: Life::Ready,
            speed,
            started,
            busy: 0,
            queue: VecDeque::new(),
            sends: 0,
            senders: vec![0; self.words],
            recent: VecDeque::new(),
        });
        self.all.len() as u32 - 1
    }

    /// The share of its capacity that a server has.
    fn warmth(&self, server: usize, now: u64) -> f64 {
        let Some(started) = self.all[server].started else { return 1.0 };
        let age = (now.saturating_sub(started) as f64 / (self.plan.cold_s * 1e6)).min(1.0);
        self.plan.cold_share + (1.0 - self.plan.cold_share) * age
    }

    /// Requests a second that all servers that run can do when warm.
    pub(crate) fn capacity(&self) -> f64 {
        let speeds = self.all.iter().filter(|s| s.life == Life::Ready).map(|s| s.speed);
        speeds.sum::<f64>() * f64::from(self.plan.cores) / self.mean_work * 1e6
    }

    /// Notes a send and, for a cold server, holds what all gateways sent within the time over which that is
    /// judged against what it may be sent: N + 2 x root of N + 2, with N its present capacity over that time
    /// multiplied by what fells it. Chance alone passes N itself.
    pub(crate) fn sent(&mut self, server: usize, gateway: u32, now: u64) {
        let warmth = self.warmth(server, now);
        let plan = &self.plan;
        let sent = &mut self.all[server];
        sent.sends += 1;
        sent.senders[gateway as usize / 64] |= 1 << (gateway % 64);
        if warmth >= 1.0 {
            return sent.recent.clear();
        }
        let window = (plan.fall_s * 1e6) as u64;
        sent.recent.push_back(now);
        while sent.recent.front().is_some_and(|at| at + window <= now) {
            sent.recent.pop_front();
        }
        let a_second = f64::from(plan.cores) * sent.speed * warmth / self.mean_work * 1e6;
        let mean = plan.fall_multiple * a_second * plan.fall_s;
        let allowed = mean + 2.0 * mean.sqrt() + 2.0;
        let (count, cold) = (sent.recent.len() as u64, &mut self.cold);
        cold.sends += 1;
        if count as f64 / allowed > cold.ratio {
            (cold.ratio, cold.sent, cold.allowed) = (count as f64 / allowed, count, allowed);
        }
    }

    /// A job comes in: how long it takes if it begins at once, µs; `Ok(None)` if it waits, an error if the queue
    /// is full.
    pub(crate) fn take(&mut self, server: usize, job: Job, now: u64) -> Result<Option<u64>, ()> {
        let (cores, most) = (self.plan.cores, self.plan.queue as usize);
        let taking = &mut self.all[server];
        if taking.busy < cores {
            taking.busy += 1;
            return Ok(Some(self.duration(server, job, now)));
        }
        if taking.queue.len() >= most {
            return Err(());
        }
        taking.queue.push_back(job);
        Ok(None)
    }

    /// A core is free: the next job for which someone still waits and how long it takes, µs.
    pub(crate) fn freed(
        &mut self, server: usize, now: u64, wanted: impl Fn(&Job) -> bool,
    ) -> Option<(Job, u64)> {
        while let Some(job) = self.all[server].queue.pop_front() {
            if wanted(&job) {
                return Some((job, self.duration(server, job, now)));
            }
        }
        self.all[server].busy -= 1;
        None
    }

    fn duration(&self, server: usize, job: Job, now: u64) -> u64 {
        (job.work / (self.all[server].speed * self.warmth(server, now))).ceil() as u64
    }
}
