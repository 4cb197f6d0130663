//! A soak of the shutdown: real gateways are told to end under load and killed as early as the protocol allows, while
//! clients use their open connections until then. Each seed draws another scenario. `SOAK_SEEDS=1-60` plays others than
//! the few of the usual run.

#[path = "../common/mod.rs"]
mod common;

use common::{Client, Counter, Discovery, Do, Endpoint, Gateway, Mood, Setup, ok, request, row};
use fastrand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
const GRACE: Duration = Duration::from_millis(700);
/// The longest deadline is counted as this where it is longer.
const LONGEST_COUNTED: Duration = Duration::from_millis(3000);
/// Clients send up to this long before the kill: what comes later finds no gateway, and a closed connection shows no end
/// before the time is over.
const LAST_SEND: Duration = Duration::from_millis(5);
/// So many scenarios are played at a time.
const AT_ONCE: usize = 3;

/// What one seed draws.
#[derive(Debug)]
struct Scenario {
    seed: u64,
    deadline: Duration,
    clients: usize,
    /// Clients that ask once and stay, some of which come while the gateway ends.
    crowd: usize,
    sockets: usize,
    /// How many of the endpoints hang from SIGTERM on.
    hung: usize,
    endpoints: usize,
    /// Answers take up to this share of the deadline.
    slowness: f64,
    /// New connections go on coming for this long after SIGTERM.
    arrivals: Duration,
    /// Signals after the first SIGTERM: when, and whether SIGTERM or SIGHUP.
    signals: Vec<(Duration, bool)>,
    counter: Mood,
    faults: String,
}

impl Scenario {
    fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let crowd = if random.u8(0..3) == 0 { random.usize(20..60) } else { 0 };
        let endpoints = random.usize(2..6);
        let moods = [Mood::Adds, Mood::Adds, Mood::Late(20), Mood::Silent, Mood::Busy];
        let faults = ["", "", "recv=EINTR/20;send=EINTR/20", "accept=ECONNABORTED/50;short=100"];
        let mut signals = Vec::new();
        for _ in 0..random.usize(0..25) {
            signals.push((Duration::from_millis(random.u64(0..1500)), random.bool()));
        }
        Self {
            seed,
            deadline: Duration::from_millis([300, 500, 900, 2000, 4000][random.usize(0..5)]),
            clients: random.usize(4..16),
            crowd,
            sockets: if crowd > 0 { 160 } else { 1024 },
            hung: random.usize(0..=endpoints),
            endpoints,
            slowness: random.f64(),
            arrivals: Duration::from_millis(random.u64(200..400)),
            signals,
            counter: moods[random.usize(0..moods.len())],
            faults: if random.bool() {
                format!("seed={seed};{}", faults[random.usize(0..faults.len())])
            } else {
                String::new()
            },
        }
    }

    /// How long after SIGTERM SIGKILL may come.
    fn kill_after(&self) -> Duration {
        self.deadline.min(LONGEST_COUNTED) + GRACE
    }
}

/// How a request that a client sent ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ended {
    Answered,
    /// The connection was kept from an earlier request, and closed with no answer: the request is sent once more.
    Crossed,
    /// A new connection was closed with no answer.
    ClosedNew,
    /// Nothing had come when the gateway was killed.
    Unanswered,
}

#[derive(Default)]
struct Ledger {
    ended: Mutex<Vec<Sent>>,
}

/// A request that a client sent.
struct Sent {
    id: String,
    /// So long before the kill.
    before_kill: Duration,
    is_new: bool,
    ended: Ended,
}

impl Ledger {
    fn note(&self, text: &str, before_kill: Duration, is_new: bool, ended: Ended) {
        let id = text.lines().find_map(|line| line.strip_prefix("Req-Id: ")).expect("an id").to_owned();
        self.ended.lock().expect("lock").push(Sent { id, before_kill, is_new, ended });
    }

    fn count(&self, ended: Ended) -> usize {
        self.ended.lock().expect("lock").iter().filter(|sent| sent.ended == ended).count()
    }
}

/// Sends one request on a connection and tells how it ended.
async fn exchange(client: &mut Client, is_new: bool, text: &str, kill: Instant) -> Ended {
    let closed = if is_new { Ended::ClosedNew } else { Ended::Crossed };
    if client.0.write_all(text.as_bytes()).await.is_err() {
        return closed;
    }
    match timeout_at(kill, common::hear(&mut client.0)).await {
        Ok(Some(_)) => Ended::Answered,
        // Whatever the kill itself closes was unanswered then.
        Ok(None) if Instant::now() >= kill => Ended::Unanswered,
        Ok(None) => closed,
        Err(_) => Ended::Unanswered,
    }
}

struct Play {
    at: SocketAddr,
    ledger: Arc<Ledger>,
    deadline: Duration,
    /// No new connections from then on.
    last_arrival: Instant,
    kill: Instant,
}

impl Play {
    /// A client that asks again and again, on its open connection as long as it has one.
    async fn ask(&self, mut random: Rng) {
        let mut kept: Option<Client> = None;
        while Instant::now() + LAST_SEND < self.kill {
            let is_new = kept.is_none();
            if is_new && Instant::now() >= self.last_arrival {
                return;
            }
            let mut client = match kept.take() {
                Some(client) => client,
                None => match TcpStream::connect(self.at).await {
                    Ok(stream) => Client(tokio::io::BufReader::new(stream)),
                    Err(_) => return,
                },
            };
            let class = ["look", "save", "order"][random.usize(0..3)];
            let body = if class == "look" { "" } else { "body" };
            let text = request(class, self.deadline.as_millis() as u64, "", body);
            let before_kill = self.kill.saturating_duration_since(Instant::now());
            let ended = exchange(&mut client, is_new, &text, self.kill).await;
            self.ledger.note(&text, before_kill, is_new, ended);
            // What crossed a close comes again on a new connection, as a request of its own.
            if ended == Ended::Answered && random.u8(0..8) > 0 {
                kept = Some(client);
            }
            sleep(Duration::from_millis(random.u64(0..40))).await;
        }
    }

    /// A client that asks once and stays, then asks on its open connection as late as it can.
    async fn stay(&self, mut random: Rng) {
        let Ok(stream) = TcpStream::connect(self.at).await else { return };
        let mut client = Client(tokio::io::BufReader::new(stream));
        let text = || request("look", self.deadline.as_millis() as u64, "", "");
        for is_new in [true, false] {
            if Instant::now() + LAST_SEND >= self.kill {
                return;
            }
            let text = text();
            let before_kill = self.kill.saturating_duration_since(Instant::now());
            let ended = exchange(&mut client, is_new, &text, self.kill).await;
            self.ledger.note(&text, before_kill, is_new, ended);
            if ended != Ended::Answered {
                return;
            }
            let rest = self.kill.saturating_duration_since(Instant::now()).mul_f64(random.f64());
            sleep(rest).await;
        }
    }
}

/// Plays a scenario; tells what went wrong, and how many requests were sent, and how many crossed a close.
async fn play(scenario: &Scenario) -> (Vec<String>, usize, usize) {
    let Scenario { seed, endpoints, .. } = *scenario;
    let mut servers = Vec::new();
    for n in 0..endpoints {
        let late = scenario.deadline.mul_f64(0.8 * scenario.slowness * n as f64 / endpoints as f64);
        servers.push(Endpoint::start(&[Do::SayLater(late.as_millis() as u64, ok("x"))]).await);
    }
    let rows: Vec<_> =
        servers.iter().enumerate().map(|(n, b)| row(&format!("b{n}"), b.at, "in_service")).collect();
    let (discovery, counter) = (Discovery::start().await, Counter::start(scenario.counter).await);
    let setup =
        Setup { rate: 100_000.0, burst: 100_000.0, sockets: scenario.sockets, ..Setup::knowing(&rows) };
    let mut gateway = Gateway::start(discovery.at, counter.at, &setup.failing(&scenario.faults)).await;

    let lead = Duration::from_millis(400);
    let term = Instant::now() + lead;
    let kill = term + scenario.kill_after();
    let ledger = Arc::<Ledger>::default();
    let mut tasks = Vec::new();
    for n in 0..scenario.clients + scenario.crowd {
        let random = Rng::with_seed(seed * 1000 + n as u64);
        let play = Play {
            at: gateway.at,
            ledger: ledger.clone(),
            deadline: scenario.deadline,
            last_arrival: term + scenario.arrivals,
            kill,
        };
        let crowd = n >= scenario.clients;
        let begin = Instant::now() + lead.mul_f64(if crowd { 1.2 * n as f64 / 70.0 } else { 0.0 });
        tasks.push(tokio::spawn(async move {
            sleep_until(begin).await;
            if crowd { play.stay(random).await } else { play.ask(random).await }
        }));
    }
    sleep_until(term).await;
    for server in &servers[..scenario.hung] {
        *server.deeds.lock().expect("lock") = vec![Do::Hang];
    }
    gateway.terminate();
    let mut signals = scenario.signals.clone();
    signals.sort();
    let mut ended = None;
    for (after, is_term) in signals {
        tokio::select! {
            status = gateway.ended() => {
                ended = Some(status);
                break;
            }
            () = sleep_until((term + after).min(kill)) => {}
        }
        if is_term { gateway.terminate() } else { gateway.hang_up() }
    }
    if ended.is_none() {
        ended = timeout_at(kill, gateway.ended()).await.ok();
    }
    sleep_until(kill).await;
    drop(gateway);
    let mut wrong = Vec::new();
    for task in tasks {
        if let Err(error) = task.await {
            wrong.push(format!("a client: {error}"));
        }
    }
    if let Some(status) = ended.filter(|status| status.code() != Some(0)) {
        wrong.push(format!("ended with {status}"));
    }
    wrong.extend(violations(&ledger, &servers));
    let sent = ledger.ended.lock().expect("lock").len();
    (wrong, sent, ledger.count(Ended::Crossed))
}

/// Requests that were lost, and such that ran twice though they may not.
fn violations(ledger: &Ledger, servers: &[Endpoint]) -> Vec<String> {
    let mut heard = HashMap::<String, (String, usize)>::new();
    for server in servers {
        for message in server.heard.lock().expect("lock").iter() {
            let entry = heard.entry(message.headers["req-id"].clone()).or_insert((message.line.clone(), 0));
            entry.1 += 1;
        }
    }
    let mut wrong = Vec::new();
    for Sent { id, before_kill, is_new, ended } in ledger.ended.lock().expect("lock").iter() {
        let forwarded = heard.contains_key(id);
        let is_lost = match ended {
            Ended::Answered => false,
            Ended::Crossed => forwarded,
            Ended::ClosedNew | Ended::Unanswered => true,
        };
        if is_lost {
            wrong.push(format!(
                "{id}: {ended:?}, sent {before_kill:?} before the kill, on a new connection: {is_new}, \
                 forwarded: {forwarded}"
            ));
        }
    }
    let twice = heard.iter().filter(|(_, (line, count))| line.contains("/order/") && *count > 1);
    wrong.extend(twice.map(|(id, (line, count))| format!("{id}: {line} heard {count} times")));
    wrong
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdowns_under_load_lose_nothing() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-12".into());
    let (first, last) = seeds.split_once('-').expect("SOAK_SEEDS: FIRST-LAST");
    let seeds: Vec<u64> = (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect();
    let (mut failed, mut sent, mut crossed) = (Vec::new(), 0, 0);
    for seeds in seeds.chunks(AT_ONCE) {
        let tasks: Vec<_> = seeds
            .iter()
            .map(|seed| {
                let scenario = Scenario::draw(*seed);
                tokio::spawn(async move { (play(&scenario).await, scenario) })
            })
            .collect();
        for task in tasks {
            let ((wrong, count, crossings), scenario) = task.await.expect("a scenario");
            println!(
                "seed {}: {count} requests, {crossings} crossed a close, {} wrong",
                scenario.seed,
                wrong.len()
            );
            (sent, crossed) = (sent + count, crossed + crossings);
            if !wrong.is_empty() {
                failed.push(format!("{scenario:?}: {wrong:#?}"));
            }
        }
    }
    println!("{sent} requests, {crossed} crossed a close, {} scenarios failed", failed.len());
    assert!(sent > 0 && failed.is_empty(), "{}", failed.join("\n"));
}
