//! The endpoints' side: where they listen, the connections to them, attempts and probes and how they end.

pub mod pool;

use crate::clock::millis;
use crate::discovery::EndpointList;
use crate::endpoint::pool::Pool;
use crate::http_connection::{Connection, Progress};
use crate::socket::{ConnectError, SharedStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::request::Builder;
use hyper::http::response;
use hyper::{Method, Request, StatusCode};
use rustc_hash::FxHashMap;
use ryefront_policy::{EndpointState, LoadReport, LoadReportSource, Name, Outcome};
use ryefront_settings::set_load_value;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

/// The largest body that is taken, either way.
pub const LARGEST_BODY: usize = 64 * 1024;
/// An answer that has begun must be whole after this: it is small and ready when its first byte is written.
const ANSWER: Duration = Duration::from_millis(250);
/// A connection that carried an answer is not used again for this long. Guards against bytes that an endpoint
/// writes behind its answer, which would be taken for the answer to the next request, and against closes right
/// behind it, which the next request would cross. Second answers were seen up to 5 ms late, such closes up to 25 ms.
const QUARANTINE: Duration = Duration::from_millis(25);
/// Load figures above this say nothing.
const LARGEST_LOAD: f64 = 1e6;
/// Idle connections are looked after this often.
const ROUND: Duration = Duration::from_secs(1);
/// A connection is kept idle for this share of the time after which endpoints close it: well before.
const IDLE_SHARE: f64 = 0.5;
/// How old kept connections are is told apart in so many steps, each this many times the one before; the first
/// ends here.
const AGES: usize = 6;
const AGE_STEP: u128 = 4;
const YOUNGEST: Duration = Duration::from_millis(25);
/// Weight of the newest outcome in the share of connections of an age that broke.
const NEWEST: f64 = 0.1;
/// Kept connections may break more often than new ones by this share of their requests; for requests that
/// must not be repeated by less.
const STALE_MARGIN: f64 = 0.05;
const STALE_MARGIN_UNSAFE: f64 = 0.02;
/// By this share an age that is passed over is trusted more, so that it is tried again.
const STALE_DECAY: f64 = 0.02;
/// The word of an endpoint that never began with a request.
const DECLINED: &str = "srv-declined";
/// The load report that comes with answers.
const LOAD: &str = "srv-load";

/// What a client asked, as far as it goes on to an endpoint.
#[derive(Clone, Debug)]
pub struct Message {
    /// The method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: hyper::http::uri::PathAndQuery,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// `Content-Type`.
    pub kind: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// An endpoint's 200 answer.
#[derive(Debug)]
pub struct Answer {
    /// Its headers, without those that belong to the connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// What was served.
    pub answer: Option<Answer>,
    /// The load report that came along.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, answer: None, load: None }
    }
}

struct Endpoint {
    dial: SocketAddr,
    ready: bool,
    /// When it last answered anything.
    heard: Instant,
    /// The last list that told of it.
    told: u64,
}

/// How often connections break under a request before anything comes back: new ones, and kept ones by how long
/// they have stood idle. Guards requests against peers, or anything on the way, that forget idle connections
/// sooner than is said and let the next request show it: there is nothing to see on the socket before. It also
/// covers the end of a connection right behind its answer. Resets that strike at random are no reason to
/// connect anew, so new ones are the measure. It could hurt where a few of many endpoints forget early: then
/// all pay with handshakes.
#[derive(Default)]
struct StaleEstimator {
    new: f64,
    kept: [f64; AGES],
}

impl StaleEstimator {
    fn age(idle: Duration) -> usize {
        let steps = idle.as_millis() / YOUNGEST.as_millis();
        steps.checked_ilog(AGE_STEP).map_or(0, |step| (step as usize + 1).min(AGES - 1))
    }

    fn note(&mut self, idle: Option<Duration>, broke: bool) {
        let share = idle.map_or(&mut self.new, |idle| &mut self.kept[Self::age(idle)]);
        *share += NEWEST * (f64::from(u8::from(broke)) - *share);
    }

    /// Whether a connection that has been idle for so long is as good as a new one.
    fn allows_reuse(&mut self, idle: Duration, repeatable: bool) -> bool {
        let share = &mut self.kept[Self::age(idle)];
        let trusted = *share <= self.new + if repeatable { STALE_MARGIN } else { STALE_MARGIN_UNSAFE };
        if !trusted {
            *share *= 1.0 - STALE_DECAY;
        }
        trusted
    }
}

/// Counts an open connection for as long as it lives.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// All endpoints that this gateway knows.
pub struct EndpointRegistry {
    known: RefCell<FxHashMap<Name, Endpoint>>,
    /// Free connections.
    pool: RefCell<Pool<Connection>>,
    /// How many lists were taken in.
    lists: Cell<u64>,
    connect_timeout: Duration,
    longest_idle: Duration,
    reports: LoadReportSource,
    most_open: usize,
    busy: Rc<Cell<usize>>,
    stale: RefCell<StaleEstimator>,
}

impl EndpointRegistry {
    /// No endpoints yet; at most `most_open` connections to all of them together.
    pub fn new(
        connect_timeout: Duration, endpoint_idle: Duration, reports: LoadReportSource, most_open: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            known: RefCell::default(),
            pool: RefCell::default(),
            lists: Cell::default(),
            connect_timeout,
            longest_idle: endpoint_idle.mul_f64(IDLE_SHARE),
            reports,
            most_open,
            busy: Rc::default(),
            stale: RefCell::default(),
        })
    }

    /// Takes in a list, in time that follows its length; if it is whole, that of the last whole one too. Free
    /// connections to what drains, is gone or listens elsewhere now are dropped.
    pub fn update(&self, list: &EndpointList) {
        let (mut known, mut pool) = (self.known.borrow_mut(), self.pool.borrow_mut());
        let (told, heard) = (self.lists.get() + 1, Instant::now());
        self.lists.set(told);
        if list.is_snapshot {
            let new = list.endpoints.len().saturating_sub(known.len());
            known.reserve(new);
        }
        for host in &list.endpoints {
            let (name, dial) = (&host.entry.name, host.address);
            if host.entry.state == EndpointState::Removed {
                known.remove(name);
                pool.clear(name);
                continue;
            }
            let ready = host.entry.state == EndpointState::Ready;
            let endpoint = known.entry(name.clone()).or_insert(Endpoint { dial, ready, heard, told });
            if !ready || endpoint.dial != dial {
                pool.clear(name);
            }
            (endpoint.ready, endpoint.dial, endpoint.told) = (ready, dial, told);
        }
        if list.is_snapshot {
            known.retain(|name, endpoint| {
                let stays = endpoint.told == told;
                if !stays {
                    pool.clear(name);
                }
                stays
            });
        }
    }

    /// Drops free connections that have stood too long or have been closed, for ever.
    pub async fn keep_tidy(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            let stays = |connection: &Connection, since: Instant| {
                since.elapsed() < self.longest_idle && connection.is_alive()
            };
            self.pool.borrow_mut().retain(stays);
        }
    }

    /// Sends a request to an endpoint and tells how that ended, once its connection is closed or free again.
    /// It ends at `until` at the latest, or when `called_off` resolves, and nothing is written from then on, nor
    /// once the `client` has left. Its last byte is written before `written_by`, or it is given up.
    pub async fn attempt(
        &self, name: &Name, message: Message, until: Instant, written_by: Option<Instant>,
        called_off: oneshot::Receiver<()>, client: &SharedStream,
    ) -> End {
        let build = |dial: SocketAddr| {
            let left = until.saturating_duration_since(Instant::now());
            let mut builder = Request::builder()
                .method(message.method.clone())
                .uri(message.target.clone())
                .header("Host", dial.to_string())
                .header("Req-Id", message.id.clone())
                .header("Req-Deadline-Ms", millis(left).floor().to_string());
            for (key, value) in [("Idempotency-Key", &message.key), (CONTENT_TYPE.as_str(), &message.kind)] {
                if let Some(value) = value {
                    builder = builder.header(key, value.clone());
                }
            }
            (builder, message.body.clone())
        };
        let repeatable = message.method.is_safe() || message.key.is_some();
        let (begun, called_off) = (Instant::now(), RefCell::new(called_off));
        // Guards what was waited for with a connection: the wait's end and its reason's may come in one turn.
        let may_begin = async || {
            if client.is_closed_by_peer().await || called_off.borrow_mut().try_recv().is_ok() {
                return Err(Outcome::Cancelled);
            }
            let now = Instant::now();
            if written_by.is_some_and(|by| now >= by) {
                return Err(Outcome::NotSent);
            }
            if now < until { Ok(()) } else { Err(Outcome::TimedOut) }
        };
        let call = poll_fn(|cx| Pin::new(&mut *called_off.borrow_mut()).poll(cx));
        // Each arm ends the exchange, which closes its connection, before the end is told.
        let end = tokio::select! {
            biased;
            answer = self.exchange(name, repeatable, written_by, may_begin, build) => {
                answer.map_or_else(End::from, |answer| self.judge(answer))
            }
            _ = call => Outcome::Cancelled.into(),
            () = sleep_until(until) => Outcome::TimedOut.into(),
        };
        if end.outcome == Outcome::TimedOut {
            self.doubt(name, begun);
        }
        end
    }

    /// Guards against machines that vanish: connections to one stay open and silent, and each would take a
    /// request into doubt until its time is over. A new one fails soon and for certain. An endpoint that has
    /// answered anything since is merely slow.
    fn doubt(&self, name: &Name, since: Instant) {
        if self.known.borrow().get(name).is_some_and(|b| b.heard < since) {
            self.pool.borrow_mut().clear(name);
        }
    }

    /// Asks an endpoint for its load, or where there are no reports for a sign of life.
    pub async fn probe(&self, name: &Name) -> End {
        let path = if self.reports == LoadReportSource::None { "/alive" } else { "/metrics/load" };
        let build = |dial: SocketAddr| (Request::get(path).header("Host", dial.to_string()), Bytes::new());
        match tokio::time::timeout(
            self.connect_timeout,
            self.exchange(name, true, None, async || Ok(()), build),
        )
        .await
        {
            Ok(Ok((head, body))) if head.status == StatusCode::OK => {
                let load = std::str::from_utf8(&body).ok().and_then(load);
                End { outcome: Outcome::Served, answer: None, load }
            }
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    async fn exchange(
        &self, name: &Name, repeatable: bool, written_by: Option<Instant>,
        may_begin: impl AsyncFn() -> Result<(), Outcome>, build: impl Fn(SocketAddr) -> (Builder, Bytes),
    ) -> Result<(response::Parts, Bytes), Outcome> {
        loop {
            let (dial, pooled) = self.free_connection(name, repeatable).ok_or(Outcome::NotSent)?;
            let idle = pooled.as_ref().map(|(_, idle)| *idle);
            let _slot = self.slot().ok_or(Outcome::NotSent)?;
            let mut connection = match pooled {
                Some((connection, _)) => connection,
                None => {
                    Connection::connect(dial, self.connect_timeout).await.map_err(|error| match error {
                        // No word of the endpoint: it must not be ejected for it.
                        ConnectError::Local(_) => Outcome::NotSent,
                        ConnectError::Peer(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
                    })?
                }
            };
            may_begin().await?;
            // Guards drains: while the connection came up the list may have changed.
            if self.dial(name) != Some(dial) {
                return Err(Outcome::NotSent);
            }
            let (builder, body) = build(dial);
            let request = builder.body(Full::new(body)).map_err(|_| Outcome::NotSent)?;
            let end = connection.exchange(request, LARGEST_BODY, ANSWER, written_by).await;
            let broke = matches!(end, Err(Progress::Whole | Progress::Partly));
            self.stale.borrow_mut().note(idle, broke);
            match end {
                Ok(answer) => {
                    let connection = connection.is_reusable().await.then_some(connection);
                    self.answered(name, dial, connection);
                    return Ok(answer);
                }
                // Guards against a free connection that its endpoint closed just now: nothing was written,
                // so this is no second send, and the endpoint is not to blame.
                Err(Progress::Unsent) if idle.is_some() => {}
                Err(Progress::Unsent | Progress::Partly) => return Err(Outcome::ConnectFailed),
                Err(Progress::Whole) => return Err(Outcome::ConnectionReset),
                // The endpoint lives and may have run it. Guards the fleet against being left alone for
                // answers that come spoilt from all alike: an error says no more than that.
                Err(Progress::Spoilt) => return Err(Outcome::Error),
            }
        }
    }

    /// Where an endpoint listens that may be sent something new.
    fn dial(&self, name: &Name) -> Option<SocketAddr> {
        self.known.borrow().get(name).filter(|b| b.ready).map(|b| b.dial)
    }

    /// An endpoint that may be sent something new, with a free connection that is alive and may be trusted if there
    /// is one, and for how long that was idle.
    fn free_connection(
        &self, name: &Name, repeatable: bool,
    ) -> Option<(SocketAddr, Option<(Connection, Duration)>)> {
        let dial = self.dial(name)?;
        let mut pool = self.pool.borrow_mut();
        while let Some((connection, since)) = pool.take(name, QUARANTINE) {
            // Guards unsafe requests: one written to a connection that is closed or about to be is lost in
            // doubt.
            let idle = since.elapsed();
            let trusted = idle < self.longest_idle && connection.is_alive();
            if trusted && self.stale.borrow_mut().allows_reuse(idle, repeatable) {
                return Some((dial, Some((connection, idle))));
            }
        }
        Some((dial, None))
    }

    /// Room for one more busy connection; free ones give way.
    fn slot(&self) -> Option<Slot> {
        let busy = self.busy.get();
        if busy >= self.most_open {
            return None;
        }
        self.busy.set(busy + 1);
        let mut pool = self.pool.borrow_mut();
        for _ in self.most_open..busy + 1 + pool.len() {
            pool.evict();
        }
        Some(Slot(self.busy.clone()))
    }

    /// Notes that an endpoint answered, and keeps the connection if it is free again.
    fn answered(&self, name: &Name, dial: SocketAddr, connection: Option<Connection>) {
        let mut known = self.known.borrow_mut();
        if let Some(endpoint) = known.get_mut(name).filter(|b| b.dial == dial) {
            endpoint.heard = Instant::now();
            if let Some(connection) = connection.filter(|_| endpoint.ready) {
                self.pool.borrow_mut().put(name, connection, endpoint.heard);
            }
        }
    }

    fn judge(&self, (mut head, body): (response::Parts, Bytes)) -> End {
        let declined = head.headers.get(DECLINED).is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Served,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Rejected,
            // Whatever else it says, it may have run.
            _ => Outcome::Error,
        };
        let report = head.headers.remove(LOAD).filter(|_| self.reports == LoadReportSource::Responses);
        let load = report.as_ref().and_then(|r| r.to_str().ok()).and_then(load);
        let answer = (outcome == Outcome::Served).then(|| {
            for name in
                ["connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "trailer"]
            {
                head.headers.remove(name);
            }
            Answer { headers: head.headers, body }
        });
        End { outcome, answer, load }
    }
}

/// Reads a report like `TEXT inflight=7, queue=2`; what it cannot read it leaves out.
fn load(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().strip_prefix("TEXT")?.split(',') {
        if let Some((key, value)) = pair.split_once('=')
            && let Ok(value) = value.trim().parse::<f64>()
            && (0.0..=LARGEST_LOAD).contains(&value)
        {
            set_load_value(&mut report, key.trim(), value);
        }
    }
    Some(report)
}
