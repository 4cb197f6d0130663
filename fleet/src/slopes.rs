//! What one unit of each role costs, in time and in bytes, by how much there is of it: the real code alone, with
//! nothing modelled around it. A line is fitted through the points and read at the target.
//!
//! Times are medians by the steady clock. Bytes are the growth of the process's resident memory, from
//! `/proc/self/statm`, in a process of its own for each size, so that nothing freed before is used again.

use crate::discovery::{Row, text};
use crate::gateways::table;
use ryefront_gateway::discovery::backoff::Pace;
use ryefront_gateway::discovery::{List, ListError, watch};
use ryefront_gateway::endpoint::EndpointRegistry;
use ryefront_gateway::engine::Engine;
use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, DedupScope, EndpointState, Event, Idempotency,
    LoadReportSource, Millis, Name, Outcome, PolicyEngine, QuotaPlan, RequestClass, Settings, SettingsError,
};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the fleet has to carry.
const GATEWAYS: u32 = 3_100;
const SERVERS: usize = 26_000;
const TENANTS: usize = 300_000;
const ROUTES: usize = 15_000;
/// The number of gateways grows with the servers as at the target, from this many on.
const FEW_GATEWAYS: u32 = 300;
/// Servers that one change touches.
const TOUCHED: usize = 10;
/// Between two requests at one gateway: its part of 490,000 a second.
const GAP: Millis = 1000.0 / 158.0;
/// Housekeeping's timer.
const SWEEP_TOKEN: u64 = 1;
/// A figure is measured so often at least and at most.
const LEAST: usize = 3;
const MOST: usize = 2_000;
/// A list over a socket that is not taken in by then is not read at all.
const NOT_READ: Duration = Duration::from_secs(20);
const ASKED_IN_VAIN: u32 = 3;

/// The sizes that are measured, smallest first.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Pick servers.
    pub servers: Vec<usize>,
    /// Tenants.
    pub tenants: Vec<usize>,
    /// Routes.
    pub routes: Vec<usize>,
    /// Each figure is measured again and again for so long.
    pub measured_for: Duration,
}

impl Default for Sizes {
    /// From small deployments up to the target.
    fn default() -> Self {
        Self {
            servers: vec![200, 800, 3_200, 10_000, SERVERS],
            tenants: vec![10, 1_000, 30_000, 100_000, TENANTS],
            routes: vec![1, 100, 1_000, 5_000, ROUTES],
            measured_for: Duration::from_millis(250),
        }
    }
}

/// Something whose memory is weighed in a process of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Tenants that a gateway holds.
    Tenants,
    /// Endpoints that a gateway knows, with no connection to any.
    Endpoints,
}

/// Figures that cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The decisions do not take the settings.
    #[error("the decisions do not take the settings: {0}")]
    Settings(#[from] SettingsError),
    /// The real parser does not take a list.
    #[error("the gateways' parser does not take the list: {0}")]
    List(#[from] ListError),
    /// Memory or a loopback socket cannot be used.
    #[error("measuring is not possible here: {0}")]
    Io(#[from] io::Error),
}

/// What a figure has to be.
#[derive(Clone, Debug, Serialize)]
pub struct Bar {
    /// In words.
    pub says: &'static str,
    /// What was found.
    pub value: f64,
    /// The bound.
    pub limit: f64,
    /// Whether the value keeps to it.
    pub met: bool,
}

/// One figure by size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// Size and value, smallest size first.
    pub points: Vec<[f64; 2]>,
    /// `linear`: `intercept + slope * size`; `log`: `intercept + slope * ln(size)`; whichever fits better. `none`:
    /// the value at the target is the one measured at the largest size.
    pub fit: &'static str,
    /// The slope of that.
    pub slope: f64,
    /// Its value where the size, or its logarithm, is 0.
    pub intercept: f64,
    /// The size at the target.
    pub target: f64,
    /// The fitted value there.
    pub at_target: f64,
    /// What it has to be, where something is asked of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bar: Option<Bar>,
}

/// A least-squares line through points: slope, intercept, and the sum of squares that it leaves.
fn line(points: &[[f64; 2]], of: impl Fn(f64) -> f64) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let mean = |f: &dyn Fn(&[f64; 2]) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(&|p| of(p[0])), mean(&|p| p[1]));
    let spread: f64 = points.iter().map(|p| (of(p[0]) - x).powi(2)).sum();
    let both: f64 = points.iter().map(|p| (of(p[0]) - x) * (p[1] - y)).sum();
    let slope = if spread > 0.0 { both / spread } else { 0.0 };
    let intercept = y - slope * x;
    let left = points.iter().map(|p| (p[1] - intercept - slope * of(p[0])).powi(2)).sum();
    (slope, intercept, left)
}

impl Slope {
    /// Fits a line or a logarithm through points, whichever leaves less, and reads it at the target.
    pub fn fitted(
        name: &'static str, unit: &'static str, size: &'static str, points: Vec<[f64; 2]>, target: f64,
    ) -> Self {
        let (linear, log) = (line(&points, |x| x), line(&points, f64::ln));
        let (fit, (slope, intercept, _), at) =
            if linear.2 <= log.2 { ("linear", linear, target) } else { ("log", log, target.ln()) };
        Self {
            name,
            unit,
            size,
            points,
            fit,
            slope,
            intercept,
            target,
            at_target: intercept + slope * at,
            bar: None,
        }
    }

    /// As measured, where no line can be meant.
    fn unfitted(mut self) -> Self {
        (self.fit, self.slope, self.intercept) = ("none", 0.0, self.last());
        self.at_target = self.intercept;
        self
    }

    fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |p| p[1])
    }

    /// By how much the value at the largest size passes that at the smallest.
    fn growth(&self) -> f64 {
        self.last() / self.points.first().map_or(1.0, |p| p[1]).max(1e-9)
    }

    fn held_to(mut self, says: &'static str, value: f64, limit: f64) -> Self {
        self.bar = Some(Bar { says, value, limit, met: value <= limit });
        self
    }
}

/// How many gateways stand before so many servers.
fn gateways(servers: usize) -> u32 {
    FEW_GATEWAYS.max((servers as f64 * f64::from(GATEWAYS) / SERVERS as f64) as u32)
}

/// Settings with quotas that a gateway holds a lease of, and so many routes.
fn settings(gateways: u32, routes: usize) -> Settings {
    let class = |n| RequestClass {
        name: route(n),
        latency_objective: 1000.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    };
    let plan = QuotaPlan {
        name: "plan".into(),
        rate: 1000.0,
        burst: 10_000.0,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    };
    Settings {
        gateway_count: gateways,
        zone: "zone-0".into(),
        tick: 1.0,
        classes: (0..routes).map(class).collect(),
        plans: vec![plan],
        has_counter: true,
        counter_timeout: 30.0,
        load_report_source: LoadReportSource::Responses,
        connect_timeout: 250.0,
        max_attempts: 6,
        max_retry_after: 1000.0,
        slow_start_initial_fraction: 0.35,
        slow_start_duration: 10_000.0,
        overload_factor: 2.5,
        overload_window: 1000.0,
        cross_zone_cost: 0.01,
        ..Settings::default()
    }
}

fn route(number: usize) -> Name {
    format!("route-{number:05}").into()
}

fn tenant(number: usize) -> Name {
    format!("{number:016x}").into()
}

fn row(server: usize, state: EndpointState, started: Millis) -> Row {
    Row { server: server as u32, zone: server as u32 % 6, cell: server as u64 / 24, state, started }
}

fn whole(servers: usize) -> String {
    text(1, true, &(0..servers).map(|n| row(n, EndpointState::Ready, 0.0)).collect::<Vec<_>>())
}

/// The real decisions and the real table of connections, with a clock of their own.
struct Subject {
    gateway: PolicyEngine,
    table: Rc<EndpointRegistry>,
    now: Millis,
    last: u64,
    counts: HashMap<u64, f64>,
}

impl Subject {
    fn new(gateways: u32, routes: usize) -> Result<Self, SettingsError> {
        Ok(Self {
            gateway: PolicyEngine::new(settings(gateways, routes), 7)?,
            table: table(Duration::from_secs(15)),
            now: 1e9,
            last: 0,
            counts: HashMap::new(),
        })
    }

    /// One that knows so many servers, with as many gateways as given.
    fn knowing(servers: usize, gateways: u32, routes: usize) -> Result<Self, SlopesError> {
        let mut subject = Self::new(gateways, routes)?;
        subject.take_in(&whole(servers))?;
        Ok(subject)
    }

    /// Reads a list and takes it in, as a real gateway does: how long that took.
    fn take_in(&mut self, text: &str) -> Result<Duration, ListError> {
        let begun = Instant::now();
        let list = List::parse(text.as_bytes())?;
        self.table.apply(&list);
        let entries = list.hosts.into_iter().map(|h| h.entry).collect();
        let event = if list.whole { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) };
        self.gateway.handle(self.now, event, &mut Vec::new());
        Ok(begun.elapsed())
    }

    /// One request from its arrival to its end, its counter calls and its attempt answered at once: how long the
    /// decisions took, and how many counter calls it led to. It must be sent, or it is no request to measure.
    fn request(&mut self, tenant: &Name, class: &Name) -> Result<(Duration, usize), SlopesError> {
        self.last += 1;
        let arrival = Arrival {
            id: self.last,
            tenant: tenant.clone(),
            plan: "plan".into(),
            class: class.clone(),
            units: 1.0,
            client_retry: false,
            time_to_deadline: 3000.0,
            first_gateway: 0,
            gateways_per_tenant: 1,
        };
        let (mut took, mut calls, mut sends) = (Duration::ZERO, 0, 0);
        let mut events = vec![Event::RequestArrived(arrival)];
        let mut actions = Vec::new();
        while let Some(event) = events.pop() {
            let begun = Instant::now();
            self.gateway.handle(self.now, event, &mut actions);
            took += begun.elapsed();
            for action in actions.drain(..) {
                match action {
                    Action::ForwardAttempt { id, endpoint, .. } => {
                        sends += 1;
                        events.push(Event::AttemptEnded(AttemptEnd {
                            id,
                            attempt: 0,
                            endpoint,
                            outcome: Outcome::Served,
                            latency: 80.0,
                            actual_units: None,
                            request_finished: true,
                            load_report: None,
                        }));
                    }
                    Action::IncrementCounter { key: name, amount, .. } => {
                        calls += 1;
                        let total = self.counts.entry(name).or_default();
                        *total += amount;
                        let outcome = CounterResult::Total(*total);
                        events.push(Event::CounterReply { key: name, result: outcome, latency: 1.0 });
                    }
                    _ => {}
                }
            }
        }
        if sends == 1 { Ok((took, calls)) } else { Err(io::Error::other("a request was not sent").into()) }
    }

    /// Has it hold so many tenants, each of which has just asked once.
    fn hold_tenants(&mut self, tenants: usize) -> Result<(), SlopesError> {
        for n in 0..tenants {
            self.request(&tenant(n), &route(0))?;
            // No name comes again, and what is kept here would be weighed with the tenants.
            self.counts.clear();
        }
        Ok(())
    }

    fn sweep(&mut self) -> Duration {
        let mut actions = Vec::new();
        let begun = Instant::now();
        self.gateway.handle(self.now, Event::Timer { token: SWEEP_TOKEN }, &mut actions);
        begun.elapsed()
    }
}

/// The median of a time that is measured again and again, µs.
fn median(
    measured_for: Duration, mut measure: impl FnMut() -> Result<Duration, SlopesError>,
) -> Result<f64, SlopesError> {
    let (begun, mut times) = (Instant::now(), Vec::new());
    while times.len() < LEAST || times.len() < MOST && begun.elapsed() < measured_for {
        times.push(measure()?.as_secs_f64() * 1e6);
    }
    times.sort_by(f64::total_cmp);
    Ok(times[times.len() / 2])
}

/// Resident memory of this process, bytes.
fn resident() -> io::Result<u64> {
    /// What the kernel counts in, unless it was built otherwise.
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.map(|pages| pages * PAGE).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// By how many bytes this process grows as a gateway in it takes on so much. To be asked in a process of its own.
///
/// # Errors
/// When the memory cannot be read or the real code does not take what it is given.
pub fn weigh(load: Load, size: usize) -> Result<u64, SlopesError> {
    let text = if load == Load::Endpoints { whole(size) } else { whole(1) };
    let mut subject = Subject::new(gateways(size), 1)?;
    let before = resident()?;
    subject.take_in(&text)?;
    if load == Load::Tenants {
        subject.hold_tenants(size)?;
    }
    Ok(resident()?.saturating_sub(before))
}

/// What one request's decisions take before so many servers.
fn decisions(servers: usize, gateways: u32, measured_for: Duration) -> Result<f64, SlopesError> {
    let mut subject = Subject::knowing(servers, gateways, 1)?;
    let (tenant, class) = (tenant(1), route(0));
    subject.request(&tenant, &class)?;
    median(measured_for, || {
        subject.now += GAP;
        Ok(subject.request(&tenant, &class)?.0)
    })
}

/// A list that changes ten servers: five drain, and the five that drained before are back.
fn change(round: usize) -> String {
    let half = TOUCHED / 2;
    let rows: Vec<_> = (0..TOUCHED)
        .map(|n| {
            let drains = n / half == round % 2;
            row(n * 7, if drains { EndpointState::Draining } else { EndpointState::Ready }, 0.0)
        })
        .collect();
    text(round as u64 + 2, false, &rows)
}

/// Measures all roles. `weigh` gives what [`weigh`] gives in a process of its own.
///
/// # Errors
/// When the real code does not take what it is given, or neither memory nor sockets are to be had.
pub fn measure(
    sizes: &Sizes, weigh: &dyn Fn(Load, usize) -> Result<u64, SlopesError>,
) -> Result<Vec<Slope>, SlopesError> {
    let measured_for = sizes.measured_for;
    let each = |sizes: &[usize], of: &dyn Fn(usize) -> Result<f64, SlopesError>| {
        sizes.iter().map(|size| Ok([*size as f64, of(*size)?])).collect::<Result<Vec<_>, SlopesError>>()
    };
    let servers = |name, unit, of: &dyn Fn(usize) -> Result<f64, SlopesError>| {
        tracing::info!("{name}");
        Ok::<_, SlopesError>(Slope::fitted(
            name,
            unit,
            "pick servers",
            each(&sizes.servers, of)?,
            SERVERS as f64,
        ))
    };
    let tenants = |name, unit, of: &dyn Fn(usize) -> Result<f64, SlopesError>| {
        tracing::info!("{name}");
        Ok::<_, SlopesError>(Slope::fitted(name, unit, "tenants", each(&sizes.tenants, of)?, TENANTS as f64))
    };
    let mut slopes = Vec::new();

    let request = servers("one request's decisions", "us", &|n| decisions(n, gateways(n), measured_for))?;
    let growth = request.growth();
    slopes.push(request.held_to("most servers over fewest: at most 2 times", growth, 2.0));
    slopes.push(servers("one request's decisions, 300 gateways", "us", &|n| {
        decisions(n, FEW_GATEWAYS, measured_for)
    })?);
    slopes.push(tenants("one request's decisions, tenants held", "us", &|n| {
        let mut subject = Subject::knowing(1, 1, 1)?;
        subject.hold_tenants(n)?;
        let (names, class): (Vec<_>, _) = ((0..64).map(|i| tenant(i * n / 64)).collect(), route(0));
        let mut turn = 0;
        median(measured_for, || {
            turn += 1;
            Ok(subject.request(&names[turn % names.len()], &class)?.0)
        })
    })?);
    tracing::info!("routes");
    let routes = each(&sizes.routes, &|n| {
        let mut subject = Subject::knowing(1, 1, n)?;
        let (tenant, classes): (_, Vec<_>) = (tenant(1), (0..64).map(|i| route(i * n / 64)).collect());
        let mut turn = 0;
        median(measured_for, || {
            turn += 1;
            Ok(subject.request(&tenant, &classes[turn % classes.len()])?.0)
        })
    })?;
    slopes.push(Slope::fitted("one request's decisions, routes", "us", "routes", routes, ROUTES as f64));

    let first = servers("whole list, first", "ms", &|n| {
        let text = whole(n);
        median(measured_for, || Ok(Subject::new(gateways(n), 1)?.take_in(&text)?)).map(|us| us / 1000.0)
    })?;
    let again = servers("whole list, again", "ms", &|n| {
        let (mut subject, text) = (Subject::knowing(n, gateways(n), 1)?, whole(n));
        median(measured_for, || Ok(subject.take_in(&text)?)).map(|us| us / 1000.0)
    })?;
    let entry = |name, list: &Slope| {
        let points = list.points.iter().map(|p| [p[0], p[1] * 1000.0 / p[0]]).collect();
        Slope::fitted(name, "us", "pick servers", points, SERVERS as f64)
    };
    slopes.push(entry("one list entry taken in, first", &first));
    slopes.push(entry("one list entry taken in, again", &again));
    let (took, took_again) = (first.last(), again.last());
    slopes.push(first.held_to("under 50 ms", took, 50.0));
    slopes.push(again.held_to("under 50 ms", took_again, 50.0));
    slopes.push(servers("whole list, its text", "bytes", &|n| Ok(whole(n).len() as f64))?);
    tracing::info!("whole list over a socket");
    let over_socket =
        each(&sizes.servers, &|n| over_socket(n).map(|took| f64::from(u8::from(took.is_some()))))?;
    let read = over_socket.iter().filter(|p| p[1] < 1.0).count() as f64;
    let slope =
        Slope::fitted("whole list over a socket", "1 if read", "pick servers", over_socket, SERVERS as f64);
    slopes.push(slope.unfitted().held_to("sizes that are not read: none", read, 0.0));
    let changed = servers("change of 10 servers", "us", &|n| {
        let (mut subject, mut round) = (Subject::knowing(n, gateways(n), 1)?, 0);
        median(measured_for, || {
            round += 1;
            Ok(subject.take_in(&change(round))?)
        })
    })?;
    let growth = changed.growth();
    slopes.push(changed.held_to("most servers over fewest: at most 4 times (a walk is 130)", growth, 4.0));
    slopes.push(servers("first request after such a change", "us", &|n| {
        let (mut subject, mut round) = (Subject::knowing(n, gateways(n), 1)?, 0);
        median(measured_for, || {
            (round, subject.now) = (round + 1, subject.now + GAP);
            subject.take_in(&change(round))?;
            Ok(subject.request(&tenant(1), &route(0))?.0)
        })
    })?);
    slopes.push(servers("sweep, endpoints known", "us", &|n| {
        let mut subject = Subject::knowing(n, gateways(n), 1)?;
        median(measured_for, || Ok(subject.sweep()))
    })?);
    slopes.push(tenants("sweep, tenants held", "us", &|n| {
        let mut subject = Subject::knowing(1, 1, 1)?;
        subject.hold_tenants(n)?;
        median(measured_for, || Ok(subject.sweep()))
    })?);
    slopes.push(tenants("lease taken: admit, count, total", "us", &|n| {
        let mut subject = Subject::knowing(1, 1, 1)?;
        subject.hold_tenants(n)?;
        let mut new = n;
        median(measured_for, || {
            new += 1;
            let (took, calls) = subject.request(&tenant(new), &route(0))?;
            if calls == 1 { Ok(took) } else { Err(io::Error::other("no lease was taken").into()) }
        })
    })?);
    slopes.push(tenants("a gateway with so many tenants held", "bytes", &|n| {
        Ok(weigh(Load::Tenants, n)? as f64)
    })?);
    slopes.push(servers("a gateway with so many idle endpoints", "bytes", &|n| {
        Ok(weigh(Load::Endpoints, n)? as f64)
    })?);
    Ok(slopes)
}

/// A whole list over a loopback socket through the real watch: how long from the call to the next one, which says
/// that it was taken in; none if it was not.
fn over_socket(servers: usize) -> Result<Option<Duration>, SlopesError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let list = whole(servers);
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (_address, place) = tokio::sync::watch::channel(listener.local_addr()?);
        let table = table(Duration::from_secs(15));
        let settings = Settings { has_counter: false, ..settings(gateways(servers), 1) };
        let engine = Engine::start(settings, 7, table.clone(), None)?;
        let pace = Pace::of(false, Duration::ZERO);
        tokio::task::spawn_local(watch(place, 0, 7, pace, table, engine));
        Ok(tokio::time::timeout(NOT_READ, taken(&listener, &list)).await.unwrap_or(Ok(None))?)
    })
}

/// Answers calls with a list until one says that it has been taken in, or until it was asked for in vain so often
/// that a busy machine is no reason.
async fn taken(listener: &TcpListener, list: &str) -> io::Result<Option<Duration>> {
    let (mut asked, mut times) = (Instant::now(), 0);
    loop {
        let (mut stream, _) = listener.accept().await?;
        while let Some(head) = head(&mut stream).await? {
            if head.contains("after=1&") {
                return Ok(Some(asked.elapsed()));
            }
            if times == ASKED_IN_VAIN {
                return Ok(None);
            }
            (asked, times) = (Instant::now(), times + 1);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            // A gateway that does not want so much closes while it is written.
            if stream.write_all(answer.as_bytes()).await.is_err() {
                break;
            }
        }
    }
}

/// The head of the next call; none if the connection ended.
async fn head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let (mut head, mut bytes) = (Vec::new(), [0; 1024]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut bytes).await {
            Ok(read) if read > 0 => head.extend_from_slice(&bytes[..read]),
            _ => return Ok(None),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}

/// All figures as JSON: an array of objects, with a line feed at its end.
///
/// # Panics
/// Never: all of it can be written as JSON.
pub fn json(slopes: &[Slope]) -> String {
    serde_json::to_string_pretty(slopes).expect("figures and texts can be written") + "\n"
}

/// All figures as a table, and what is asked of them.
pub fn table_of(slopes: &[Slope]) -> String {
    let figure =
        |value: f64| if value.abs() < 1000.0 { format!("{value:.3}") } else { format!("{value:.0}") };
    let mut text = String::from(
        "| figure | unit | size: value | fit | slope | at target |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    for slope in slopes {
        let points: Vec<_> = slope.points.iter().map(|p| format!("{}: {}", p[0], figure(p[1]))).collect();
        // Writing to a text cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} {} | {} | {:.6} | {} at {} |",
            slope.name,
            slope.unit,
            slope.size,
            points.join(", "),
            slope.fit,
            slope.slope,
            figure(slope.at_target),
            slope.target
        );
    }
    text.push_str("\n| bar | asked | found | met |\n| --- | --- | --- | --- |\n");
    for slope in slopes {
        if let Some(bar) = &slope.bar {
            let met = if bar.met { "yes" } else { "NO" };
            let _ = writeln!(text, "| {} | {} | {} | {met} |", slope.name, bar.says, figure(bar.value));
        }
    }
    text
}
