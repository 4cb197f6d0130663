//! Some answers of the pick servers are spoilt: their length is shorter than their body.

use crate::Verdict;
use crate::clients::{self, Ending};
use crate::counter;
use crate::discovery::Agent;
use crate::gateway::{Gateway, Options, TemporaryFolder};
use crate::pick_server::{PickServer, answer_body};
use crate::record::Record;
use std::thread;
use std::time::{Duration, Instant};

const PICK_SERVERS: usize = 10;
const LOAD_FOR: Duration = Duration::from_secs(12);
const SPOILT_FROM: Duration = Duration::from_secs(2);
/// One in so many answers of each pick server is spoilt.
const SPOILT_EVERY: usize = 8;
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(2);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = TemporaryFolder::create().map_err(text)?;
    let agent = Agent::start("n0", record).map_err(text)?;
    let mut servers = Vec::new();
    for number in 0..PICK_SERVERS {
        let name = format!("s-{number}");
        let server = PickServer::start(&name, Duration::from_millis(90), record).map_err(text)?;
        let hall = if number % 2 == 0 { "hall-a" } else { "hall-b" };
        agent.add(&name, server.address, hall, number as u32 % 2);
        servers.push(server);
    }
    let options = Options {
        name: "n0",
        discovery: agent.address,
        counter: counter::start().map_err(text)?,
        sockets: 512,
        memory_mb: 192,
        known: &agent.whole_list(),
        settings: &super::kelaniya_settings(2, 0),
    };
    let mut gateway = Gateway::start(&folder.0, &options)?;
    let address = gateway.address;
    let began_at = Instant::now();
    let mut threads = Vec::new();
    let mut number: u32 = 0;
    let mut is_spoiling = false;
    while began_at.elapsed() < LOAD_FOR {
        if trouble && !is_spoiling && began_at.elapsed() >= SPOILT_FROM {
            record.line(format!("from now on, one in {SPOILT_EVERY} answers has a length that does not fit"));
            servers.iter().for_each(|server| server.spoil_lengths(SPOILT_EVERY));
            is_spoiling = true;
        }
        let id = format!("{:016x}", 0xc0de_0000_0000_u64 + u64::from(number));
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let customer = u64::from(number % 40) + 1;
            let text = clients::safe_request("next-pick", "large", &id, customer, 2, DEADLINE);
            let made = clients::request(address, &text, DEADLINE + Duration::from_secs(1)).ok()?;
            record.line(format!("client: {id}: sent at {} ms, {:?}", record.ms(made.sent_at), made.ending));
            let Ending::Answer { status: 200, body } = made.ending else { return None };
            let is_right = body == answer_body(&id);
            if !is_right {
                record.line(format!("client: {id}: WRONG, expected {:?}", answer_body(&id)));
            }
            Some(is_right)
        }));
        number += 1;
        let next = began_at + REQUEST_INTERVAL * number;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let served: Vec<bool> = threads.into_iter().filter_map(|thread| thread.join().ok()?).collect();
    if !gateway.is_running() {
        return Err("the gateway has ended".into());
    }
    let wrong = served.iter().filter(|is_right| !**is_right).count();
    record
        .line(format!("{number} requests, {} answered 200, {wrong} of them with another body", served.len()));
    if served.is_empty() {
        return Err("no request was served".into());
    }
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}
