//! The agent of discovery on a gateway's machine: whole lists, and watches that wait for changes.

use crate::http;
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Host {
    name: String,
    address: SocketAddr,
    zone: String,
    cell: u32,
    health: &'static str,
    changed_in: u64,
}

#[derive(Default)]
struct List {
    version: u64,
    hosts: Vec<Host>,
}

/// An agent that answers at once, or late by a set time.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    late_ms: Arc<AtomicU64>,
}

impl Agent {
    pub fn start(name: &str, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let agent = Self { address: listener.local_addr()?, list: Arc::default(), late_ms: Arc::default() };
        let server = agent.clone();
        let (name, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, name, record) = (server.clone(), name.clone(), record.clone());
                thread::spawn(move || server.serve(stream, &name, &record));
            }
        });
        Ok(agent)
    }

    /// From now on, each answer is written this long after it is due.
    pub fn answer_late_by(&self, late: Duration) {
        self.late_ms.store(late.as_millis() as u64, SeqCst);
    }

    pub fn add(&self, name: &str, address: SocketAddr, zone: &str, cell: u32) {
        self.change(|list, version| {
            let (name, zone) = (name.to_owned(), zone.to_owned());
            list.push(Host { name, address, zone, cell, health: "in_service", changed_in: version });
        });
    }

    pub fn set_health(&self, name: &str, health: &'static str) {
        self.change(|list, version| {
            for host in list.iter_mut().filter(|host| host.name == name) {
                host.health = health;
                host.changed_in = version;
            }
        });
    }

    /// The whole list, as in the configuration's `known`.
    pub fn whole_list(&self) -> String {
        let list = self.list.0.lock().expect("lock poisoned");
        to_json(&list, None)
    }

    fn change(&self, change: impl Fn(&mut Vec<Host>, u64)) {
        let mut list = self.list.0.lock().expect("lock poisoned");
        list.version += 1;
        let version = list.version;
        change(&mut list.hosts, version);
        self.list.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, name: &str, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(call) = http::read(&mut input)? {
            let target = call.start_line.split(' ').nth(1).unwrap_or("").to_owned();
            let after = query_number(&target, "after=");
            let wait = Duration::from_millis(query_number(&target, "wait_ms=").unwrap_or(0).min(60_000));
            let body = self.wait_for_changes(after, wait);
            thread::sleep(Duration::from_millis(self.late_ms.load(SeqCst)));
            let took = call.began_at.elapsed().as_millis();
            let written = output.write_all(http::answer("200 OK", "", &body).as_bytes());
            let what = if written.is_ok() { "answered" } else { "the caller had closed" };
            record.line(format!("agent {name}: GET {target}: {what} after {took} ms"));
            written?;
        }
        Ok(())
    }

    fn wait_for_changes(&self, after: Option<u64>, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut list = self.list.0.lock().expect("lock poisoned");
        while let Some(after) = after
            && list.version <= after
        {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = self.list.1.wait_timeout(list, left).expect("lock poisoned").0;
        }
        to_json(&list, after)
    }
}

fn query_number(target: &str, key: &str) -> Option<u64> {
    let (_, rest) = target.split_once(key)?;
    rest.split('&').next()?.parse().ok()
}

/// The entries that changed after a version; the whole list without one.
fn to_json(list: &List, after: Option<u64>) -> String {
    let changed = list.hosts.iter().filter(|host| after.is_none_or(|after| host.changed_in > after));
    let entries: Vec<String> = changed
        .map(|Host { name, address, zone, cell, health, .. }| {
            format!(
                r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"small-2core","block":{cell},"health":"{health}","share":1.0,"born_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, list.version, after.is_none(), entries.join(","))
}
