//! The list of endpoints: what it says, and the watch that keeps it fresh.

pub mod backoff;

use crate::discovery::backoff::{CONNECT_TIMEOUT, Failure, Pace, Retry};
use crate::endpoint::EndpointRegistry;
use crate::engine::Engine;
use crate::http_connection::{Connection, ExchangeError, ExchangeLimits};
use crate::log;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use ryefront_policy::{EndpointEntry, EndpointState, Event, Name};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// The most endpoints that a list has room for, and the bytes of one at most, indented as it may be.
const MOST_HOSTS: usize = 1 << 15;
const LONGEST_HOST: usize = 512;
/// The longest list that is read.
const LONGEST: usize = MOST_HOSTS * LONGEST_HOST;

/// A list that cannot be used.
#[derive(Debug)]
pub enum ListError {
    /// It is not JSON of the right form.
    Malformed(serde_json::Error),
    /// An entry has no name.
    Unnamed,
    /// An entry has no usable address.
    Address(String),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed list of endpoints: {error}"),
            Self::Unnamed => write!(f, "an endpoint has no name"),
            Self::Address(host) => write!(f, "endpoint {host} has no usable address"),
        }
    }
}

impl std::error::Error for ListError {}

#[derive(Deserialize)]
struct Sheet<'a> {
    seq: u64,
    whole: bool,
    #[serde(borrow)]
    hosts: Vec<Row<'a>>,
}

#[derive(Deserialize)]
struct Row<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow)]
    dial: Cow<'a, str>,
    #[serde(borrow, default)]
    site: Cow<'a, str>,
    #[serde(default)]
    block: u64,
    health: Health,
    #[serde(default)]
    born_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Health {
    InService,
    Terminating,
    Terminated,
}

/// One endpoint and where it listens.
#[derive(Clone, Debug)]
pub struct Host {
    /// What the decisions need to know.
    pub entry: EndpointEntry,
    /// Where it listens.
    pub dial: SocketAddr,
}

/// The list of endpoints or changes to it.
#[derive(Clone, Debug)]
pub struct List {
    /// Its version.
    pub seq: u64,
    /// Whether endpoints that are missing are gone.
    pub whole: bool,
    /// The entries; of several for one endpoint the last counts.
    pub hosts: Vec<Host>,
}

impl List {
    /// Reads a list from JSON text.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn parse(text: &[u8]) -> Result<Self, ListError> {
        serde_json::from_slice(text).map_err(ListError::Malformed).and_then(Self::from_sheet)
    }

    /// Reads a list from a JSON value.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn from_value(value: &Value) -> Result<Self, ListError> {
        Sheet::deserialize(value).map_err(ListError::Malformed).and_then(Self::from_sheet)
    }

    fn from_sheet(sheet: Sheet<'_>) -> Result<Self, ListError> {
        let mut zone = Name::from("");
        let hosts = sheet.hosts.into_iter().map(|row| {
            if row.host.is_empty() {
                return Err(ListError::Unnamed);
            }
            let Ok(dial) = row.dial.parse() else { return Err(ListError::Address(row.host.into())) };
            let state = match row.health {
                Health::InService => EndpointState::Ready,
                Health::Terminating => EndpointState::Draining,
                Health::Terminated => EndpointState::Removed,
            };
            // 0 stands for a start long ago, of which nothing is known.
            let started = (row.born_ms > 0.0).then_some(row.born_ms);
            // Neighbours mostly share their zone's name.
            if *zone != *row.site {
                zone = row.site.into();
            }
            let (name, zone) = (row.host.into(), zone.clone());
            Ok(Host {
                entry: EndpointEntry { name, zone, cell: row.block, state, started_at: started },
                dial,
            })
        });
        Ok(Self { seq: sheet.seq, whole: sheet.whole, hosts: hosts.collect::<Result<_, _>>()? })
    }
}

/// Brings a list to the connections first, so that nothing is sent by an older word, then to the decisions.
pub fn tell(list: List, endpoints: &EndpointRegistry, engine: &Engine) {
    endpoints.apply(&list);
    let entries = list.hosts.into_iter().map(|h| h.entry).collect();
    engine.post(if list.whole { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) });
}

/// Why a connection to discovery was given up.
#[derive(Debug, PartialEq)]
enum Fault {
    /// It did not come up or broke.
    Lost(&'static str),
    /// Nothing came in time.
    Silent,
    /// An answer began, but was not whole in time.
    Unfinished,
    /// Discovery is there, but does not give the list.
    TurnedAway(StatusCode),
    /// The list cannot be read.
    Unreadable(String),
}

impl Fault {
    /// Its place among the kinds, each of which is told once.
    fn kind(&self) -> usize {
        match self {
            Self::Lost(_) | Self::Silent | Self::Unfinished => 0,
            Self::TurnedAway(_) => 1,
            Self::Unreadable(_) => 2,
        }
    }

    fn failure(&self) -> Failure {
        match self {
            Self::Lost(_) => Failure::Lost,
            Self::Silent => Failure::Silent,
            Self::Unfinished => Failure::Unfinished,
            Self::TurnedAway(_) | Self::Unreadable(_) => Failure::TurnedAway,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(how) => write!(f, "{how}"),
            Self::Silent => write!(f, "silent"),
            Self::Unfinished => write!(f, "an answer was not whole in time"),
            Self::TurnedAway(status) => write!(f, "answered {status}"),
            Self::Unreadable(why) => write!(f, "{why}; the old list stays"),
        }
    }
}

/// Keeps a watch going for ever, wherever discovery is by now; while it is silent the last list stays.
pub async fn watch(
    mut address: watch::Receiver<SocketAddr>, seq: u64, seed: u64, pace: Pace,
    endpoints: Rc<EndpointRegistry>, engine: Rc<Engine>,
) {
    let (mut seq, mut chance) = (Some(seq), fastrand::Rng::with_seed(seed));
    let mut told = [false; 3];
    loop {
        let at = *address.borrow_and_update();
        tokio::select! {
            () = stay(at, seq, pace, &mut chance, &mut told, &endpoints, &engine) => {}
            Ok(()) = address.changed() => {}
        }
        // Guards against lists that count their versions differently: the new place is asked for all it has.
        seq = None;
    }
}

/// Keeps a watch going at one address, for ever.
async fn stay(
    address: SocketAddr, mut seq: Option<u64>, pace: Pace, chance: &mut fastrand::Rng, told: &mut [bool; 3],
    endpoints: &EndpointRegistry, engine: &Engine,
) {
    let mut retry = Retry::new(pace);
    loop {
        let fault = match Connection::connect(address, CONNECT_TIMEOUT).await {
            Ok(mut connection) => {
                calls(&mut connection, address, &mut seq, pace, &mut retry, endpoints, engine).await
            }
            Err(_) => Fault::Lost("no connection"),
        };
        if !std::mem::replace(&mut told[fault.kind()], true) {
            log::write(format_args!("discovery: {fault} (told once)"));
        }
        tokio::time::sleep(retry.failed(fault.failure(), chance.f64())).await;
    }
}

/// One call after another on one connection, until something is wrong with it; tells what.
async fn calls(
    connection: &mut Connection, address: SocketAddr, seq: &mut Option<u64>, pace: Pace, retry: &mut Retry,
    endpoints: &EndpointRegistry, engine: &Engine,
) -> Fault {
    // The first call does not wait: it shows at once whether there is anyone, and brings what was missed.
    let mut wait = Duration::ZERO;
    loop {
        let uri = match seq {
            Some(seq) => format!("/discovery/hosts?after={seq}&wait_ms={}", wait.as_millis()),
            None => "/discovery/hosts".into(),
        };
        let request = Request::get(uri).header("Host", address.to_string()).body(Full::<Bytes>::default());
        let Ok(request) = request else { return Fault::Lost("the call cannot be written") };
        let (begun, whole) = (Instant::now(), retry.whole());
        let limits =
            ExchangeLimits { max_body_bytes: LONGEST, response_timeout: whole, write_deadline: None };
        let answer = timeout(retry.limit(wait), connection.exchange(request, limits)).await;
        let list = match answer {
            Ok(Ok(response)) if response.status() == StatusCode::OK => List::parse(response.body()),
            Ok(Ok(response)) => return Fault::TurnedAway(response.status()),
            Ok(Err(ExchangeError::InvalidResponse)) if begun.elapsed() >= whole => return Fault::Unfinished,
            Ok(Err(_)) => return Fault::Lost("the connection broke"),
            Err(_) => return Fault::Silent,
        };
        // Reading a list and working by it are two steps, and what is due meanwhile comes between.
        yield_now().await;
        match list {
            Ok(list) => {
                // Changes of a lower version are those of an agent that has started anew: what it has besides is asked for.
                let restarted = !list.whole && seq.is_some_and(|known| list.seq < known);
                *seq = (!restarted).then_some(list.seq);
                wait = pace.wait;
                retry.answered();
                tell(list, endpoints, engine);
            }
            Err(error) => return Fault::Unreadable(error.to_string()),
        }
        if !connection.is_reusable().await {
            return Fault::Lost("the connection was closed");
        }
    }
}
