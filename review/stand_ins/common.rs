//! Stand-ins for clients, pick servers, discovery, the counter and the platform. Standard library only.
//!
//! They follow PROTOCOL and DEPLOY; where those pages are silent they behave like sound peers.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is played: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case with status 2, after the processes that it started.
pub fn cannot_run(record: &Record, text: &str) -> ! {
    record.line(format!("could not run: {text}"));
    record.end_processes();
    let _ = std::fs::remove_dir_all(temporary_folder());
    exit(COULD_NOT_RUN)
}

/// The record of a case: `record.txt` in its folder, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
    processes: Mutex<Vec<u32>>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|_| exit(COULD_NOT_RUN));
        Arc::new(Self { file: Mutex::new(file), start: Instant::now(), processes: Mutex::default() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let elapsed = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{elapsed:8.3} {}", text.as_ref());
    }

    /// Writes a line and prints it.
    pub fn print(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    /// Kills the processes that this case started.
    pub fn end_processes(&self) {
        for pid in self.processes.lock().unwrap().drain(..) {
            send_signal(pid, SIGKILL);
        }
    }
}

pub fn send_signal(pid: u32, signal: i32) {
    // The process is a child that has not been waited for, so its id is not reused.
    unsafe { kill(pid as i32, signal) };
}

// ---- The gateway ----

/// A gateway process, started by the `run` command of the deploy file.
pub struct Gateway {
    pub address: SocketAddr,
    pub pid: u32,
    child: Child,
}

/// The value of a text key of deploy/balancer.toml.
fn deploy_value(root: &Path, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('='))?.trim();
    Some(line.strip_prefix('"')?.split('"').next()?.to_owned())
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("no free port")
}

impl Gateway {
    /// Starts a gateway and waits until it is ready. `config` is the configuration file's text.
    pub fn start(record: &Arc<Record>, root: &Path, folder: &Path, name: &str, config: Config) -> Self {
        let address = free_address();
        let path = folder.join(format!("{name}.json"));
        let written = std::fs::write(&path, config.text(name, address));
        let log = File::create(folder.join(format!("{name}.log")));
        let (Some(run), Ok(()), Ok(log)) = (deploy_value(root, "run"), written, log) else {
            cannot_run(record, "no deploy file or no temporary folder")
        };
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", config.discovery.to_string())
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("no descriptor"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { cannot_run(record, "the gateway cannot be started") };
        let pid = child.id();
        record.processes.lock().unwrap().push(pid);
        record.line(format!("gateway {name}: process {pid} at {address}"));
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if let Ok(mut client) = Client::connect(address)
                && client.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n").is_ok()
                && client.read(Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
            {
                record.line(format!("gateway {name}: ready"));
                return Self { address, pid, child };
            }
            thread::sleep(Duration::from_millis(20));
        }
        cannot_run(record, "the gateway is not ready within 20 s")
    }

    pub fn signal(&self, signal: i32) {
        send_signal(self.pid, signal);
    }

    /// The exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self, record: &Record) {
        if self.exit_status().is_none() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
        record.processes.lock().unwrap().retain(|pid| *pid != self.pid);
    }
}

impl Drop for Gateway {
    /// Ends the process also where the case ends in a panic.
    fn drop(&mut self) {
        if self.exit_status().is_none() {
            self.signal(SIGKILL);
            let _ = self.child.wait();
        }
    }
}

/// The resident memory of a process in KiB, without that of files.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches(" kB").trim().parse().ok()
}

/// The parts of a gateway's configuration.
#[derive(Clone)]
pub struct Config {
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The list of pick servers as the gateway last had it.
    pub known: String,
    /// The settings object.
    pub settings: String,
}

impl Config {
    fn text(&self, name: &str, listen: SocketAddr) -> String {
        let Self { discovery, counter, memory_mb, sockets, known, settings } = self;
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","counter":"{counter}",
"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},
"settings":{settings}}}"#
        )
    }
}

/// The settings of kelaniya-campus, as the page on the wire gives them.
pub fn kelaniya_settings(gateways: u32, number: u32) -> String {
    format!(
        r#"{{"fleet-size":{gateways},"my-number":{number},"period-ms":2.0,"locality":"hall-b","zones":["hall-a","hall-b"],
"discovery":"pushed","layer":0,"layers":["pick-servers"],"kinds":["small-2core"],"weights":"off",
"classes":[
{{"dedup-scope":"all","effect":"idempotent","goal-time-ms":1000.0,"hard-limit-ms":4000.0,"late-value":0.0,"name":"next-pick","stream":false,"window-ms":5000.0,"worth":1.0}},
{{"dedup-scope":"all","effect":"idempotent","goal-time-ms":1000.0,"hard-limit-ms":2500.0,"late-value":0.0,"name":"bin-status","stream":false,"window-ms":5000.0,"worth":1.0}},
{{"dedup-scope":"zone","effect":"deduplicated","goal-time-ms":750.0,"hard-limit-ms":2000.0,"late-value":0.0,"name":"confirm-pick","stream":false,"window-ms":2000.0,"worth":3.0}}],
"clients":{{"marks-retry":true}},
"extra":{{"call-price":0.01,"count-limit-ms":30.0,"has-counter":true,"metering-ms":0.0,"peer-in-per-s":0.0,"trued-up":true,"units-top":8}},
"goal":{{"whole":0.65,"worst-class":0.0,"worst-tenant":0.15,"worst-window":0.2}},
"load-info":{{"fields":["backlog","throughput","utilization"],"source":"inline"}},
"permissions":{{"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"dial-timeout-ms":250.0,"keepalive-ms":30000.0,"max-open":20000,"max-retry-after-ms":1000.0,"max-streams":100,"may-cancel":true,"most-tries":6,"peers":false,"probes":true,"retry-after":true,"second-copies":true}},
"plans":[
{{"burst":16.0,"cap-rate":0.0,"ceiling-burst":0.0,"ceiling-slack":0.0,"name":"small","over-worth":0.0,"overrun-cost":0.5,"parallel":0,"refill":1.7,"worth-factor":0.8}},
{{"burst":35.0,"cap-rate":0.0,"ceiling-burst":0.0,"ceiling-slack":0.0,"name":"standard","over-worth":0.0,"overrun-cost":1.0,"parallel":0,"refill":8.9,"worth-factor":1.3}},
{{"burst":41.0,"cap-rate":0.0,"ceiling-burst":0.0,"ceiling-slack":0.0,"name":"large","over-worth":0.0,"overrun-cost":0.6,"parallel":0,"refill":30.0,"worth-factor":1.6}}],
"prices":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.021,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.16}},
"rules":{{"answer-slack-ms":8.0,"ask-every-ms":10000.0,"cold-from":0.25,"cold-ms":18000.0,"drain-grace-ms":1000.0,"fall-ms":1000.0,"overload-factor":2.5}}}}"#
    )
}

/// A private folder under the system's temporary one.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("ryefront-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|_| exit(COULD_NOT_RUN));
    folder
}

// ---- HTTP ----

/// The head and the body of a message.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// The status of a response, 0 for a request.
    pub status: u16,
}

/// Reads a message with a `Content-Length`, or none. `Ok(None)` at the end of the stream before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start_line: line.trim_end().to_owned(), ..Message::default() };
    message.status = message
        .start_line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3)?.parse().ok())
        .unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = message.headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer. The timeout applies to each read.
    pub fn read(&mut self, timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        read_message(&mut self.reader)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }

    /// Whether the gateway has ended the connection, as far as a client knows that does not read.
    pub fn has_ended(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// A client's request of one customer.
pub struct Request<'a> {
    pub class: &'a str,
    pub plan: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub customer: u64,
    pub spread: u32,
    /// The idempotency key of a keyed class.
    pub key: Option<&'a str>,
    /// For a class that is not safe to repeat.
    pub body: Option<&'a [u8]>,
}

impl Request<'_> {
    /// The head, with the empty line that ends it.
    pub fn head(&self) -> Vec<u8> {
        let Self { class, plan, id, deadline_ms, customer, spread, .. } = self;
        let method = if self.body.is_some() { "POST" } else { "GET" };
        let mut text = format!(
            "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nApi-Plan: {plan}\r\n\
             Api-Customer: {customer:016x}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Api-Terms: units=1,spread={spread},first=0\r\n"
        );
        if let Some(key) = self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if let Some(body) = self.body {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        text.into_bytes()
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.head();
        bytes.extend_from_slice(self.body.unwrap_or_default());
        bytes
    }
}

/// Serves each connection to a listener on a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ---- Pick servers ----

/// A pick server: runs each request for `work`, and answers 200 with a body that names the request.
pub struct PickServer {
    pub name: String,
    pub address: SocketAddr,
    /// While set, requests that arrive are begun but never answered; connections stay open.
    pub hangs: AtomicBool,
    pub work: Duration,
    /// The ids of the requests whose last byte has come.
    pub begun: Mutex<Vec<String>>,
    record: Arc<Record>,
}

impl PickServer {
    pub fn start(record: &Arc<Record>, name: &str, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let server = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("no address"),
            hangs: AtomicBool::new(false),
            work,
            begun: Mutex::default(),
            record: record.clone(),
        });
        let serving = server.clone();
        serve(listener, move |stream| drop(serving.serve_connection(stream)));
        server
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let id = request.headers.get("req-id").cloned().unwrap_or_default();
            self.begun.lock().unwrap().push(id.clone());
            self.record.line(format!("{}: begins {id} ({})", self.name, request.start_line));
            if self.hangs.load(SeqCst) {
                continue;
            }
            thread::sleep(self.work);
            let body = answer_body(&id);
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    }

    pub fn entry(&self, zone: &str, block: u32) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{zone}","class":"quad","block":{block},"health":"in_service","share":1.0,"born_ms":0}}"#,
            self.name, self.address
        )
    }
}

/// The body of the answer to the request with this id.
pub fn answer_body(id: &str) -> String {
    format!("done {id}")
}

/// A whole list of pick servers.
pub fn whole_list(version: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

// ---- Discovery ----

/// Discovery's agent with a list that does not change: a watch waits and is answered with no change.
pub fn start_discovery(version: u64, list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    serve(listener, move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let target = request.start_line.split(' ').nth(1).unwrap_or_default();
            let value = |name: &str| {
                target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok())
            };
            let body = if value("after=").is_some_and(|after| after >= version) {
                thread::sleep(Duration::from_millis(value("wait_ms=").unwrap_or(0).min(60_000)));
                format!(r#"{{"seq":{version},"whole":false,"hosts":[]}}"#)
            } else {
                list.clone()
            };
            if write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_err() {
                return;
            }
        }
    });
    address
}

// ---- The counter ----

/// The counter: adds amounts to names, which are forgotten at the end of their life.
pub fn start_counter() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let names: Mutex<HashMap<String, (f64, Instant)>> = Mutex::default();
    serve(listener, move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(call)) = read_call(&mut reader) {
            let arguments: Vec<&str> = call.iter().map(String::as_str).collect();
            let reply = match arguments[..] {
                ["PING"] => "+PONG\r\n".to_owned(),
                ["ADDGET", name, amount, life] => {
                    let (amount, life) = (amount.parse().unwrap_or(0.0), life.parse().unwrap_or(1));
                    let mut names = names.lock().unwrap();
                    let now = Instant::now();
                    let entry = names.entry(name.to_owned()).or_insert((0.0, now));
                    if entry.1 <= now {
                        *entry = (0.0, now + Duration::from_millis(60_000.min(life)));
                    }
                    entry.0 += amount;
                    let total = entry.0.to_string();
                    format!("${}\r\n{total}\r\n", total.len())
                }
                ["CLIENT" | "SELECT", ..] => "+OK\r\n".to_owned(),
                _ => "-ERR no such call\r\n".to_owned(),
            };
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

/// Reads one call: an array of bulk strings.
fn read_call(reader: &mut impl BufRead) -> io::Result<Option<Vec<String>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let number = |line: &str| line.get(1..).and_then(|rest| rest.trim_end().parse::<usize>().ok());
    let count = number(&line).ok_or(ErrorKind::InvalidData)?;
    let mut arguments = Vec::new();
    for _ in 0..count {
        line.clear();
        reader.read_line(&mut line)?;
        let mut bytes = vec![0; number(&line).ok_or(ErrorKind::InvalidData)? + 2];
        reader.read_exact(&mut bytes)?;
        bytes.truncate(bytes.len() - 2);
        arguments.push(String::from_utf8(bytes).map_err(|_| ErrorKind::InvalidData)?);
    }
    Ok(Some(arguments))
}
