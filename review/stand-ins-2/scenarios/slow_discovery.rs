//! Discovery is slow: each answer of the agents comes late. Then two pick servers begin to drain.

use crate::Verdict;
use crate::clients::{self, Ending};
use crate::counter;
use crate::discovery::Agent;
use crate::gateway::{Gateway, Options, TemporaryFolder};
use crate::pick_server::PickServer;
use crate::record::Record;
use std::thread;
use std::time::{Duration, Instant};

const PICK_SERVERS: usize = 10;
const GATEWAYS: usize = 2;
/// How late each answer of discovery is.
const LATE: Duration = Duration::from_millis(400);
/// When discovery becomes slow, and when the pick servers begin to drain, from the start of the load.
const SLOW_FROM: Duration = Duration::from_secs(3);
const DRAIN_AT: Duration = Duration::from_secs(5);
const LOAD_FOR: Duration = Duration::from_secs(25);
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// A change counts as told at the latest so long after discovery had it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `rules.drain-grace-ms` of the settings, and the slack of the rules on sockets.
const GRACE: Duration = Duration::from_millis(1050);
const DEADLINE: Duration = Duration::from_secs(2);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = TemporaryFolder::create().map_err(text)?;
    let mut servers = Vec::new();
    for number in 0..PICK_SERVERS {
        let server = PickServer::start(&format!("s-{number}"), Duration::from_millis(90), record);
        servers.push(server.map_err(text)?);
    }
    let counter = counter::start().map_err(text)?;
    let mut agents = Vec::new();
    let mut gateways = Vec::new();
    for number in 0..GATEWAYS {
        let name = format!("n{number}");
        let agent = Agent::start(&name, record).map_err(text)?;
        for (index, server) in servers.iter().enumerate() {
            let hall = if index % 2 == 0 { "hall-a" } else { "hall-b" };
            agent.add(&server.name, server.address, hall, index as u32 % 2);
        }
        let options = Options {
            name: &name,
            discovery: agent.address,
            counter,
            sockets: 512,
            memory_mb: 192,
            known: &agent.whole_list(),
            settings: &super::kelaniya_settings(GATEWAYS, number),
        };
        gateways.push(Gateway::start(&folder.0, &options)?);
        agents.push(agent);
    }

    let began_at = Instant::now();
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.address).collect();
    let load_record = record.clone();
    let load = thread::spawn(move || send_load(&addresses, began_at, &load_record));
    sleep_until(began_at + SLOW_FROM);
    if trouble {
        record.line(format!("discovery: each answer is late by {} ms from now on", LATE.as_millis()));
        agents.iter().for_each(|agent| agent.answer_late_by(LATE));
    }
    sleep_until(began_at + DRAIN_AT);
    let drained_at = Instant::now();
    let draining = &servers[..2];
    record.line("discovery: s-0 and s-1 are terminating; both agents have it now".into());
    for agent in &agents {
        draining.iter().for_each(|server| agent.set_health(&server.name, "terminating"));
    }
    let served = load.join().map_err(|_| "the load failed".to_owned())?;
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err("a gateway has ended".into());
    }

    let limit = drained_at + TOLD_AFTER + GRACE;
    record.line(format!(
        "new work at s-0 and s-1 has to end at {} ms ({} ms: told, 1050 ms: grace and slack)",
        record.ms(limit),
        TOLD_AFTER.as_millis()
    ));
    let mut late = 0;
    for server in draining {
        let attempts = server.attempts();
        let after_change = attempts.iter().filter(|attempt| attempt.began_at > drained_at).count();
        let too_late: Vec<_> = attempts.iter().filter(|attempt| attempt.began_at > limit).collect();
        for attempt in &too_late {
            record.line(format!(
                "{}: {} begun at {} ms, too late",
                server.name,
                attempt.id,
                record.ms(attempt.began_at)
            ));
        }
        record.line(format!(
            "{}: {} requests, {after_change} after the change, {} of them too late",
            server.name,
            attempts.len(),
            too_late.len()
        ));
        late += too_late.len();
    }
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests at even intervals, to the gateways in turn. Returns how many were served.
fn send_load(gateways: &[std::net::SocketAddr], began_at: Instant, record: &Record) -> usize {
    let mut threads = Vec::new();
    let mut number: u32 = 0;
    while began_at.elapsed() < LOAD_FOR {
        let gateway = gateways[number as usize % gateways.len()];
        let id = format!("{:016x}", 0x5e1f_0000_0000_u64 + u64::from(number));
        let customer = u64::from(number % 40) + 1;
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let text = clients::safe_request("next-pick", "large", &id, customer, 2, DEADLINE);
            let Ok(made) = clients::request(gateway, &text, DEADLINE + Duration::from_secs(1)) else {
                record.line(format!("client: {id}: cannot connect"));
                return false;
            };
            record.line(format!("client: {id}: sent at {} ms, {:?}", record.ms(made.sent_at), made.ending));
            matches!(made.ending, Ending::Answer { status: 200, .. })
        }));
        number += 1;
        sleep_until(began_at + REQUEST_INTERVAL * number);
    }
    threads.into_iter().filter_map(|thread| thread.join().ok()).filter(|served| *served).count()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
