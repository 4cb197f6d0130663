//! Bad clients that send bodies of 60 MB, hundreds of requests at once, against the memory limit of a gateway.
//!
//! The bodies are chunked, one byte in each chunk. A stand-in for the platform kills the gateway once it is over
//! its limit, as the page on deployment says.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: u32 = 2;
const PICK_SERVERS: usize = 10;
/// "32 to 192 MB depending on language and day, and 256 to 1,024 descriptors".
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 512;
const USUAL_CLIENTS: u64 = 10;
/// "Hundreds of requests at once".
const BAD_CLIENTS: u64 = 100;
/// "Bodies of 60 MB".
const BODY_BYTES: usize = 60_000_000;
const DURATION: Duration = Duration::from_secs(12);
const TROUBLE_AT: Duration = Duration::from_secs(3);

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    /// Refused or failed.
    other: AtomicU64,
    /// Requests of usual clients without an answer.
    unanswered: AtomicU64,
    bad_answers: AtomicU64,
    bad_ends: AtomicU64,
    stopped: AtomicBool,
}

fn main() {
    let root = std::env::current_dir().expect("no current folder");
    let case = std::path::PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::create(&case);
    let folder = temporary_folder();
    let servers: Vec<_> = (0..PICK_SERVERS)
        .map(|n| PickServer::start(&record, &format!("s-{n:02}"), Duration::from_millis(90)))
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
                memory_mb: MEMORY_MB,
                sockets: SOCKETS,
                known: list.clone(),
                settings: kelaniya_settings(GATEWAYS, number),
            };
            Gateway::start(&record, &root, &folder, &format!("n{number}"), config)
        })
        .collect();
    let address = gateways[0].address;
    let start = Instant::now();
    let counts = Arc::new(Counts::default());
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|n| {
            let (record, counts) = (record.clone(), counts.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(15 * n));
                usual_client(&record, address, &counts, n)
            })
        })
        .collect();
    if trouble() {
        for n in 0..BAD_CLIENTS {
            let counts = counts.clone();
            thread::spawn(move || {
                thread::sleep(TROUBLE_AT.saturating_sub(start.elapsed()));
                while !counts.stopped.load(SeqCst) {
                    bad_client(address, &counts, n);
                }
            });
        }
    }

    // The platform: over the limit the gateway is killed.
    let limit_kib = MEMORY_MB * 1024;
    let (mut peak_kib, mut killed, mut crashed, mut next_line) = (0, false, false, Duration::ZERO);
    while start.elapsed() < DURATION && !killed && !crashed {
        if let Some(kib) = resident_kib(gateways[0].pid) {
            peak_kib = kib.max(peak_kib);
            if start.elapsed() >= next_line {
                next_line += Duration::from_millis(250);
                record.line(format!("platform: n0 holds {kib} KiB"));
            }
            if kib > limit_kib {
                record.line(format!("platform: n0 holds {kib} KiB, over its {MEMORY_MB} MB: it is killed"));
                gateways[0].signal(SIGKILL);
                killed = true;
            }
        }
        if !killed && let Some(status) = gateways[0].exit_status() {
            record.line(format!("platform: n0 has ended: {status}"));
            crashed = true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    counts.stopped.store(true, SeqCst);
    for client in usual {
        let _ = client.join();
    }
    for gateway in &mut gateways {
        gateway.end(&record);
    }
    let _ = std::fs::remove_dir_all(&folder);
    let get = |count: &AtomicU64| count.load(SeqCst);
    record.line(format!(
        "bad clients: {} answers, {} ends of a connection without one",
        get(&counts.bad_answers),
        get(&counts.bad_ends)
    ));
    record.print(format!(
        "usual clients: {} served, {} refused or failed, {} never answered; n0 held {} KiB at most, limit {limit_kib}; {}",
        get(&counts.served),
        get(&counts.other),
        get(&counts.unanswered),
        peak_kib,
        if killed { "killed for memory" } else if crashed { "crashed" } else { "still running" }
    ));
    if get(&counts.served) < 20 {
        cannot_run(&record, "too few requests are served");
    }
    std::process::exit(i32::from(killed || crashed));
}

/// Sends one request after another on a connection that is kept, until the case stops or the gateway is gone.
fn usual_client(record: &Record, address: SocketAddr, counts: &Counts, number: u64) {
    let Ok(mut client) = Client::connect(address) else { return };
    for n in 0.. {
        if counts.stopped.load(SeqCst) {
            return;
        }
        let id = format!("{:016x}", 0xc0000 + number * 0x1000 + n);
        let request = Request {
            class: "bin-status",
            plan: "large",
            id: &id,
            deadline_ms: 2500,
            customer: 0x200 + number,
            spread: GATEWAYS,
            key: None,
            body: None,
        };
        let mut answer = exchange(&mut client, &request);
        if answer.is_err()
            && let Ok(new) = Client::connect(address)
        {
            // "The client sends that request once more on a new connection."
            client = new;
            answer = exchange(&mut client, &request);
        }
        match answer {
            Ok(answer) if answer.status == 200 => {
                counts.served.fetch_add(1, SeqCst);
                if answer.body != answer_body(&id).as_bytes() {
                    record.line(format!("client: {id} gets a foreign answer"));
                }
            }
            Ok(answer) => {
                counts.other.fetch_add(1, SeqCst);
                record.line(format!("client: {id} answer {}", answer.status));
            }
            Err(error) => {
                counts.unanswered.fetch_add(1, SeqCst);
                record.line(format!("client: {id} never answered: {error}"));
                return;
            }
        }
        thread::sleep(Duration::from_millis(60));
    }
}

fn exchange(client: &mut Client, request: &Request) -> std::io::Result<Message> {
    client.write(&request.bytes())?;
    client.read(Duration::from_secs(4))
}

/// Sends one request with a chunked body of [`BODY_BYTES`], and reads what comes.
fn bad_client(address: SocketAddr, counts: &Counts, number: u64) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        thread::sleep(Duration::from_millis(20));
        return;
    };
    let id = format!("bad-{number}-{:x}", Instant::now().elapsed().as_nanos());
    let head = format!(
        "POST /confirm-pick HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nApi-Plan: small\r\n\
         Api-Customer: {:016x}\r\nReq-Deadline-Ms: 2000\r\nIdempotency-Key: k{number}\r\n\
         Api-Terms: units=1,spread={GATEWAYS},first=0\r\nTransfer-Encoding: chunked\r\n\r\n",
        0x9000 + number
    );
    let block = b"1\r\nx\r\n".repeat(2000);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let mut sent = stream.write_all(head.as_bytes());
    let mut written = 0;
    while sent.is_ok() && written < BODY_BYTES {
        sent = stream.write_all(&block);
        written += block.len();
    }
    match stream.read(&mut [0; 512]) {
        Ok(1..) => counts.bad_answers.fetch_add(1, SeqCst),
        _ => counts.bad_ends.fetch_add(1, SeqCst),
    };
}
