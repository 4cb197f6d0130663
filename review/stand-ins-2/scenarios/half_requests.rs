//! Hundreds of clients stop in the middle of a request and stay, and come again when they are turned away.
//! Usual clients each send one request on a new connection.

use crate::Verdict;
use crate::clients::{self, Ending};
use crate::counter;
use crate::discovery::Agent;
use crate::gateway::{Gateway, Options, TemporaryFolder};
use crate::pick_server::PickServer;
use crate::record::Record;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const PICK_SERVERS: usize = 9;
/// The clients that stop in the middle of a request.
const BAD_CLIENTS: usize = 950;
const BAD_CLIENTS_FROM: Duration = Duration::from_secs(3);
const LOAD_FOR: Duration = Duration::from_secs(15);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest deadline of class `record-read`: half of its give-up time of 1 s.
const DEADLINE: Duration = Duration::from_millis(500);
/// Half a second after its time, and the slack of the rules on sockets.
const GRACE: Duration = Duration::from_millis(550);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    if accept_queue_limit().is_some_and(|limit| limit < BAD_CLIENTS) {
        return Err(format!(
            "net.core.somaxconn is under {BAD_CLIENTS}: the kernel's accept queue is too short"
        ));
    }
    let folder = TemporaryFolder::create().map_err(text)?;
    let agent = Agent::start("n0", record).map_err(text)?;
    for number in 0..PICK_SERVERS {
        let name = format!("t-{number}");
        let server = PickServer::start(&name, Duration::from_millis(60), record).map_err(text)?;
        let hall = ["hall-a", "hall-b", "hall-c"][number % 3];
        agent.add(&name, server.address, hall, number as u32 % 3);
    }
    let options = Options {
        name: "n0",
        discovery: agent.address,
        counter: counter::start().map_err(text)?,
        sockets: 256,
        memory_mb: 192,
        known: &agent.whole_list(),
        settings: SETTINGS,
    };
    let mut gateway = Gateway::start(&folder.0, &options)?;

    let began_at = Instant::now();
    let ended = Arc::new(AtomicBool::new(false));
    let turned_away = Arc::new(AtomicU64::new(0));
    let address = gateway.address;
    let load_record = record.clone();
    let load = thread::spawn(move || send_load(address, began_at, &load_record));
    thread::sleep(BAD_CLIENTS_FROM);
    let mut bad_clients = Vec::new();
    if trouble {
        record.line(format!("{BAD_CLIENTS} clients stop in the middle of a request, from now on"));
        for _ in 0..BAD_CLIENTS {
            let (ended, turned_away) = (ended.clone(), turned_away.clone());
            let bad_client = move || {
                while !ended.load(SeqCst) {
                    if clients::half_request(address, Duration::from_secs(6)).is_ok() {
                        turned_away.fetch_add(1, SeqCst);
                    } else {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            };
            let thread = thread::Builder::new().stack_size(128 * 1024).spawn(bad_client);
            bad_clients.push(thread.map_err(text)?);
        }
    }
    let made = load.join().map_err(|_| "the load failed".to_owned())?;
    ended.store(true, SeqCst);
    let running = gateway.is_running();
    drop(gateway);
    for bad_client in bad_clients {
        let _ = bad_client.join();
    }
    record.line(format!("bad clients: {} times turned away", turned_away.load(SeqCst)));
    if !running {
        return Err("the gateway has ended".into());
    }
    let count = |counted: fn(&Outcome) -> bool| made.iter().filter(|outcome| counted(outcome)).count();
    let lost = count(|outcome| *outcome == Outcome::Lost);
    record.line(format!(
        "usual clients: {} requests: {} answered in time or within 550 ms after it, {} closed unread, \
         {} not connected, {lost} without an answer at {} ms",
        made.len(),
        count(|outcome| *outcome == Outcome::Answered),
        count(|outcome| *outcome == Outcome::Closed),
        count(|outcome| *outcome == Outcome::NotConnected),
        (DEADLINE + GRACE).as_millis(),
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The system's limit of an accept queue; `None` if it is not told.
fn accept_queue_limit() -> Option<usize> {
    std::fs::read_to_string("/proc/sys/net/core/somaxconn").ok()?.trim().parse().ok()
}

/// How a usual client's request ended.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Answered,
    /// Allowed: new connections may be shut unread.
    Closed,
    /// Not taken: the gateway's machine accepted no connection.
    NotConnected,
    /// Neither an answer nor a close by half a second after its time.
    Lost,
}

fn send_load(gateway: std::net::SocketAddr, began_at: Instant, record: &Record) -> Vec<Outcome> {
    let mut threads = Vec::new();
    let mut number: u32 = 0;
    while began_at.elapsed() < LOAD_FOR {
        let id = format!("{:016x}", 0xbe51_0000_0000_u64 + u64::from(number));
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let customer = u64::from(number % 50) + 1;
            let text = clients::safe_request("record-read", "institution", &id, customer, 2, DEADLINE);
            // Watched for longer than the limit, to see what comes too late.
            let Ok(made) = clients::request(gateway, &text, DEADLINE + Duration::from_secs(3)) else {
                record.line(format!("client: {id}: not connected"));
                return Outcome::NotConnected;
            };
            let took = made.ended_at.duration_since(made.sent_at);
            let outcome = match made.ending {
                _ if took > DEADLINE + GRACE => Outcome::Lost,
                Ending::Answer { .. } => Outcome::Answered,
                Ending::Closed => Outcome::Closed,
                Ending::Nothing => Outcome::Lost,
            };
            let verdict = if outcome == Outcome::Lost { ": LOST" } else { "" };
            let sent_at = record.ms(made.sent_at);
            record.line(format!(
                "client: {id}: sent at {sent_at} ms, deadline {} ms, {:?} after {} ms{verdict}",
                DEADLINE.as_millis(),
                made.ending,
                took.as_millis()
            ));
            outcome
        }));
        number += 1;
        let next = began_at + REQUEST_INTERVAL * number;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}

const SETTINGS: &str = r#""classes":[{"name":"tile-read","effect":"idempotent","goal-time-ms":750,"hard-limit-ms":3000,"late-value":0.2,"worth":3},
{"name":"record-read","effect":"idempotent","goal-time-ms":400,"hard-limit-ms":1000,"worth":2},
{"name":"order-copy","effect":"deduplicated","dedup-scope":"zone","window-ms":1500,"goal-time-ms":600,"hard-limit-ms":1500,"worth":2}],
"clients":{"marks-retry":true},"discovery":"pushed",
"extra":{"call-price":0.02,"count-limit-ms":30,"has-counter":true,"trued-up":true,"units-top":6},
"fleet-size":3,"my-number":0,"kinds":["std-2c"],
"load-info":{"fields":["throughput","utilization","backlog"],"source":"inline"},"locality":"hall-a","period-ms":4,
"permissions":{"dial-timeout-ms":250,"keepalive-ms":15000,"max-open":20000,"max-retry-after-ms":1000,"max-streams":32,"may-cancel":true,"most-tries":5,"probes":true,"retry-after":true,"second-copies":false},
"plans":[{"name":"basic","refill":6,"burst":30,"overrun-cost":1,"worth-factor":1.2},{"name":"institution","refill":40,"burst":70,"over-worth":0.2,"worth-factor":1.4}],
"prices":{"cross-zone":0.01,"waste":0.08},
"rules":{"answer-slack-ms":8,"ask-every-ms":10000,"cold-from":0.17,"cold-ms":16000,"drain-grace-ms":2000,"fall-ms":1000,"overload-factor":2},
"weights":"nominal","zones":["hall-a","hall-b","hall-c"]"#;
