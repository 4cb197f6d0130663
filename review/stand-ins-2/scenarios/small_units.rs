//! A bad client sends requests whose units are out of range, in the name of a usual customer.

use crate::Verdict;
use crate::clients::{self, Ending};
use crate::counter;
use crate::discovery::Agent;
use crate::gateway::{Gateway, Options, TemporaryFolder};
use crate::pick_server::PickServer;
use crate::record::Record;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const PICK_SERVERS: usize = 10;
const LOAD_FOR: Duration = Duration::from_secs(12);
const BAD_CLIENTS_FROM: Duration = Duration::from_secs(2);
const BAD_CLIENTS: u32 = 4;
const DEADLINE: Duration = Duration::from_millis(2000);
/// The customer of plan `small`, in whose name the bad clients send.
const CUSTOMER: u64 = 0xb4d6_5521;
/// A request counts 1 to 8 units.
const UNITS_IN_RANGE: &str = "units=1,";
const UNITS_OUT_OF_RANGE: [&str; 2] = ["units=0.25,", "units=0.001,"];

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
    let usual_record = record.clone();
    let usual = thread::spawn(move || usual_client(address, began_at, &usual_record));
    thread::sleep(BAD_CLIENTS_FROM);
    let mut bad_clients = Vec::new();
    for number in 0..if trouble { BAD_CLIENTS } else { 0 } {
        let record = record.clone();
        bad_clients.push(thread::spawn(move || bad_client(number, address, began_at, &record)));
    }
    let (usual_served, usual_sent) = usual.join().map_err(|_| "the usual client failed".to_owned())?;
    let (mut bad_served, mut bad_sent) = (0, 0);
    for bad_client in bad_clients {
        let (served, sent) = bad_client.join().map_err(|_| "a bad client failed".to_owned())?;
        bad_served += served;
        bad_sent += sent;
    }
    if !gateway.is_running() {
        return Err("the gateway has ended".into());
    }
    let run: usize = servers.iter().map(|server| server.attempts().len()).sum();
    record.line(format!("usual client: {usual_sent} requests, {usual_served} served"));
    record.line(format!(
        "bad clients: {bad_sent} requests with units out of range, {bad_served} served in place of an error"
    ));
    record.line(format!(
        "pick servers: {run} requests run; the quota of the customer is 16 units and 1.7 a second"
    ));
    if usual_served == 0 {
        return Err("no usual request was served".into());
    }
    Ok(if bad_served > 0 { Verdict::Broken } else { Verdict::Held })
}

/// One request a second within the quota. Returns how many were served and how many sent.
fn usual_client(gateway: SocketAddr, began_at: Instant, record: &Record) -> (u32, u32) {
    let mut served = 0;
    let mut sent = 0;
    while began_at.elapsed() < LOAD_FOR {
        served += send("usual", 0xa000_0000 + u64::from(sent), UNITS_IN_RANGE, gateway, record);
        sent += 1;
        thread::sleep(Duration::from_secs(1));
    }
    (served, sent)
}

/// Sends at full speed, one request after another. Returns how many were served and how many sent.
fn bad_client(number: u32, gateway: SocketAddr, began_at: Instant, record: &Record) -> (u32, u32) {
    let mut served = 0;
    let mut sent = 0;
    while began_at.elapsed() < LOAD_FOR {
        let id = (u64::from(number) + 1) << 40 | u64::from(sent);
        served += send("bad", id, UNITS_OUT_OF_RANGE[sent as usize % 2], gateway, record);
        sent += 1;
    }
    (served, sent)
}

/// Sends a request on a new connection. Returns 1 if it was served.
fn send(who: &str, id: u64, units: &str, gateway: SocketAddr, record: &Record) -> u32 {
    let id = format!("{id:016x}");
    let text =
        clients::safe_request("next-pick", "small", &id, CUSTOMER, 2, DEADLINE).replace("units=1,", units);
    let Ok(made) = clients::request(gateway, &text, DEADLINE + Duration::from_secs(1)) else {
        record.line(format!("{who} client: {id}: cannot connect"));
        return 0;
    };
    record.line(format!(
        "{who} client: {id}: {units} sent at {} ms, {:?}",
        record.ms(made.sent_at),
        made.ending
    ));
    u32::from(matches!(made.ending, Ending::Answer { status: 200, .. }))
}
