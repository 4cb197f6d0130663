//! A fake of the shared counter, which can be made to fail or to delay its replies.

use super::{sleep_ms, wait_until};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// The longest time to live of a key; longer ones are capped.
const MAX_TIME_TO_LIVE_MS: u64 = 60_000;

/// How the counter handles `ADDGET` calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CounterBehavior {
    Add,
    AddAndReplyAfter {
        delay_ms: u64,
    },
    /// Adds the amount, and replies once the behavior has been changed.
    AddAndHoldReply,
    /// Adds the amount, and replies with this text instead of the total.
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
    /// The start time of the counter if `COUNTER_LOG` is set, in which case each call is logged.
    log_start: Option<Instant>,
    entries: Mutex<HashMap<String, Entry>>,
    call_count: AtomicU32,
    behavior: Mutex<CounterBehavior>,
}

/// A counter server that counts the calls it receives.
pub(crate) struct TestCounter {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl TestCounter {
    /// Starts a counter on an ephemeral port.
    pub(crate) async fn start(behavior: CounterBehavior) -> Self {
        Self::serve(TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port"), behavior)
    }

    pub(crate) fn serve(listener: TcpListener, behavior: CounterBehavior) -> Self {
        let address = listener.local_addr().expect("listener has no address");
        let state = Arc::new(State {
            log_start: std::env::var_os("COUNTER_LOG").map(|_| Instant::now()),
            entries: Mutex::default(),
            call_count: AtomicU32::new(0),
            behavior: Mutex::new(behavior),
        });
        tokio::spawn(state.clone().accept_connections(listener));
        Self { address, state }
    }

    /// Changes the handling of subsequent calls.
    pub(crate) fn set_behavior(&self, behavior: CounterBehavior) {
        *self.state.behavior.lock().expect("lock poisoned") = behavior;
    }

    /// The number of `ADDGET` calls received so far.
    pub(crate) fn call_count(&self) -> u32 {
        self.state.call_count.load(SeqCst)
    }

    /// The totals of all keys, in no particular order.
    pub(crate) fn totals(&self) -> Vec<f64> {
        self.state.entries.lock().expect("lock poisoned").values().map(|entry| entry.total).collect()
    }

    /// The sum of the totals of all keys.
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
            if let Some(since) = self.log_start {
                let at = since.elapsed().as_millis();
                eprintln!("counter {server} at {at} ms, connection {client}: {command:?} {reply:?}");
            }
            if let Some(reply) = reply {
                stream.write_all(reply.as_bytes()).await.unwrap_or(());
            }
        }
    }

    /// Handles one `ADDGET` call and returns the reply, after its delay.
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
                wait_until("a change of the behavior", || {
                    self.behavior() != CounterBehavior::AddAndHoldReply
                })
                .await;
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
        *self.behavior.lock().expect("lock poisoned")
    }

    /// Performs `ADDGET key amount time-to-live`; returns the reply with the new total.
    fn add(&self, command: &[String]) -> String {
        let amount: f64 = command[2].parse().expect("amount is not a number");
        let time_to_live_ms: u64 =
            command[3].parse().expect("time to live is not a whole number of milliseconds");
        assert!(time_to_live_ms >= 1);
        let mut entries = self.entries.lock().expect("lock poisoned");
        let now = Instant::now();
        if entries.get(&command[1]).is_none_or(|entry| entry.expires_at <= now) {
            // A read of a missing key does not create it.
            if amount == 0.0 {
                return "$1\r\n0\r\n".into();
            }
            let time_to_live = Duration::from_millis(time_to_live_ms.min(MAX_TIME_TO_LIVE_MS));
            entries.insert(command[1].clone(), Entry { total: 0.0, expires_at: now + time_to_live });
        }
        let entry = entries.get_mut(&command[1]).expect("entry was just inserted");
        entry.total += amount;
        let text = entry.total.to_string();
        format!("${}\r\n{text}\r\n", text.len())
    }
}

/// Reads one RESP2 command, which is an array of bulk strings.
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
