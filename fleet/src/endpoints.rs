//! Endpoints: cores, queues, slow start, and what each was sent while it was warming up.

use crate::experiment::{self, Class};
use crate::list_format::ListEntry;
use crate::time::{self, Micros};
use ryefront_policy::EndpointState;
use std::collections::VecDeque;

/// An attempt that has reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// The request.
    pub(crate) id: u64,
    /// The number of the attempt.
    pub(crate) attempt: u32,
    pub(crate) gateway: u32,
    /// Work at speed 1, µs.
    pub(crate) work: f64,
}

/// A job that an endpoint has started.
pub(crate) struct StartedJob {
    pub(crate) job: Job,
    pub(crate) service_time: Micros,
}

/// What an endpoint does with a job.
pub(crate) enum Acceptance {
    /// It starts at once.
    Started {
        service_time: Micros,
    },
    Queued,
    /// The queue is full.
    Rejected,
}

/// One endpoint.
pub(crate) struct Endpoint {
    zone: u32,
    cell: u64,
    /// A removed endpoint finishes its jobs and accepts no new ones.
    state: EndpointState,
    speed: f64,
    /// `None` if it ran before the simulation began.
    started_at: Option<Micros>,
    busy_cores: u32,
    queue: VecDeque<Job>,
    attempts: u64,
    /// One bit for each gateway that ever sent to it.
    senders: Vec<u64>,
    /// Attempts within the overload window, while it is warming up.
    recent_attempts: VecDeque<Micros>,
}

impl Endpoint {
    /// Its zone, counted over all regions.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn state(&self) -> EndpointState {
        self.state
    }

    pub(crate) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Attempts that it was sent.
    pub(crate) fn attempts(&self) -> u64 {
        self.attempts
    }

    /// How many gateways ever sent to it.
    pub(crate) fn sender_count(&self) -> u32 {
        self.senders.iter().map(|bits| bits.count_ones()).sum()
    }

    /// Whether it was ready from the start of the simulation to its end.
    pub(crate) fn was_always_ready(&self) -> bool {
        self.state == EndpointState::Ready && self.started_at.is_none()
    }
}

/// Attempts sent to endpoints in slow start, and the highest of them relative to what is allowed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStartStatistics {
    /// Endpoints that started.
    pub(crate) starts: u64,
    /// Attempts sent to them during slow start.
    pub(crate) attempts: u64,
    /// The highest ratio of attempts to budget within an overload window ...
    pub(crate) worst_ratio: f64,
    /// ... its attempts ...
    pub(crate) worst_attempts: u64,
    /// ... and its budget.
    pub(crate) worst_budget: f64,
}

/// All endpoints, those that were removed included.
pub(crate) struct Endpoints {
    all: Vec<Endpoint>,
    settings: experiment::Endpoints,
    /// The mean work of a request, µs.
    mean_work: f64,
    gateway_count: u32,
    slow_start: SlowStartStatistics,
}

impl Endpoints {
    pub(crate) fn new(settings: &experiment::Endpoints, classes: &[Class], gateway_count: u32) -> Self {
        let weights: f64 = classes.iter().map(|class| class.request_weight).sum();
        let work: f64 = classes.iter().map(|class| class.request_weight * class.mean_work_ms * 1000.0).sum();
        Self {
            all: Vec::new(),
            settings: settings.clone(),
            mean_work: work / weights,
            gateway_count,
            slow_start: SlowStartStatistics::default(),
        }
    }

    /// Adds an endpoint and returns its number.
    pub(crate) fn add(&mut self, zone: u32, cell: u64, speed: f64, started_at: Option<Micros>) -> u32 {
        self.slow_start.starts += u64::from(started_at.is_some());
        self.all.push(Endpoint {
            zone,
            cell,
            state: EndpointState::Ready,
            speed,
            started_at,
            busy_cores: 0,
            queue: VecDeque::new(),
            attempts: 0,
            senders: vec![0; self.gateway_count.div_ceil(u64::BITS) as usize],
            recent_attempts: VecDeque::new(),
        });
        self.all.len() as u32 - 1
    }

    /// Adds an endpoint in the zone and the cell of another.
    pub(crate) fn add_successor(&mut self, replaced: u32, speed: f64, now: Micros) -> u32 {
        let Endpoint { zone, cell, .. } = self.all[replaced as usize];
        self.add(zone, cell, speed, Some(now))
    }

    pub(crate) fn get(&self, endpoint: u32) -> &Endpoint {
        &self.all[endpoint as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.all.iter()
    }

    pub(crate) fn count(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn slow_start(&self) -> SlowStartStatistics {
        self.slow_start
    }

    /// Changes the state of an endpoint and returns the change for the endpoint list.
    pub(crate) fn set_state(&mut self, endpoint: u32, state: EndpointState) -> ListEntry {
        self.all[endpoint as usize].state = state;
        self.list_entry(endpoint)
    }

    /// The entry of an endpoint in the endpoint list.
    pub(crate) fn list_entry(&self, number: u32) -> ListEntry {
        let endpoint = self.get(number);
        ListEntry {
            endpoint: number,
            zone: endpoint.zone,
            cell: endpoint.cell,
            state: endpoint.state,
            started_at: endpoint.started_at.map_or(0.0, time::wall_clock),
        }
    }

    /// Requests per second that all ready endpoints can process at full capacity.
    pub(crate) fn capacity(&self) -> f64 {
        let ready = self.all.iter().filter(|endpoint| endpoint.state == EndpointState::Ready);
        let speed: f64 = ready.map(|endpoint| endpoint.speed).sum();
        speed * f64::from(self.settings.cores) / self.mean_work * 1e6
    }

    /// The fraction of its capacity that an endpoint has.
    fn capacity_fraction(&self, endpoint: u32, now: Micros) -> f64 {
        let Some(started_at) = self.get(endpoint).started_at else { return 1.0 };
        let settings = &self.settings;
        let slow_start_progress =
            (now.saturating_sub(started_at) as f64 / (settings.slow_start_s * 1e6)).min(1.0);
        settings.slow_start_initial_fraction
            + (1.0 - settings.slow_start_initial_fraction) * slow_start_progress
    }

    /// Records that a gateway sends an attempt.
    pub(crate) fn record_attempt(&mut self, number: u32, gateway: u32, now: Micros) {
        let capacity_fraction = self.capacity_fraction(number, now);
        let endpoint = &mut self.all[number as usize];
        endpoint.attempts += 1;
        endpoint.senders[(gateway / u64::BITS) as usize] |= 1 << (gateway % u64::BITS);
        if capacity_fraction >= 1.0 {
            endpoint.recent_attempts.clear();
        } else {
            self.record_slow_start_attempt(number, capacity_fraction, now);
        }
    }

    /// Compares the attempts of all gateways within the overload window with their budget, which
    /// [`SlowStartLoad`](crate::report::SlowStartLoad) defines.
    fn record_slow_start_attempt(&mut self, number: u32, capacity_fraction: f64, now: Micros) {
        let settings = &self.settings;
        let endpoint = &mut self.all[number as usize];
        let window = time::from_s(settings.overload_window_s);
        endpoint.recent_attempts.push_back(now);
        while endpoint.recent_attempts.front().is_some_and(|at| at + window <= now) {
            endpoint.recent_attempts.pop_front();
        }
        let per_s = f64::from(settings.cores) * endpoint.speed * capacity_fraction / self.mean_work * 1e6;
        let mean = settings.overload_factor * per_s * settings.overload_window_s;
        let budget = mean + 2.0 * mean.sqrt() + 2.0;
        let attempts = endpoint.recent_attempts.len() as u64;
        let ratio = attempts as f64 / budget;
        self.slow_start.attempts += 1;
        if ratio > self.slow_start.worst_ratio {
            self.slow_start.worst_ratio = ratio;
            self.slow_start.worst_attempts = attempts;
            self.slow_start.worst_budget = budget;
        }
    }

    /// Starts, queues or rejects a job that has arrived.
    pub(crate) fn accept(&mut self, number: u32, job: Job, now: Micros) -> Acceptance {
        let endpoint = &mut self.all[number as usize];
        if endpoint.busy_cores < self.settings.cores {
            endpoint.busy_cores += 1;
            return Acceptance::Started { service_time: self.service_time(number, job, now) };
        }
        if endpoint.queue.len() >= self.settings.queue_capacity as usize {
            return Acceptance::Rejected;
        }
        endpoint.queue.push_back(job);
        Acceptance::Queued
    }

    /// Starts the next job whose gateway still waits, on the core of a finished job.
    pub(crate) fn start_next(
        &mut self, number: u32, now: Micros, still_wanted: impl Fn(&Job) -> bool,
    ) -> Option<StartedJob> {
        while let Some(job) = self.all[number as usize].queue.pop_front() {
            if still_wanted(&job) {
                return Some(StartedJob { job, service_time: self.service_time(number, job, now) });
            }
        }
        self.all[number as usize].busy_cores -= 1;
        None
    }

    fn service_time(&self, number: u32, job: Job, now: Micros) -> Micros {
        (job.work / (self.get(number).speed * self.capacity_fraction(number, now))).ceil() as Micros
    }
}
