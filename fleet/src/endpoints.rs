//! The model of the endpoints: their cores, queues and slow start, and the attempts sent to each.

use crate::experiment::{self, Class};
use crate::list_format::ListEntry;
use crate::time::{self, Micros};
use ryefront_policy::EndpointState;
use std::collections::VecDeque;

/// An attempt that has reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    /// The request ID.
    pub(crate) id: u64,
    /// The index of the attempt within its request, starting at 0.
    pub(crate) attempt: u32,
    pub(crate) gateway: u32,
    /// The service time at speed 1, in µs.
    pub(crate) work: f64,
}

/// A job that an endpoint has started to process.
pub(crate) struct StartedJob {
    pub(crate) job: Job,
    pub(crate) service_time: Micros,
}

/// How an endpoint responds to the arrival of a job.
pub(crate) enum Acceptance {
    /// A core is free, and processing starts immediately.
    Started { service_time: Micros },
    /// All cores are busy, and the job waits in the queue.
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
    /// `None` if the endpoint was already running at the start of the simulation.
    started_at: Option<Micros>,
    busy_cores: u32,
    queue: VecDeque<Job>,
    attempts: u64,
    /// A bit set of the gateways that sent at least one attempt to the endpoint, by gateway index.
    sender_bits: Vec<u64>,
    /// During slow start, the times of the attempts within the overload window.
    recent_attempts: VecDeque<Micros>,
}

impl Endpoint {
    /// The endpoint's zone. Zones are numbered across all regions.
    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn state(&self) -> EndpointState {
        self.state
    }

    pub(crate) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// The number of attempts sent to the endpoint.
    pub(crate) fn attempts(&self) -> u64 {
        self.attempts
    }

    /// The number of gateways that sent at least one attempt to the endpoint.
    pub(crate) fn sender_count(&self) -> u32 {
        self.sender_bits.iter().map(|bits| bits.count_ones()).sum()
    }

    /// Whether the endpoint has been ready since the start of the simulation.
    pub(crate) fn was_always_ready(&self) -> bool {
        self.state == EndpointState::Ready && self.started_at.is_none()
    }
}

/// Attempts sent to endpoints in slow start, and the overload window with the highest ratio to its budget.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStartStatistics {
    /// The number of endpoints that started during the simulation.
    pub(crate) starts: u64,
    /// The number of attempts sent to them during slow start.
    pub(crate) attempts: u64,
    /// The highest ratio of attempts to budget within an overload window.
    pub(crate) worst_ratio: f64,
    /// The attempts in the window with the highest ratio.
    pub(crate) worst_attempts: u64,
    /// The budget of the window with the highest ratio.
    pub(crate) worst_budget: f64,
}

/// All endpoints of the fleet, including removed ones.
pub(crate) struct Endpoints {
    endpoints: Vec<Endpoint>,
    settings: experiment::Endpoints,
    /// The mean service time of a request at speed 1, in µs.
    mean_work: f64,
    gateway_count: u32,
    slow_start: SlowStartStatistics,
}

impl Endpoints {
    pub(crate) fn new(settings: &experiment::Endpoints, classes: &[Class], gateway_count: u32) -> Self {
        let weights: f64 = classes.iter().map(|class| class.request_weight).sum();
        let work: f64 = classes.iter().map(|class| class.request_weight * class.mean_work_ms * 1000.0).sum();
        Self {
            endpoints: Vec::new(),
            settings: settings.clone(),
            mean_work: work / weights,
            gateway_count,
            slow_start: SlowStartStatistics::default(),
        }
    }

    /// Adds an endpoint and returns its number.
    pub(crate) fn add(&mut self, zone: u32, cell: u64, speed: f64, started_at: Option<Micros>) -> u32 {
        self.slow_start.starts += u64::from(started_at.is_some());
        self.endpoints.push(Endpoint {
            zone,
            cell,
            state: EndpointState::Ready,
            speed,
            started_at,
            busy_cores: 0,
            queue: VecDeque::new(),
            attempts: 0,
            sender_bits: vec![0; self.gateway_count.div_ceil(u64::BITS) as usize],
            recent_attempts: VecDeque::new(),
        });
        self.endpoints.len() as u32 - 1
    }

    /// Adds an endpoint in the same zone and cell as the one it replaces.
    pub(crate) fn add_successor(&mut self, replaced: u32, speed: f64, now: Micros) -> u32 {
        let Endpoint { zone, cell, .. } = self.endpoints[replaced as usize];
        self.add(zone, cell, speed, Some(now))
    }

    pub(crate) fn get(&self, endpoint: u32) -> &Endpoint {
        &self.endpoints[endpoint as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> + Clone {
        self.endpoints.iter()
    }

    pub(crate) fn count(&self) -> usize {
        self.endpoints.len()
    }

    pub(crate) fn slow_start(&self) -> SlowStartStatistics {
        self.slow_start
    }

    /// Changes the state of an endpoint and returns its new entry for the endpoint list.
    pub(crate) fn set_state(&mut self, endpoint: u32, state: EndpointState) -> ListEntry {
        self.endpoints[endpoint as usize].state = state;
        self.list_entry(endpoint)
    }

    /// The current entry of an endpoint for the endpoint list.
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

    /// The requests per second that all ready endpoints together can process after slow start.
    pub(crate) fn capacity(&self) -> f64 {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Ready);
        let speed: f64 = ready.map(|endpoint| endpoint.speed).sum();
        speed * f64::from(self.settings.cores) / self.mean_work * 1e6
    }

    /// The fraction of its full capacity that an endpoint has, which rises linearly during slow start.
    fn capacity_fraction(&self, endpoint: u32, now: Micros) -> f64 {
        let Some(started_at) = self.get(endpoint).started_at else { return 1.0 };
        let settings = &self.settings;
        let slow_start_progress =
            (now.saturating_sub(started_at) as f64 / (settings.slow_start_s * 1e6)).min(1.0);
        settings.slow_start_initial_fraction
            + (1.0 - settings.slow_start_initial_fraction) * slow_start_progress
    }

    /// Records an attempt that a gateway sends to an endpoint.
    pub(crate) fn record_attempt(&mut self, number: u32, gateway: u32, now: Micros) {
        let capacity_fraction = self.capacity_fraction(number, now);
        let endpoint = &mut self.endpoints[number as usize];
        endpoint.attempts += 1;
        endpoint.sender_bits[(gateway / u64::BITS) as usize] |= 1 << (gateway % u64::BITS);
        if capacity_fraction >= 1.0 {
            endpoint.recent_attempts.clear();
        } else {
            self.record_slow_start_attempt(number, capacity_fraction, now);
        }
    }

    /// Compares the attempts of all gateways within the overload window with the budget that is defined at
    /// [`SlowStartLoad`](crate::report::SlowStartLoad).
    fn record_slow_start_attempt(&mut self, number: u32, capacity_fraction: f64, now: Micros) {
        let settings = &self.settings;
        let endpoint = &mut self.endpoints[number as usize];
        let window = time::from_s(settings.overload_window_s);
        endpoint.recent_attempts.push_back(now);
        while endpoint.recent_attempts.front().is_some_and(|at| at + window <= now) {
            endpoint.recent_attempts.pop_front();
        }
        let requests_per_s =
            f64::from(settings.cores) * endpoint.speed * capacity_fraction / self.mean_work * 1e6;
        let max_mean_attempts = settings.overload_factor * requests_per_s * settings.overload_window_s;
        let budget = max_mean_attempts + 2.0 * max_mean_attempts.sqrt() + 2.0;
        let attempts = endpoint.recent_attempts.len() as u64;
        let ratio = attempts as f64 / budget;
        self.slow_start.attempts += 1;
        if ratio > self.slow_start.worst_ratio {
            self.slow_start.worst_ratio = ratio;
            self.slow_start.worst_attempts = attempts;
            self.slow_start.worst_budget = budget;
        }
    }

    /// Starts, queues or rejects an arriving job.
    pub(crate) fn accept(&mut self, number: u32, job: Job, now: Micros) -> Acceptance {
        let endpoint = &mut self.endpoints[number as usize];
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

    /// Starts the next queued job on the core of a finished one, or frees the core if there is none. Drops
    /// jobs whose gateway no longer waits for the response.
    pub(crate) fn start_next(
        &mut self, number: u32, now: Micros, is_awaited: impl Fn(&Job) -> bool,
    ) -> Option<StartedJob> {
        while let Some(job) = self.endpoints[number as usize].queue.pop_front() {
            if is_awaited(&job) {
                return Some(StartedJob { job, service_time: self.service_time(number, job, now) });
            }
        }
        self.endpoints[number as usize].busy_cores -= 1;
        None
    }

    fn service_time(&self, number: u32, job: Job, now: Micros) -> Micros {
        (job.work / (self.get(number).speed * self.capacity_fraction(number, now))).ceil() as Micros
    }
}
