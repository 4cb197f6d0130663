//! The file that says what to play: its form and its checks. Every key must be there unless it says otherwise, and
//! no other key may be.

use ryefront_policy::{DedupScope, Idempotency};
use serde::Deserialize;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An experiment file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// It cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Something in it is not as it should be.
    #[error("{}:{line}: {key}: {problem}", file.display())]
    Bad {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The key, with the tables it is in.
        key: String,
        /// What was found and what was expected.
        problem: String,
    },
}

/// What to play. Times are in milliseconds (`_ms`) or seconds (`_s`), shares are parts of 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The seed where the command names none.
    pub seed: u64,
    /// For how long clients send requests.
    pub seconds: f64,
    /// Requests that arrive before this have passed are played but not counted.
    pub settle_s: f64,
    /// How many there are of what.
    pub fleet: Fleet,
    /// How much of that is played. Not required: all of it.
    #[serde(default)]
    pub scale: Scale,
    /// Ways between machines.
    pub network: Network,
    /// What clients ask.
    pub load: Load,
    /// The pick servers.
    pub servers: Servers,
    /// The shared counter.
    pub counter: Counter,
    /// Discovery.
    pub discovery: Discovery,
    /// Servers that are replaced. Not required: none are.
    pub release: Option<Release>,
    /// The request classes.
    pub class: Vec<Class>,
    /// The plans.
    pub plan: Vec<Plan>,
}

/// How many there are of what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Gateways.
    pub gateways: u32,
    /// Pick servers.
    pub servers: u32,
    /// Regions; gateways that follow one another in number share one.
    pub regions: u32,
    /// Zones in each region.
    pub zones: u32,
}

/// How much is played of a fleet that does not fit into memory or time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scale {
    /// So many gateways; servers, tenants, requests and the counter in proportion. Not required: all.
    pub gateways: Option<u32>,
    /// So many gateways keep the real table of connections beside their decisions. Not required: all.
    pub tables: Option<u32>,
}

/// One-way times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub zone_ms: f64,
    /// Between zones of a region.
    pub region_ms: f64,
    /// Between regions.
    pub cross_region_ms: f64,
    /// The share by which a way may take longer.
    pub jitter: f64,
}

/// What clients ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries of all clients together.
    pub requests_per_s: f64,
    /// By this share the rate goes up and down.
    pub swing: f64,
    /// How long one such wave is.
    pub wave_s: f64,
    /// Tenants.
    pub tenants: u32,
    /// What tenants ask differs by up to this factor from their plans' rates, evenly.
    pub use_of_plan: [f64; 2],
    /// The share of tenants that ask much more than that ...
    pub heavy_share: f64,
    /// ... and by how much.
    pub heavy_times: [f64; 2],
    /// Units of a request, whole numbers, evenly.
    pub units: [u32; 2],
    /// The most further tries of a refused request.
    pub retries: u32,
    /// The share of refusals that are tried again.
    pub retry_share: f64,
    /// Clients wait at least so long before; longer where a refusal says so.
    pub backoff_ms: [f64; 2],
    /// The longest advice that clients follow.
    pub longest_advice_ms: f64,
    /// The share of requests whose client leaves before its time.
    pub impatient: f64,
}

/// The pick servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Requests that a server works on at once.
    pub cores: u32,
    /// How fast a server is, evenly.
    pub speed: [f64; 2],
    /// Requests that may wait at a server; further ones are turned away.
    pub queue: u32,
    /// The share of requests that end with an error.
    pub error_rate: f64,
    /// Servers of a cell.
    pub cell: u32,
    /// The share of its capacity that a server starts with.
    pub cold_share: f64,
    /// How long it takes to be warm.
    pub cold_s: f64,
    /// A cold server falls over above this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... judged over this time.
    pub fall_s: f64,
    /// Round trips that a new connection takes.
    pub handshake_trips: u32,
    /// Work that a new connection takes.
    pub handshake_ms: f64,
    /// A connection is kept idle for so long.
    pub idle_s: f64,
}

/// The shared counter.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counter {
    /// Parts, among which names are divided.
    pub parts: u32,
    /// Calls a second of all parts together.
    pub per_s: f64,
    /// A call that would wait longer is turned away.
    pub longest_wait_ms: f64,
    /// How soon gateways want an answer; they give up after four times that.
    pub timeout_ms: f64,
}

/// Discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Changes are gathered for so long.
    pub period_ms: f64,
    /// How long until they are told.
    pub notice_ms: f64,
    /// Up to so much later at one gateway than at another.
    pub spread_ms: f64,
}

/// Servers that are replaced while traffic goes on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// When it begins.
    pub at_s: f64,
    /// How long until the last one drains.
    pub over_s: f64,
    /// The share of all servers.
    pub share: f64,
    /// How long after its drain a server takes nothing more.
    pub grace_s: f64,
    /// How long after that the new one is there, cold.
    pub boot_s: f64,
}

/// What a repeat may do, as the files say it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Safe at any time.
    Safe,
    /// Dropped by servers that share a memory.
    Keyed,
    /// Never.
    Unsafe,
}

/// One request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Its mean work; it is drawn from an exponential distribution.
    pub work_ms: f64,
    /// An answer after this is late.
    pub aim_ms: f64,
    /// Clients wait so long.
    pub deadline_ms: f64,
    /// What a repeat may do.
    pub effect: Repeats,
    /// For how long a keyed repeat is dropped, at all servers of a zone.
    pub window_ms: f64,
    /// What an answer is worth.
    pub worth: f64,
}

/// One plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the tenants.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// The most units at once, in seconds of the rate.
    pub burst_s: f64,
    /// The share of the gateways that a tenant's requests come in through.
    pub spread: [f64; 2],
    /// The share of its worth that a request beyond the quota earns.
    pub over_worth: f64,
    /// The share of its worth that a request beyond the quota costs.
    pub over_cost: f64,
}

impl Class {
    /// The class as gateways are told of it.
    pub(crate) fn of_settings(&self) -> ryefront_policy::RequestClass {
        let effect = match self.effect {
            Repeats::Safe => Idempotency::Idempotent,
            Repeats::Keyed => Idempotency::WithKey,
            Repeats::Unsafe => Idempotency::NonIdempotent,
        };
        ryefront_policy::RequestClass {
            name: self.name.as_str().into(),
            latency_objective: self.aim_ms,
            idempotency: effect,
            dedup_scope: DedupScope::Zone,
            dedup_window: self.window_ms,
            priority_weight: self.worth,
            late_weight_fraction: 0.0,
        }
    }
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// When it cannot be read or a value in it cannot be used.
    pub fn read(file: &Path) -> Result<Self, ExperimentError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ExperimentError::Unreadable { file: file.into(), source })?;
        Self::parse(&text, file)
    }

    /// Reads an experiment from text; `file` is named in errors.
    ///
    /// # Errors
    /// When a value cannot be used.
    pub fn parse(text: &str, file: &Path) -> Result<Self, ExperimentError> {
        let bad = |at: usize, key: String, problem: String| {
            let line = text[..at.min(text.len())].matches('\n').count() + 1;
            ExperimentError::Bad { file: file.into(), line, key, problem }
        };
        let table = DeTable::parse(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            bad(at, key_on_line(text, at), format!("{}; expected TOML", e.message()))
        })?;
        let experiment: Self = toml::from_str(text).map_err(|e| {
            let span = e.span().unwrap_or(0..0);
            let mut key = key_at(table.get_ref(), &span);
            if let Some(field) = e.message().strip_prefix("missing field `").and_then(|m| m.split('`').next())
            {
                key = if key.is_empty() { field.into() } else { format!("{key}.{field}") };
            }
            bad(span.start, key, e.message().replace('\n', " "))
        })?;
        let Some((key, problem)) = experiment.fault() else { return Ok(experiment) };
        Err(bad(place_of(&table, &key), key, problem))
    }

    /// The first figure out of range: its key, and what is expected.
    fn fault(&self) -> Option<(String, String)> {
        const NONE: f64 = 0.0;
        const MORE: f64 = f64::MIN_POSITIVE;
        const MANY: f64 = 1e9;
        let mut figures: Vec<(String, f64, f64, f64)> = Vec::new();
        let mut range = |key: &str, value: f64, least: f64, most: f64| {
            figures.push((key.to_owned(), value, least, most));
        };
        range("seconds", self.seconds, 0.1, 86_400.0);
        range("settle_s", self.settle_s, NONE, self.seconds);
        let Fleet { gateways, servers, regions, zones } = self.fleet;
        range("fleet.gateways", gateways.into(), 1.0, 100_000.0);
        range("fleet.servers", servers.into(), 1.0, 1e6);
        range("fleet.regions", regions.into(), 1.0, gateways.into());
        range("fleet.zones", zones.into(), 1.0, 100.0);
        range("scale.gateways", self.scale.gateways.unwrap_or(1).into(), 1.0, 100_000.0);
        let network = &self.network;
        range("network.zone_ms", network.zone_ms, NONE, 10_000.0);
        range("network.region_ms", network.region_ms, NONE, 10_000.0);
        range("network.cross_region_ms", network.cross_region_ms, NONE, 10_000.0);
        range("network.jitter", network.jitter, NONE, 10.0);
        let load = &self.load;
        range("load.requests_per_s", load.requests_per_s, MORE, MANY);
        range("load.swing", load.swing, NONE, 1.0);
        range("load.wave_s", load.wave_s, MORE, MANY);
        range("load.tenants", load.tenants.into(), 1.0, 1e8);
        range("load.heavy_share", load.heavy_share, NONE, 1.0);
        range("load.retry_share", load.retry_share, NONE, 1.0);
        range("load.longest_advice_ms", load.longest_advice_ms, NONE, 60_000.0);
        range("load.impatient", load.impatient, NONE, 1.0);
        range("load.retries", load.retries.into(), NONE, 100.0);
        let servers = &self.servers;
        range("servers.cores", servers.cores.into(), 1.0, 10_000.0);
        range("servers.error_rate", servers.error_rate, NONE, 1.0);
        range("servers.cell", servers.cell.into(), 1.0, 1e6);
        range("servers.cold_share", servers.cold_share, 0.01, 1.0);
        range("servers.cold_s", servers.cold_s, 0.001, 86_400.0);
        range("servers.fall_multiple", servers.fall_multiple, MORE, 1000.0);
        range("servers.fall_s", servers.fall_s, 0.001, 3600.0);
        range("servers.handshake_trips", servers.handshake_trips.into(), NONE, 10.0);
        range("servers.handshake_ms", servers.handshake_ms, NONE, 10_000.0);
        range("servers.idle_s", servers.idle_s, NONE, 86_400.0);
        range("counter.parts", self.counter.parts.into(), 1.0, 100_000.0);
        range("counter.per_s", self.counter.per_s, MORE, MANY);
        range("counter.longest_wait_ms", self.counter.longest_wait_ms, NONE, 60_000.0);
        range("counter.timeout_ms", self.counter.timeout_ms, MORE, 60_000.0);
        range("discovery.period_ms", self.discovery.period_ms, 1.0, 60_000.0);
        range("discovery.notice_ms", self.discovery.notice_ms, NONE, 60_000.0);
        range("discovery.spread_ms", self.discovery.spread_ms, NONE, 60_000.0);
        if let Some(release) = &self.release {
            range("release.at_s", release.at_s, NONE, self.seconds);
            range("release.over_s", release.over_s, NONE, self.seconds);
            range("release.share", release.share, NONE, 1.0);
            range("release.grace_s", release.grace_s, NONE, 3600.0);
            range("release.boot_s", release.boot_s, NONE, 3600.0);
        }
        let mut spans = vec![
            ("load.use_of_plan".to_owned(), load.use_of_plan, MORE, 1000.0),
            ("load.heavy_times".to_owned(), load.heavy_times, MORE, 1000.0),
            ("load.units".to_owned(), load.units.map(f64::from), 1.0, 1000.0),
            ("load.backoff_ms".to_owned(), load.backoff_ms, NONE, 60_000.0),
            ("servers.speed".to_owned(), servers.speed, 0.01, 100.0),
        ];
        range("class", self.class.len() as f64, 1.0, 100_000.0);
        range("plan", self.plan.len() as f64, 1.0, 10_000.0);
        for (n, class) in self.class.iter().enumerate() {
            range(&format!("class.{n}.share"), class.share, MORE, MANY);
            range(&format!("class.{n}.work_ms"), class.work_ms, MORE, 60_000.0);
            range(&format!("class.{n}.aim_ms"), class.aim_ms, MORE, class.deadline_ms);
            range(&format!("class.{n}.deadline_ms"), class.deadline_ms, 1.0, 600_000.0);
            range(&format!("class.{n}.window_ms"), class.window_ms, NONE, 600_000.0);
            range(&format!("class.{n}.worth"), class.worth, MORE, MANY);
        }
        for (n, plan) in self.plan.iter().enumerate() {
            range(&format!("plan.{n}.share"), plan.share, MORE, MANY);
            range(&format!("plan.{n}.burst_s"), plan.burst_s, 0.1, 3600.0);
            range(&format!("plan.{n}.over_worth"), plan.over_worth, NONE, 1000.0);
            range(&format!("plan.{n}.over_cost"), plan.over_cost, NONE, 1000.0);
            range(&format!("plan.{n}.rate"), plan.rate, MORE, MANY);
            spans.push((format!("plan.{n}.spread"), plan.spread, NONE, 1.0));
        }
        let figures = figures.into_iter().find(|(_, value, least, most)| !(*least..=*most).contains(value));
        if let Some((key, value, least, most)) = figures {
            let least = if least == MORE { "above 0".into() } else { format!("from {least}") };
            return Some((key, format!("found {value}; expected a number {least}, at most {most}")));
        }
        let fits = |[low, high]: [f64; 2], least, most| least <= low && low <= high && high <= most;
        let span = spans.into_iter().find(|(_, span, least, most)| !fits(*span, *least, *most));
        span.map(|(key, [low, high], least, most)| {
            let least = if least == MORE { "above 0".into() } else { format!("from {least}") };
            let expected = format!("expected two numbers {least}, at most {most}, the lesser first");
            (key, format!("found [{low}, {high}]; {expected}"))
        })
    }
}

/// What stands before the `=` on the line of a position.
fn key_on_line(text: &str, at: usize) -> String {
    let start = text[..at.min(text.len())].rfind('\n').map_or(0, |n| n + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    line.split('=').next().unwrap_or_default().trim().to_owned()
}

/// The dotted key of the innermost entry that a span lies in.
fn key_at(table: &DeTable, span: &Range<usize>) -> String {
    let inside = |outer: &Range<usize>| outer.start <= span.start && span.end <= outer.end;
    let mut found = String::new();
    for (key, value) in table.iter() {
        let below = deeper(value, span);
        if below.is_some() || inside(&key.span()) || inside(&value.span()) {
            found = key.get_ref().to_string();
            if let Some(below) = below.filter(|b| !b.is_empty()) {
                found = format!("{found}.{below}");
            }
        }
    }
    found
}

/// The key within a value that a span lies in, if it lies in one.
fn deeper(value: &Spanned<DeValue>, span: &Range<usize>) -> Option<String> {
    match value.get_ref() {
        DeValue::Table(table) => Some(key_at(table, span)).filter(|k| !k.is_empty()),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(n, item)| {
            let below = deeper(item, span);
            let within = item.span().start <= span.start && span.end <= item.span().end;
            match below {
                Some(below) => Some(format!("{n}.{below}")),
                None => within.then(|| n.to_string()),
            }
        }),
        _ => None,
    }
}

/// Where the value of a dotted key stands, or the nearest that holds it.
fn place_of(table: &Spanned<DeTable>, key: &str) -> usize {
    let mut steps = key.split('.');
    let Some(mut value) = steps.next().and_then(|first| table.get_ref().get(first)) else { return 0 };
    for step in steps {
        let next = match value.get_ref() {
            DeValue::Table(table) => table.get(step),
            DeValue::Array(array) => step.parse::<usize>().ok().and_then(|n| array.get(n)),
            _ => None,
        };
        let Some(next) = next else { break };
        value = next;
    }
    value.span().start
}
