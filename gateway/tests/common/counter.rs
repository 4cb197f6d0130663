//! A shared counter that adds amounts and fails as a test wants it to.

use super::{sleep_ms, wait_until};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// The counter removes a key after this time at the latest.
const MAX_TIME_TO_LIVE_MS: u64 = 60_000;

/// How the counter handles a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CounterBehavior {
    Add,
    AddAndReplyAfter {
        delay_ms: u64,
    },
    /// Adds, and replies once the behavior has been changed.
    AddAndHoldReply,
    /// Adds, and replies with this text in place of the total.
    AddAndReplyWith(&'static str),
    ReplyBusy,
    ReplyMalformed,
    NoReply,
}

struct Entry {
    total: f64,
    expires_at: Instant,
}

struct State {
    /// When the counter started, if its calls are printed: `COUNTER_LOG` is set.
    logged_since: Option<Instant>,
    entries: Mutex<HashMap<String, Entry>>,
    call_count: AtomicU32,
    behavior: Mutex<CounterBehavior>,
}

/// A counter that records all calls.
pub(crate) struct TestCounter {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl TestCounter {
    /// Starts a counter on a port that the system chooses.
    pub(crate) async fn start(behavior: CounterBehavior) -> Self {
        Self::serve(TcpListener::bind("127.0.0.1:0").await.expect("a port"), behavior)
    }

    /// Starts a counter on a listener.
    pub(crate) fn serve(listener: TcpListener, behavior: CounterBehavior) -> Self {
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            logged_since: std::env::var_os("COUNTER_LOG").map(|_| Instant::now()),
            entries: Mutex::default(),
            call_count: AtomicU32::new(0),
            behavior: Mutex::new(behavior),
        });
        tokio::spawn(state.clone().accept_connections(listener));
        Self { address, state }
    }

    /// Changes how further calls are handled.
    pub(crate) fn set_behavior(&self, behavior: CounterBehavior) {
        *self.state.behavior.lock().expect("lock") = behavior;
    }

    /// How many calls have come so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.state.call_count.load(SeqCst)
    }

    /// The totals of all keys, in any order.
    pub(crate) fn totals(&self) -> Vec<f64> {
        self.state.entries.lock().expect("lock").values().map(|entry| entry.total).collect()
    }

    /// The sum over all keys.
    pub(crate) fn sum(&self) -> f64 {
        self.totals().iter().sum()
    }
}

impl State {
    async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let client = stream.peer_addr().map_or(0, |address| address.port());
        let server = stream.local_addr().map_or(0, |address| address.port());
        let mut stream = BufReader::new(stream);
        while let Some(command) = read_command(&mut stream).await {
            if command[0] == "PING" {
                stream.write_all(b"+PONG\r\n").await.unwrap_or(());
                continue;
            }
            let reply = self.handle_call(&command).await;
            if let Some(since) = self.logged_since {
                let at = since.elapsed().as_millis();
                eprintln!("counter {server} at {at} ms, connection {client}: {command:?} {reply:?}");
            }
            if let Some(reply) = reply {
                stream.write_all(reply.as_bytes()).await.unwrap_or(());
            }
        }
    }

    /// The reply to a call, once it is due.
    async fn handle_call(&self, command: &[String]) -> Option<String> {
        assert_eq!((command[0].as_str(), command.len()), ("ADDGET", 4));
        self.call_count.fetch_add(1, SeqCst);
        let behavior = self.behavior();
        match behavior {
            CounterBehavior::Add => Some(self.add(command)),
            CounterBehavior::AddAndReplyAfter { delay_ms } => {
                let reply = self.add(command);
                sleep_ms(delay_ms).await;
                Some(reply)
            }
            CounterBehavior::AddAndHoldReply => {
                let reply = self.add(command);
                wait_until("another behavior", || self.behavior() != CounterBehavior::AddAndHoldReply).await;
                Some(reply)
            }
            CounterBehavior::AddAndReplyWith(text) => {
                self.add(command);
                Some(text.into())
            }
            CounterBehavior::ReplyBusy => Some("-BUSY\r\n".into()),
            CounterBehavior::ReplyMalformed => Some("?what\r\n".into()),
            CounterBehavior::NoReply => None,
        }
    }

    fn behavior(&self) -> CounterBehavior {
        *self.behavior.lock().expect("lock")
    }

    /// Performs `ADDGET key amount time-to-live`; returns the reply with the new total.
    fn add(&self, command: &[String]) -> String {
        let amount: f64 = command[2].parse().expect("an amount");
        let time_to_live_ms: u64 = command[3].parse().expect("a time to live in whole milliseconds");
        assert!(time_to_live_ms >= 1);
        let mut entries = self.entries.lock().expect("lock");
        let now = Instant::now();
        if entries.get(&command[1]).is_none_or(|entry| entry.expires_at <= now) {
            // A key that is only read holds nothing.
            if amount == 0.0 {
                return "$1\r\n0\r\n".into();
            }
            let time_to_live = Duration::from_millis(time_to_live_ms.min(MAX_TIME_TO_LIVE_MS));
            entries.insert(command[1].clone(), Entry { total: 0.0, expires_at: now + time_to_live });
        }
        let entry = entries.get_mut(&command[1]).expect("an entry");
        entry.total += amount;
        let text = entry.total.to_string();
        format!("${}\r\n{text}\r\n", text.len())
    }
}

/// Reads one command of RESP2: an array of bulk strings.
async fn read_command(stream: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let count: usize = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut length = String::new();
        let mut word = String::new();
        stream.read_line(&mut length).await.ok()?;
        stream.read_line(&mut word).await.ok()?;
        assert_eq!(length.trim_end(), format!("${}", word.trim_end().len()));
        words.push(word.trim_end().to_owned());
    }
    Some(words)
}
