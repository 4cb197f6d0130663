//! The event loop: a heap of what happens when, in virtual microseconds, and what each thing leads to. Things of the
//! same moment happen in the order in which they were planned.

use crate::clients::{Ask, Clients};
use crate::counter::Counter;
use crate::discovery::{Discovery, Row, server_of};
use crate::experiment::Experiment;
use crate::gateways::{self, Host};
use crate::random::Random;
use crate::report::{Reason, Report, Scaled, Tally};
use crate::servers::{Job, Life, Servers};
use ryefront_gateway::discovery::EndpointListError;
use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, EndpointState, Event, LoadReport, Millis, Name, Outcome,
    SettingsError,
};
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Where virtual time begins for gateways, ms: a start at 0 would stand for one long ago.
const EPOCH: Millis = 1e9;
/// Clients begin when all gateways have their list, µs.
const FIRST: u64 = 50_000;
/// Gateways start within this time, µs, so that they don't sweep in step.
const STARTS: u64 = 25_000;
/// How long after the last deadline a run may take to come to rest, µs.
const REST: u64 = 1_000_000;

/// An experiment that cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The decisions do not take the settings.
    #[error("the decisions do not take the experiment's settings: {0}")]
    Settings(#[from] SettingsError),
    /// The real parser does not take a list.
    #[error("the gateways' parser does not take the model's list: {0}")]
    List(#[from] EndpointListError),
}

/// Something that happens.
enum Happening {
    /// The next first try of a client.
    First(Box<Ask>),
    /// A refused client tries again.
    Again(Box<Ask>),
    /// A gateway's timer.
    Timer { gateway: u32, token: u64 },
    /// An attempt reaches its server.
    Reach { server: u32, job: Job },
    /// A server has finished a job.
    Finished { server: u32, job: Job },
    /// An attempt's end reaches its gateway.
    Ended { id: u64, attempt: u32, outcome: Outcome, queue: f64 },
    /// A client waits no longer.
    Deadline { id: u64 },
    /// A client leaves early.
    Leave { id: u64 },
    /// A call reaches the counter.
    Call { gateway: u32, name: u64, amount: f64, keep: Millis, made: u64 },
    /// How a counter call ended reaches its gateway.
    Counted { gateway: u32, name: u64, outcome: CounterResult, made: u64 },
    /// Discovery writes what has changed.
    Gather,
    /// A list reaches a gateway.
    Listed { gateway: u32, place: usize },
    /// A server is to be replaced.
    Drain { server: u32 },
    /// A draining server takes nothing more.
    Retire { server: u32 },
    /// A new server is there in place of another.
    Boot { server: u32 },
}

struct Planned {
    at: u64,
    order: u64,
    what: Happening,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    /// What comes first is the greatest.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// An attempt that is out.
struct Out {
    number: u32,
    server: u32,
    name: Name,
    sent: u64,
    /// What its new connection took, µs.
    handshake: u64,
}

/// A try without a final answer.
struct Try {
    ask: Ask,
    arrived: u64,
    deadline: u64,
    attempts: u32,
    out: Option<Out>,
    /// Whether it has reached a server, and whether its tenant had too few units left then.
    charged: bool,
    over: bool,
}

/// How a try ended.
enum Final {
    /// Served, with a wait of so many µs that its server and the way to it did not take.
    Served {
        added: u64,
    },
    Refused {
        retry_after: Millis,
    },
    Failed {
        timed_out: bool,
    },
    Left,
}

pub(crate) struct World<'a> {
    experiment: &'a Experiment,
    now: u64,
    order: u64,
    planned: BinaryHeap<Planned>,
    hosts: Vec<Host>,
    servers: Servers,
    /// For a server that drains, the place of the list that says so first.
    drains: HashMap<u32, usize>,
    drained_now: Vec<u32>,
    counter: Counter,
    discovery: Discovery,
    clients: Clients,
    tries: HashMap<u64, Try>,
    last: u64,
    /// What the gateway that is told something right now is told.
    reason: Reason,
    class_names: Vec<Name>,
    plan_names: Vec<Name>,
    ways: Random,
    behaviour: Random,
    work: Random,
    tally: Tally,
}

/// Plays an experiment with a seed.
///
/// # Errors
/// When the real code does not take the model's settings or lists.
pub fn run(experiment: &Experiment, seed: u64) -> Result<Report, RunError> {
    let mut world = World::new(experiment, seed)?;
    world.play()?;
    Ok(world.report(seed))
}

/// The event for the end of an attempt that took so many µs.
fn attempt_ended(
    id: u64, out: Out, outcome: Outcome, latency: u64, finished: bool, queue: Option<f64>,
) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt: out.number,
        endpoint: out.name,
        outcome,
        latency: latency as f64 / 1000.0,
        actual_units: None,
        request_finished: finished,
        load_report: queue.map(|queue| LoadReport { queue_length: Some(queue), ..LoadReport::default() }),
    })
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Result<Self, RunError> {
        let fleet = &experiment.fleet;
        let gateways = experiment.scale.gateways.unwrap_or(fleet.gateways);
        let share = f64::from(gateways) / f64::from(fleet.gateways);
        let zones = fleet.regions * fleet.zones;
        let mut draw = Random::new(seed, 2);
        let mut servers = Servers::new(&experiment.servers, &experiment.class, gateways);
        let count = ((f64::from(fleet.servers) * share).round() as u32).max(1);
        for n in 0..count {
            let cell = n / zones / experiment.servers.cell * zones + n % zones;
            servers.add(n % zones, cell.into(), draw.within(experiment.servers.speed), None);
        }
        let tables = experiment.scale.tables.unwrap_or(gateways);
        let idle = Duration::from_secs_f64(experiment.servers.idle_s);
        let mut hosts = Vec::new();
        for number in 0..gateways {
            let region = (u64::from(number) * u64::from(fleet.regions) / u64::from(gateways)) as u32;
            let zone = region * fleet.zones + number % fleet.zones;
            let settings = gateways::settings(experiment, gateways, number, zone);
            let table = (number < tables).then(|| gateways::table(idle));
            hosts.push(Host::new(settings, zone, draw.bits(), table)?);
        }
        let mut world = Self {
            experiment,
            now: 0,
            order: 0,
            planned: BinaryHeap::new(),
            hosts,
            drains: HashMap::new(),
            drained_now: Vec::new(),
            counter: Counter::new(&experiment.counter, share),
            discovery: Discovery::default(),
            clients: Clients::new(experiment, share, gateways, seed),
            tries: HashMap::new(),
            last: 0,
            reason: Reason::AtOnce,
            class_names: experiment.class.iter().map(|c| c.name.as_str().into()).collect(),
            plan_names: experiment.plan.iter().map(|p| p.name.as_str().into()).collect(),
            ways: Random::new(seed, 3),
            behaviour: Random::new(seed, 4),
            work: Random::new(seed, 5),
            tally: Tally::new(),
            servers,
        };
        let rows: Vec<Row> = (0..count).map(|n| world.row(n, EndpointState::Ready)).collect();
        let place = world.discovery.whole(&rows)?;
        for gateway in 0..gateways {
            let at = draw.below(STARTS as usize) as u64;
            world.plan(at, Happening::Listed { gateway, place });
        }
        world.plan((experiment.discovery.period_ms * 1000.0) as u64, Happening::Gather);
        if let Some(release) = &experiment.release {
            let mut order: Vec<u32> = (0..count).collect();
            let replaced = (f64::from(count) * release.share).round() as usize;
            for n in 0..replaced {
                order.swap(n, n + draw.below(count as usize - n));
                let at = release.at_s + release.over_s * n as f64 / replaced as f64;
                world.plan((at * 1e6) as u64, Happening::Drain { server: order[n] });
            }
        }
        let (at, ask) = world.clients.next(FIRST, experiment);
        world.plan(at, Happening::First(Box::new(ask)));
        Ok(world)
    }

    fn plan(&mut self, at: u64, what: Happening) {
        self.order += 1;
        self.planned.push(Planned { at, order: self.order, what });
    }

    fn clock(&self) -> Millis {
        EPOCH + self.now as f64 / 1000.0
    }

    fn row(&self, server: u32, state: EndpointState) -> Row {
        let known = &self.servers.all[server as usize];
        let started = known.started.map_or(0.0, |at| EPOCH + at as f64 / 1000.0);
        Row { server, zone: known.zone, cell: known.cell, state, started }
    }

    /// A one-way time between zones, µs.
    fn way(&mut self, one: u32, other: u32) -> u64 {
        let (network, zones) = (&self.experiment.network, self.experiment.fleet.zones);
        let ms = if one == other {
            network.zone_ms
        } else if one / zones == other / zones {
            network.region_ms
        } else {
            network.cross_region_ms
        };
        (ms * 1000.0 * (1.0 + network.jitter * self.ways.unit())).ceil() as u64
    }

    fn play(&mut self) -> Result<(), RunError> {
        let end = (self.experiment.seconds * 1e6) as u64;
        let longest = self.experiment.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let rest = end + (longest * 1000.0) as u64 + REST;
        let mut told = 0;
        while let Some(Planned { at, what, .. }) = self.planned.pop() {
            if at > rest || at > end && self.tries.is_empty() {
                break;
            }
            self.now = at;
            if at / 1_000_000 > told {
                told = at / 1_000_000;
                self.account();
                tracing::info!(second = told, tries = self.last, open = self.tries.len(), "played");
            }
            match what {
                Happening::First(ask) if at <= end => {
                    let (next, next_ask) = self.clients.next(at, self.experiment);
                    self.plan(next, Happening::First(Box::new(next_ask)));
                    let counted = at as f64 >= self.experiment.settle_s * 1e6;
                    self.arrive(Ask { counted, ..*ask });
                }
                Happening::Again(ask) if at <= end => self.arrive(*ask),
                Happening::First(_) | Happening::Again(_) => {}
                Happening::Timer { gateway, token } => {
                    self.tell(gateway, Event::Timer { token }, Reason::HoldOver);
                }
                Happening::Reach { server, job } => self.reach(server, job),
                Happening::Finished { server, job } => self.finished(server, job),
                Happening::Ended { id, attempt, outcome, queue } => {
                    let current = self.tries.get(&id).and_then(|t| t.out.as_ref());
                    if current.is_some_and(|out| out.number == attempt) {
                        self.ended(id, outcome, Some(queue));
                    }
                }
                Happening::Deadline { id } => self.deadline(id),
                Happening::Leave { id } => self.leave(id),
                Happening::Call { gateway, name, amount, keep, made } => {
                    self.call(gateway, name, amount, keep, made);
                }
                Happening::Counted { gateway, name, outcome, made } => {
                    let latency = (self.now - made) as f64 / 1000.0;
                    self.tell(
                        gateway,
                        Event::CounterReply { key: name, result: outcome, latency },
                        Reason::OnTotal,
                    );
                }
                Happening::Gather => self.gather()?,
                Happening::Listed { gateway, place } => {
                    let batch = &self.discovery.batches[place];
                    let event = self.hosts[gateway as usize].hear(batch, place, self.now);
                    self.tell(gateway, event, Reason::HoldOver);
                }
                Happening::Drain { server } => self.drain(server),
                Happening::Retire { server } => self.retire(server),
                Happening::Boot { server } => self.boot(server),
            }
        }
        self.account();
        self.tally.open_at_end = self.tries.values().filter(|t| t.ask.counted).count() as u64;
        Ok(())
    }

    fn account(&mut self) {
        let open = self.tries.values().filter(|t| t.ask.counted);
        let out = open.clone().filter(|t| t.out.is_some()).count() as u64;
        self.tally.account(open.count() as u64, out);
    }

    // ---- Gateways ----

    /// Tells a gateway something and carries out what it decides.
    fn tell(&mut self, gateway: u32, event: Event, reason: Reason) {
        self.reason = reason;
        let mut actions = Vec::new();
        let now = self.clock();
        self.hosts[gateway as usize].gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::ForwardAttempt { id, endpoint, .. } => self.send(gateway, id, endpoint),
                Action::Reject { id, retry_after } => self.end(id, Final::Refused { retry_after }),
                Action::Fail { id } => {
                    let timed_out = self.tries.get(&id).is_some_and(|t| t.deadline <= self.now);
                    self.end(id, Final::Failed { timed_out });
                }
                Action::SetTimer { after, token } => {
                    let at = self.now + (after * 1000.0).ceil() as u64;
                    self.plan(at, Happening::Timer { gateway, token });
                }
                Action::IncrementCounter { key: name, amount, ttl: keep } => {
                    let way = self.way(self.hosts[gateway as usize].zone, 0);
                    let made = self.now;
                    self.plan(made + way, Happening::Call { gateway, name, amount, keep, made });
                }
                Action::Log(text) => tracing::debug!(gateway, "{text}"),
                // The model calls off with the client and gives no permission for the others.
                Action::CancelAttempt { .. }
                | Action::HealthCheck { .. }
                | Action::Gossip { .. }
                | Action::WatchEndpoints => {
                    self.tally.stray += 1;
                }
            }
        }
    }

    fn arrive(&mut self, ask: Ask) {
        self.last += 1;
        let (id, class) = (self.last, &self.experiment.class[ask.class]);
        let tenant = &self.clients.tenants[ask.tenant as usize];
        let arrival = Arrival {
            id,
            tenant: tenant.name.clone(),
            plan: self.plan_names[tenant.plan].clone(),
            class: self.class_names[ask.class].clone(),
            units: ask.units,
            client_retry: ask.tries > 0,
            time_to_deadline: class.deadline_ms,
            first_gateway: tenant.first,
            gateways_per_tenant: tenant.spread,
        };
        let deadline = self.now + (class.deadline_ms * 1000.0) as u64;
        let gateway = ask.gateway;
        self.tally.offered_in_all += 1;
        if ask.counted {
            self.tally.offered += 1;
            self.tally.first_tries += u64::from(ask.tries == 0);
        }
        let over_by = self.behaviour.unit();
        if over_by < self.experiment.load.impatient {
            let share = over_by / self.experiment.load.impatient;
            let at = self.now + ((deadline - self.now) as f64 * share) as u64;
            self.plan(at, Happening::Leave { id });
        }
        self.plan(deadline, Happening::Deadline { id });
        let new =
            Try { ask, arrived: self.now, deadline, attempts: 0, out: None, charged: false, over: false };
        self.tries.insert(id, new);
        self.tell(gateway, Event::RequestArrived(arrival), Reason::AtOnce);
    }

    fn send(&mut self, gateway: u32, id: u64, endpoint: Name) {
        let server = server_of(&endpoint).filter(|s| *s < self.servers.all.len());
        let free = self.tries.get(&id).is_some_and(|t| t.out.is_none());
        let (Some(server), true) = (server, free) else {
            // A real gateway answers this as never sent; here it is a fault of the decisions.
            self.tally.stray += 1;
            return;
        };
        let number = server as u32;
        self.servers.sent(server, gateway, self.now);
        if let (Life::Draining(_) | Life::Gone, Some(release)) =
            (self.servers.all[server].life, &self.experiment.release)
        {
            let place = self.drains.get(&number);
            let heard = place.and_then(|p| self.hosts[gateway as usize].heard.get(*p).copied().flatten());
            let grace = (release.grace_s * 1e6) as u64;
            self.tally.sent_to_drained += u64::from(heard.is_some_and(|at| at + grace < self.now));
        }
        let idle = (self.experiment.servers.idle_s * 1e6) as u64;
        let pooled = self.hosts[gateway as usize].free_connection(number, self.now, idle);
        let (home, zone) = (self.hosts[gateway as usize].zone, self.servers.all[server].zone);
        let way = self.way(home, zone);
        let zones = self.experiment.fleet.zones;
        let (mut handshake, mut extra) = (0, 0.0);
        if !pooled {
            handshake = way * 2 * u64::from(self.experiment.servers.handshake_trips);
            extra = self.experiment.servers.handshake_ms * 1000.0;
        }
        let Some(sent) = self.tries.get_mut(&id) else { return };
        let attempt = sent.attempts;
        sent.attempts += 1;
        sent.out = Some(Out { number: attempt, server: number, name: endpoint, sent: self.now, handshake });
        if sent.ask.counted {
            self.tally.attempts += 1;
            self.tally.handshakes += u64::from(!pooled);
            self.tally.across[0] += u64::from(home != zone);
            self.tally.across[1] += u64::from(home / zones != zone / zones);
        }
        let job = Job { id, attempt, gateway, work: sent.ask.work + extra };
        self.plan(self.now + handshake + way, Happening::Reach { server: number, job });
    }

    /// An attempt's end, as its gateway learns it.
    fn ended(&mut self, id: u64, outcome: Outcome, queue: Option<f64>) {
        let Some(open) = self.tries.get_mut(&id) else { return };
        let Some(out) = open.out.take() else { return };
        let (gateway, latency) = (open.ask.gateway, self.now - out.sent);
        self.tally.attempts_ended += u64::from(open.ask.counted);
        let added = self.now - open.arrived - latency + out.handshake;
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                self.hosts[gateway as usize].keep_connection(out.server, self.now);
            }
            Outcome::ConnectFailed => self.hosts[gateway as usize].drop_connections(out.server),
            _ => {}
        }
        if outcome == Outcome::Served {
            self.end(id, Final::Served { added });
        }
        let finished = !self.tries.contains_key(&id);
        self.tell(gateway, attempt_ended(id, out, outcome, latency, finished, queue), Reason::HoldOver);
    }

    /// A try's one final answer.
    fn end(&mut self, id: u64, how: Final) {
        let Some(done) = self.tries.remove(&id) else {
            self.tally.second_answers += 1;
            return;
        };
        let (ask, tally) = (&done.ask, &mut self.tally);
        let took = self.now - done.arrived;
        let aim = self.experiment.class[ask.class].aim_ms * 1000.0;
        match how {
            Final::Served { added } if ask.counted => tally.served(took, added, took as f64 > aim, done.over),
            Final::Failed { timed_out } if ask.counted => tally.failed[usize::from(timed_out)] += 1,
            Final::Left if ask.counted => tally.left += 1,
            Final::Refused { retry_after } => {
                let (left, burst) = self.clients.left(ask.tenant, self.now);
                if ask.counted {
                    let reason = if done.attempts > 0 {
                        Reason::AfterAttempt
                    } else if left < ask.units {
                        Reason::BeyondQuota
                    } else {
                        self.reason
                    };
                    tally.refused(reason, left > burst / 2.0);
                }
                self.try_again(done.ask, retry_after);
            }
            _ => {}
        }
    }

    fn try_again(&mut self, mut ask: Ask, retry_after: Millis) {
        let load = &self.experiment.load;
        let (chance, backoff) = (self.behaviour.unit(), self.behaviour.within(load.backoff_ms));
        if ask.tries >= load.retries || chance >= load.retry_share {
            return;
        }
        ask.tries += 1;
        let tenant = &self.clients.tenants[ask.tenant as usize];
        let through = self.behaviour.below(tenant.spread as usize) as u32;
        ask.gateway = (tenant.first + through) % self.hosts.len() as u32;
        let wait = backoff.max(retry_after.min(load.longest_advice_ms));
        self.plan(self.now + (wait * 1000.0).ceil() as u64, Happening::Again(Box::new(ask)));
    }

    fn deadline(&mut self, id: u64) {
        if self.tries.get(&id).is_some_and(|t| t.out.is_some()) {
            self.ended(id, Outcome::TimedOut, None);
        }
        // A gateway owes its answer by now; if there is none, the client leaves.
        self.tally.unanswered += u64::from(self.tries.get(&id).is_some_and(|t| t.ask.counted));
        self.leave(id);
    }

    fn leave(&mut self, id: u64) {
        let Some(open) = self.tries.get_mut(&id) else { return };
        let (gateway, out) = (open.ask.gateway, open.out.take());
        self.tally.attempts_ended += u64::from(open.ask.counted && out.is_some());
        self.end(id, Final::Left);
        self.tell(gateway, Event::ClientDisconnected { id }, Reason::HoldOver);
        let Some(out) = out else { return };
        // What is out is given up with the client, and its end is owed.
        let latency = self.now - out.sent;
        self.tell(gateway, attempt_ended(id, out, Outcome::Cancelled, latency, true, None), Reason::HoldOver);
    }

    // ---- Servers ----

    /// Whether the gateway still waits for this attempt.
    fn wanted(tries: &HashMap<u64, Try>, job: &Job) -> bool {
        tries.get(&job.id).and_then(|t| t.out.as_ref()).is_some_and(|out| out.number == job.attempt)
    }

    fn reach(&mut self, server: u32, job: Job) {
        if !Self::wanted(&self.tries, &job) {
            return;
        }
        if self.servers.all[server as usize].life == Life::Gone {
            return self.answer(server, job, Outcome::ConnectFailed);
        }
        if let Some(reached) = self.tries.get_mut(&job.id).filter(|t| !t.charged) {
            reached.charged = true;
            reached.over = !self.clients.charge(reached.ask.tenant, reached.ask.units, self.now);
        }
        match self.servers.take(server as usize, job, self.now) {
            Ok(Some(takes)) => self.plan(self.now + takes, Happening::Finished { server, job }),
            Ok(None) => {}
            Err(()) => self.answer(server, job, Outcome::Rejected),
        }
    }

    fn finished(&mut self, server: u32, job: Job) {
        let error = self.work.unit() < self.experiment.servers.error_rate;
        self.answer(server, job, if error { Outcome::Error } else { Outcome::Served });
        let tries = &self.tries;
        let next = self.servers.freed(server as usize, self.now, |job| Self::wanted(tries, job));
        if let Some((job, takes)) = next {
            self.plan(self.now + takes, Happening::Finished { server, job });
        }
    }

    fn answer(&mut self, server: u32, job: Job, outcome: Outcome) {
        let known = &self.servers.all[server as usize];
        let (zone, queue) = (known.zone, known.queue.len() as f64);
        let way = self.way(zone, self.hosts[job.gateway as usize].zone);
        let (id, attempt) = (job.id, job.attempt);
        self.plan(self.now + way, Happening::Ended { id, attempt, outcome, queue });
    }

    // ---- The counter ----

    fn call(&mut self, gateway: u32, name: u64, amount: f64, keep: Millis, made: u64) {
        let served = self.counter.add(self.now, name, amount, keep, &mut self.work);
        let way = self.way(0, self.hosts[gateway as usize].zone);
        let (mut at, mut outcome) = (served.done + way, served.outcome);
        let late = made + self.counter.patience;
        if at > late {
            (at, outcome) = (late.max(self.now), CounterResult::Unknown);
            self.counter.unanswered += 1;
        }
        self.plan(at, Happening::Counted { gateway, name, outcome, made });
    }

    // ---- Discovery and releases ----

    fn gather(&mut self) -> Result<(), RunError> {
        let discovery = &self.experiment.discovery;
        self.plan(self.now + (discovery.period_ms * 1000.0) as u64, Happening::Gather);
        let Some(place) = self.discovery.changes()? else { return Ok(()) };
        for server in std::mem::take(&mut self.drained_now) {
            self.drains.insert(server, place);
        }
        for gateway in 0..self.hosts.len() as u32 {
            let ms = discovery.notice_ms + discovery.spread_ms * self.ways.unit();
            self.plan(self.now + (ms * 1000.0) as u64, Happening::Listed { gateway, place });
        }
        Ok(())
    }

    fn drain(&mut self, server: u32) {
        let Some(release) = &self.experiment.release else { return };
        self.servers.all[server as usize].life = Life::Draining(self.now);
        self.drained_now.push(server);
        self.discovery.note(self.row(server, EndpointState::Draining));
        self.plan(self.now + (release.grace_s * 1e6) as u64, Happening::Retire { server });
    }

    fn retire(&mut self, server: u32) {
        let Some(release) = &self.experiment.release else { return };
        self.servers.all[server as usize].life = Life::Gone;
        self.discovery.note(self.row(server, EndpointState::Removed));
        self.plan(self.now + (release.boot_s * 1e6) as u64, Happening::Boot { server });
    }

    fn boot(&mut self, server: u32) {
        let (zone, cell) = (self.servers.all[server as usize].zone, self.servers.all[server as usize].cell);
        let speed = self.work.within(self.experiment.servers.speed);
        let new = self.servers.add(zone, cell, speed, Some(self.now));
        self.discovery.note(self.row(new, EndpointState::Ready));
    }

    // ---- The result ----

    fn report(self, seed: u64) -> Report {
        let Self { experiment, hosts, servers, counter, discovery, clients, tally, .. } = self;
        let bytes = |of: fn(&Host) -> u64| hosts.iter().map(of).sum::<u64>() as f64 / hosts.len() as f64;
        let use_of_bound = |tenant: &crate::clients::Tenant| {
            let (rate, burst) = clients.quota(tenant);
            let fills = burst + rate * experiment.seconds;
            // While calls go without an answer, each gateway spends its even slice besides.
            let slices = if counter.unanswered + counter.turned_away > 0 { fills } else { 0.0 };
            // Each window grants a burst, and a run may begin and end inside of one; one request a gateway may be
            // let in while another's give-back is on its way.
            let late = burst + f64::from(tenant.spread * experiment.load.units[1]);
            tenant.used / (fills + late + slices)
        };
        // A quota that leaves a gateway less than a unit is held by chance, on average alone.
        let held = |t: &&crate::clients::Tenant| clients.quota(t).1 >= f64::from(t.spread);
        let worst_use = clients.tenants.iter().filter(held).map(use_of_bound).fold(0.0, f64::max);
        let scaled = Scaled {
            gateways_of_file: experiment.fleet.gateways,
            gateways_played: hosts.len() as u32,
            share: hosts.len() as f64 / f64::from(experiment.fleet.gateways),
            servers_played: servers.all.len() as u64 - servers.cold.starts,
            tenants_played: clients.tenants.len() as u64,
            requests_per_s: experiment.load.requests_per_s * hosts.len() as f64
                / f64::from(experiment.fleet.gateways),
            gateways_with_real_tables: experiment.scale.tables.unwrap_or(u32::MAX).min(hosts.len() as u32),
            seconds_counted: experiment.seconds - experiment.settle_s,
        };
        Report::new(crate::report::Parts {
            experiment,
            seed,
            scaled,
            asked_of_quota: clients.asked_of_quota,
            worst_use_of_bound: worst_use,
            asked_of_capacity: experiment.load.requests_per_s * hosts.len() as f64
                / f64::from(experiment.fleet.gateways)
                / servers.capacity(),
            servers: &servers,
            counter: &counter,
            list_bytes: [bytes(|h| h.whole_bytes), bytes(|h| h.change_bytes)],
            lists: discovery.batches.len() as u64,
            tally,
        })
    }
}
