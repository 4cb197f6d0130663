//! Clients that send requests to a gateway until it is killed, and the log of the outcomes.

use crate::common::{Class, RequestBuilder, TestClient, read_message};
use crate::scenario::Scenario;
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Clients stop sending this long before the kill: the gateway may be gone when a later request arrives, and
/// the client would not see the close of its connection before the kill.
const SEND_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(5);
/// How long a client that connects while the gateway drains waits before its first request, in ms.
const IDLE_BEFORE_FIRST_REQUEST_MS: std::ops::Range<u64> = 200..700;
/// How long the clients send requests before SIGTERM.
pub(crate) const LOAD_BEFORE_SIGTERM: Duration = Duration::from_millis(400);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    Answered,
    /// A reused connection was closed without a response. The client may retry such a request, so the gateway
    /// must not have forwarded it.
    ReusedConnectionClosed,
    /// A new connection was closed without a response.
    NewConnectionClosed,
    /// A connection that had been open for a while without a request was closed without a response. The client
    /// may retry the request, as on a reused connection.
    UnusedConnectionClosed,
    /// There was no response when the gateway was killed.
    Unanswered,
}

/// Whether a request was the first one on its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Connection {
    New,
    /// The first, but sent a while after the client connected.
    Unused,
    Reused,
}

/// A request sent by a client, and its outcome.
pub(crate) struct SentRequest {
    pub(crate) id: String,
    /// How long before the kill the request was sent.
    pub(crate) before_kill: Duration,
    pub(crate) connection: Connection,
    pub(crate) outcome: Outcome,
}

/// The log of the requests of all clients of a scenario.
#[derive(Default)]
pub(crate) struct RequestLog {
    pub(crate) requests: Mutex<Vec<SentRequest>>,
}

impl RequestLog {
    fn add(&self, request: SentRequest) {
        self.requests.lock().expect("lock poisoned").push(request);
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.lock().expect("lock poisoned").len()
    }

    /// The number of requests with this outcome.
    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        self.requests
            .lock()
            .expect("lock poisoned")
            .iter()
            .filter(|request| request.outcome == outcome)
            .count()
    }
}

/// The parameters that the clients of a scenario share.
#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) gateway: SocketAddr,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) deadline: Duration,
    pub(crate) sigterm: Instant,
    /// Clients open no new connection from this time on.
    pub(crate) last_connect: Instant,
    pub(crate) kill: Instant,
}

impl Load {
    /// Whether a request can still be sent before the kill.
    fn may_send(&self) -> bool {
        Instant::now() + SEND_MARGIN_BEFORE_KILL < self.kill
    }

    fn request(&self, class: Class, body: &str) -> String {
        RequestBuilder::new(class, self.deadline.as_millis() as u64).body(body).build()
    }

    /// Sends a request and logs its outcome.
    async fn send(&self, client: &mut TestClient, connection: Connection, text: &str) -> Outcome {
        let before_kill = self.kill.saturating_duration_since(Instant::now());
        let outcome = self.exchange(client, connection, text).await;
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("Req-Id: "))
            .expect("request has no Req-Id")
            .to_owned();
        self.log.add(SentRequest { id, before_kill, connection, outcome });
        outcome
    }

    async fn exchange(&self, client: &mut TestClient, connection: Connection, text: &str) -> Outcome {
        let closed = match connection {
            Connection::New => Outcome::NewConnectionClosed,
            Connection::Unused => Outcome::UnusedConnectionClosed,
            Connection::Reused => Outcome::ReusedConnectionClosed,
        };
        if client.stream.write_all(text.as_bytes()).await.is_err() {
            return closed;
        }
        match timeout_at(self.kill, read_message(&mut client.stream)).await {
            Ok(Some(_)) => Outcome::Answered,
            // The kill itself closed the connection.
            Ok(None) if Instant::now() >= self.kill => Outcome::Unanswered,
            Ok(None) => closed,
            Err(_) => Outcome::Unanswered,
        }
    }

    /// Runs a client that sends one request after another and reuses its connection while that is open.
    async fn run_active_client(&self, mut rng: Rng) {
        let mut open: Option<TestClient> = None;
        while self.may_send() {
            let connection = if open.is_none() { Connection::New } else { Connection::Reused };
            if connection == Connection::New && Instant::now() >= self.last_connect {
                return;
            }
            let mut client = match open.take() {
                Some(client) => client,
                None => match TcpStream::connect(self.gateway).await {
                    Ok(stream) => TestClient::new(stream),
                    Err(_) => return,
                },
            };
            let classes = [
                (Class::Idempotent, ""),
                (Class::WithIdempotencyKey, "body"),
                (Class::NonIdempotent, "body"),
            ];
            let (class, body) = classes[rng.usize(0..3)];
            let outcome = self.send(&mut client, connection, &self.request(class, body)).await;
            // After a close without a response the client sends a new request, with a new id, on a new
            // connection.
            if outcome == Outcome::Answered && rng.u8(0..8) > 0 {
                open = Some(client);
            }
            sleep(Duration::from_millis(rng.u64(0..40))).await;
        }
    }

    /// Runs a client that sends one request, leaves its connection idle for a random part of the time until
    /// the kill, and then sends another request on it.
    async fn run_idle_client(&self, mut rng: Rng) {
        let Ok(stream) = TcpStream::connect(self.gateway).await else { return };
        let mut client = TestClient::new(stream);
        for connection in [Connection::New, Connection::Reused] {
            if !self.may_send() {
                return;
            }
            let outcome = self.send(&mut client, connection, &self.request(Class::Idempotent, "")).await;
            if outcome != Outcome::Answered {
                return;
            }
            let idle_for = self.kill.saturating_duration_since(Instant::now()).mul_f64(rng.f64());
            sleep(idle_for).await;
        }
    }

    /// Runs a client that connects while the gateway drains and sends its first request a random time later,
    /// unless the gateway has closed the connection before.
    async fn run_late_client(&self, mut rng: Rng) {
        let connect_at = self.sigterm + self.last_connect.duration_since(self.sigterm).mul_f64(rng.f64());
        sleep_until(connect_at).await;
        let Ok(stream) = TcpStream::connect(self.gateway).await else { return };
        let mut client = TestClient::new(stream);
        let idle_for = Duration::from_millis(rng.u64(IDLE_BEFORE_FIRST_REQUEST_MS));
        let classes = [Class::Idempotent, Class::WithIdempotencyKey, Class::NonIdempotent];
        let request = self.request(classes[rng.usize(0..3)], "");
        let closed = timeout_at(Instant::now() + idle_for, client.stream.fill_buf()).await.is_ok();
        if !closed && self.may_send() {
            self.send(&mut client, Connection::Unused, &request).await;
        }
    }

    /// Starts all clients of a scenario: the active ones immediately, the idle ones one after another.
    pub(crate) fn start_clients(&self, scenario: &Scenario) -> Vec<JoinHandle<()>> {
        let mut clients = Vec::new();
        for n in 0..scenario.active_clients + scenario.idle_clients {
            let rng = Rng::with_seed(scenario.seed * 1000 + n as u64);
            let load = self.clone();
            let is_active = n < scenario.active_clients;
            let delay = if is_active { 0.0 } else { 1.2 * n as f64 / 70.0 };
            let start = Instant::now() + LOAD_BEFORE_SIGTERM.mul_f64(delay);
            clients.push(tokio::spawn(async move {
                sleep_until(start).await;
                if is_active {
                    load.run_active_client(rng).await;
                } else {
                    load.run_idle_client(rng).await;
                }
            }));
        }
        for n in 0..scenario.late_clients {
            let rng = Rng::with_seed(scenario.seed * 1000 + 500 + n as u64);
            let load = self.clone();
            clients.push(tokio::spawn(async move { load.run_late_client(rng).await }));
        }
        clients
    }
}
