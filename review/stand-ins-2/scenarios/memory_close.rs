//! Hundreds of bad clients send long requests at once, and again as soon as they are turned away. Usual clients
//! send long requests on connections that they keep.

use crate::Verdict;
use crate::clients;
use crate::counter;
use crate::discovery::Agent;
use crate::gateway::{Gateway, Options, TemporaryFolder};
use crate::http;
use crate::pick_server::PickServer;
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const PICK_SERVERS: usize = 10;
const LOAD_FOR: Duration = Duration::from_secs(14);
const BAD_CLIENTS_FROM: Duration = Duration::from_secs(3);
const BAD_CLIENTS: usize = 500;
const BAD_BODY: usize = 65_000;
const USUAL_CLIENTS: u64 = 25;
const USUAL_BODY: usize = 60_000;
const REST: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_millis(1500);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let text = |error: io::Error| error.to_string();
    let folder = TemporaryFolder::create().map_err(text)?;
    let agent = Agent::start("n0", record).map_err(text)?;
    for number in 0..PICK_SERVERS {
        let name = format!("s-{number}");
        let server = PickServer::start(&name, Duration::from_millis(90), record).map_err(text)?;
        let hall = if number % 2 == 0 { "hall-a" } else { "hall-b" };
        agent.add(&name, server.address, hall, number as u32 % 2);
    }
    let options = Options {
        name: "n0",
        discovery: agent.address,
        counter: counter::start().map_err(text)?,
        sockets: 1024,
        memory_mb: 32,
        known: &agent.whole_list(),
        settings: &super::kelaniya_settings(2, 0),
    };
    let mut gateway = Gateway::start(&folder.0, &options)?;
    let address = gateway.address;
    let began_at = Instant::now();
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || usual_client(number, address, began_at, &record))
        })
        .collect();
    thread::sleep(BAD_CLIENTS_FROM);
    let ended = Arc::new(AtomicBool::new(false));
    let mut bad_clients = Vec::new();
    if trouble {
        record.line(format!("{BAD_CLIENTS} clients send requests of {BAD_BODY} bytes at once, from now on"));
        for number in 0..BAD_CLIENTS {
            let ended = ended.clone();
            let bad_client = move || bad_client(number, address, &ended);
            let thread = thread::Builder::new().stack_size(256 * 1024).spawn(bad_client);
            bad_clients.push(thread.map_err(text)?);
        }
    }
    let mut total = Counts::default();
    for client in usual {
        let counts = client.join().map_err(|_| "a usual client failed".to_owned())?;
        total.answered += counts.answered;
        total.refused += counts.refused;
        total.repeated += counts.repeated;
        total.lost += counts.lost;
    }
    ended.store(true, SeqCst);
    let running = gateway.is_running();
    drop(gateway);
    let bad_requests: u64 = bad_clients.into_iter().filter_map(|client| client.join().ok()).sum();
    record.line(format!("bad clients: {bad_requests} requests"));
    if !running {
        record.line("the gateway has ended".into());
        return Ok(Verdict::Broken);
    }
    let Counts { answered, refused, repeated, lost } = total;
    record.line(format!(
        "usual clients: {answered} requests answered 200, {refused} answered otherwise, {repeated} sent once more, \
         {lost} ended twice without an answer"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// How the requests of usual clients ended.
#[derive(Default)]
struct Counts {
    answered: u32,
    refused: u32,
    /// Ended once without an answer, and sent once more on a new connection.
    repeated: u32,
    /// Ended without an answer then, too.
    lost: u32,
}

fn usual_client(number: u64, gateway: SocketAddr, began_at: Instant, record: &Record) -> Counts {
    let mut counts = Counts::default();
    let mut kept: Option<TcpStream> = None;
    let mut sent: u64 = 0;
    while began_at.elapsed() < LOAD_FOR {
        let id = format!("{:016x}", (number + 1) << 32 | sent);
        let text = clients::keyed_request("confirm-pick", "large", &id, number + 1, 2, DEADLINE, USUAL_BODY);
        sent += 1;
        for attempt in 1..=2 {
            // A connection that the gateway has closed meanwhile is not used.
            let connection = kept.take().filter(|stream| attempt == 1 && is_open(stream));
            let way = if connection.is_some() { "kept connection" } else { "new connection" };
            let stream = connection.map_or_else(|| TcpStream::connect(gateway), Ok);
            let Ok(stream) = stream else {
                record.line(format!("client: {id}: cannot connect"));
                break;
            };
            let written_at = Instant::now();
            match exchange(stream, &text) {
                Ok((answer, stream)) => {
                    let status = answer.status();
                    record.line(format!(
                        "client: {id}: {way}: {status} after {} ms",
                        written_at.elapsed().as_millis()
                    ));
                    if status == 200 {
                        counts.answered += 1
                    } else {
                        counts.refused += 1
                    }
                    kept = (answer.header("connection") != "close").then_some(stream);
                    break;
                }
                Err(NoAnswer::NotWritten(error)) => {
                    record.line(format!("client: {id}: {way}: not written whole: {error}"));
                }
                Err(NoAnswer::Ended(error)) => {
                    record.line(format!(
                        "client: {id}: {way}: last byte written, ended without an answer after {} ms: {error}",
                        written_at.elapsed().as_millis()
                    ));
                    if attempt == 1 {
                        counts.repeated += 1;
                    } else {
                        record.line(format!("client: {id}: LOST"));
                        counts.lost += 1;
                    }
                }
            }
        }
        thread::sleep(REST);
    }
    counts
}

enum NoAnswer {
    /// The last byte was not written: the gateway has not taken the request.
    NotWritten(io::Error),
    /// The last byte was written, and the connection ended without a whole answer.
    Ended(io::Error),
}

/// Writes a request and reads its answer.
fn exchange(stream: TcpStream, text: &str) -> Result<(http::Message, TcpStream), NoAnswer> {
    let prepare = || {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))?;
        (&stream).write_all(text.as_bytes())?;
        stream.try_clone()
    };
    let read = prepare().map_err(NoAnswer::NotWritten)?;
    match http::read(&mut BufReader::new(read)) {
        Ok(Some(answer)) => Ok((answer, stream)),
        Ok(None) => Err(NoAnswer::Ended(io::ErrorKind::UnexpectedEof.into())),
        Err(error) => Err(NoAnswer::Ended(error)),
    }
}

/// Whether the gateway has not closed a resting connection.
fn is_open(stream: &TcpStream) -> bool {
    let peek = || {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    };
    peek().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Sends long requests at full speed, each as soon as the last was answered or closed. Returns how many.
fn bad_client(number: usize, gateway: SocketAddr, ended: &AtomicBool) -> u64 {
    let mut sent = 0;
    while !ended.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(gateway) else { continue };
        loop {
            let id = format!("bad-{number}-{sent}");
            let customer = 1000 + number as u64;
            let text = clients::keyed_request("confirm-pick", "large", &id, customer, 2, DEADLINE, BAD_BODY);
            sent += 1;
            match exchange(stream, &text) {
                Ok((answer, open)) if answer.header("connection") != "close" => stream = open,
                _ => break,
            }
            if ended.load(SeqCst) {
                break;
            }
        }
    }
    sent
}
