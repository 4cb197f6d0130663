//! Usual clients that hold no more than a third of a gateway's descriptors. Some of them write slowly.

mod common;

use common::*;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: u32 = 2;
const PICK_SERVERS: usize = 14;
/// "256 to 1,024 descriptors".
const SOCKETS: u64 = 256;
/// Clients that keep their connection. With the others, at most a third of the descriptors: 85.
const KEEPING_CLIENTS: u64 = 64;
/// Clients that come once, one at a time.
const PASSING_CLIENTS: u64 = 3;
/// Clients that write slowly, on connections that they keep.
const SLOW_CLIENTS: u64 = 6;
/// How long a slow client takes to write a request.
const WRITE_TIME: Duration = Duration::from_millis(1200);
const DURATION: Duration = Duration::from_secs(15);
const DEADLINE_MS: u64 = 2000;

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    /// Refused or failed.
    other: AtomicU64,
    /// Tries of slow clients whose last byte was written and whose connection ended with no answer.
    ended_tries: AtomicU64,
    slow_answered: AtomicU64,
    /// Requests of slow clients that the gateway ended twice: on the first connection and, sent once more, on
    /// a new one.
    lost: AtomicU64,
    unanswered: AtomicU64,
    open: AtomicU64,
    most_open: AtomicU64,
}

impl Counts {
    fn connect(&self, address: SocketAddr) -> Result<Client> {
        let open = self.open.fetch_add(1, SeqCst) + 1;
        self.most_open.fetch_max(open, SeqCst);
        Client::connect(address)
    }

    fn closed(&self) {
        self.open.fetch_sub(1, SeqCst);
    }
}

fn main() {
    let root = std::env::current_dir().expect("no current folder");
    let case = std::path::PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&case);
    let folder = temporary_folder();
    let servers: Vec<_> = (0..PICK_SERVERS)
        .map(|n| PickServer::start(&record, &format!("s-{n:02}"), Duration::from_millis(70)))
        .collect();
    let zones = ["hall-a", "hall-b"];
    let entries: Vec<_> =
        servers.iter().enumerate().map(|(n, s)| s.entry(zones[n % 2], n as u32 % 2)).collect();
    let list = whole_list(1, &entries);
    let discovery = start_discovery(1, list.clone());
    let counter = start_counter();
    let mut gateways: Vec<_> = (0..GATEWAYS)
        .map(|number| {
            let config = Config {
                discovery,
                counter,
                memory_mb: 192,
                sockets: SOCKETS,
                known: list.clone(),
                settings: kelaniya_settings(GATEWAYS, number),
            };
            Gateway::start(&record, &root, &folder, &format!("n{number}"), config)
        })
        .collect();
    let address = gateways[0].address;
    let counts = Arc::new(Counts::default());
    let start = Instant::now();
    let end = start + DURATION;
    let mut clients = Vec::new();
    for n in 0..KEEPING_CLIENTS + PASSING_CLIENTS + SLOW_CLIENTS {
        let (record, counts) = (record.clone(), counts.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(12 * n));
            if n < KEEPING_CLIENTS {
                keeping_client(&record, address, &counts, n, end);
            } else if n < KEEPING_CLIENTS + PASSING_CLIENTS {
                passing_client(&record, address, &counts, n, end);
            } else {
                thread::sleep(Duration::from_secs(2));
                slow_client(&record, address, &counts, n, end);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let ended = gateways[0].exit_status();
    for gateway in &mut gateways {
        gateway.end(&record);
    }
    let _ = std::fs::remove_dir_all(&folder);
    let get = |count: &AtomicU64| count.load(SeqCst);
    record.print(format!(
        "usual requests: {} served, {} refused or failed, {} without an answer after they were sent once more; \
         slow ones: {} answered, {} tries ended by the gateway, {} lost (both tries ended); \
         {} connections of clients at most, a third of the descriptors is {}",
        get(&counts.served),
        get(&counts.other),
        get(&counts.unanswered),
        get(&counts.slow_answered),
        get(&counts.ended_tries),
        get(&counts.lost),
        get(&counts.most_open),
        SOCKETS / 3
    ));
    if get(&counts.served) < 100 || ended.is_some() || get(&counts.most_open) > SOCKETS / 3 {
        cannot_run(&record, "too few requests are served, or clients hold too many connections");
    }
    std::process::exit(i32::from(get(&counts.lost) > 0));
}

/// The id of the request number `n` of a client.
fn id(client: u64, n: u64) -> String {
    format!("{:016x}", 0xe00000 + client * 0x1000 + n)
}

fn status_request(client: u64, id: &str) -> Vec<u8> {
    Request {
        class: "bin-status",
        plan: "large",
        id,
        deadline_ms: DEADLINE_MS,
        customer: 0x400 + client,
        spread: GATEWAYS,
        key: None,
        body: None,
    }
    .bytes()
}

fn exchange(client: &mut Client, bytes: &[u8]) -> Result<Message> {
    client.write(bytes)?;
    client.read(Duration::from_secs(4))
}

impl Counts {
    fn count(&self, record: &Record, id: &str, answer: &Result<Message>) {
        match answer {
            Ok(answer) if answer.status == 200 => self.served.fetch_add(1, SeqCst),
            Ok(answer) => {
                record.line(format!("client: {id} answer {}", answer.status));
                self.other.fetch_add(1, SeqCst)
            }
            Err(error) => {
                record.line(format!("client: {id} no answer: {error}"));
                self.unanswered.fetch_add(1, SeqCst)
            }
        };
    }
}

/// Sends one request after another on a connection that is kept. Where the gateway has ended it between
/// requests, the request is sent once more on a new one.
fn keeping_client(record: &Record, address: SocketAddr, counts: &Counts, number: u64, end: Instant) {
    let Ok(mut client) = counts.connect(address) else { return };
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = id(number, n);
        let bytes = status_request(number, &id);
        let mut answer = exchange(&mut client, &bytes);
        if answer.is_err() {
            counts.closed();
            let Ok(new) = counts.connect(address) else { return };
            client = new;
            answer = exchange(&mut client, &bytes);
        }
        counts.count(record, &id, &answer);
        thread::sleep(Duration::from_millis(600));
    }
}

/// Sends each request on a new connection.
fn passing_client(record: &Record, address: SocketAddr, counts: &Counts, number: u64, end: Instant) {
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = id(number, n);
        if let Ok(mut client) = counts.connect(address) {
            let answer = exchange(&mut client, &status_request(number, &id));
            counts.count(record, &id, &answer);
        }
        counts.closed();
        thread::sleep(Duration::from_millis(200));
    }
}

/// Sends a request that is written at once, then one of which the second half follows [`WRITE_TIME`] after the
/// first, and so on, on a connection that is kept. Where the gateway ends it, the request is sent once more on a
/// new one.
fn slow_client(record: &Record, address: SocketAddr, counts: &Counts, number: u64, end: Instant) {
    let Ok(mut client) = counts.connect(address) else { return };
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let quick = id(number, 2 * n);
        let bytes = status_request(number, &quick);
        let mut answer = exchange(&mut client, &bytes);
        if answer.is_err() {
            counts.closed();
            let Ok(new) = counts.connect(address) else { return };
            client = new;
            answer = exchange(&mut client, &bytes);
        }
        counts.count(record, &quick, &answer);
        let slow = id(number, 2 * n + 1);
        if slow_try(record, &mut client, counts, number, &slow) == SlowTry::Ended {
            counts.closed();
            let Ok(new) = counts.connect(address) else { return };
            client = new;
            if slow_try(record, &mut client, counts, number, &slow) == SlowTry::Ended {
                counts.lost.fetch_add(1, SeqCst);
                record.line(format!("slow client: {slow} sent once more, ended again: LOST"));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
}

#[derive(PartialEq)]
enum SlowTry {
    Answered,
    /// The last byte was written, and the gateway has ended the connection with no answer.
    Ended,
    /// The connection had ended when the first half, or the second, was to be written.
    NotWritten,
}

fn slow_try(record: &Record, client: &mut Client, counts: &Counts, number: u64, id: &str) -> SlowTry {
    let key = format!("key-{id}");
    let body = [b'x'; 2000];
    let bytes = Request {
        class: "confirm-pick",
        plan: "large",
        id,
        deadline_ms: DEADLINE_MS,
        customer: 0x400 + number,
        spread: GATEWAYS,
        key: Some(&key),
        body: Some(&body),
    }
    .bytes();
    let (first, second) = bytes.split_at(bytes.len() / 2);
    if client.has_ended() {
        return SlowTry::NotWritten;
    }
    let started = Instant::now();
    let mut written = client.write(first);
    if trouble() {
        thread::sleep(WRITE_TIME);
    }
    written = written.and_then(|()| client.write(second));
    let took = started.elapsed().as_secs_f64();
    match (written, client.read(Duration::from_secs(4))) {
        (_, Ok(answer)) => {
            counts.slow_answered.fetch_add(1, SeqCst);
            record.line(format!("slow client: {id} written in {took:.3} s, answer {}", answer.status));
            SlowTry::Answered
        }
        (Ok(()), Err(error)) => {
            counts.ended_tries.fetch_add(1, SeqCst);
            record.line(format!("slow client: {id} written in {took:.3} s, connection ended: {error}"));
            SlowTry::Ended
        }
        (Err(error), Err(_)) => {
            record.line(format!("slow client: {id} could not be written: {error}"));
            SlowTry::NotWritten
        }
    }
}
