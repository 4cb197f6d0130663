//! Clients that send requests until a gateway is killed, and the log of how those ended.

use crate::common::{Class, RequestBuilder, TestClient, read_message};
use crate::scenario::Scenario;
use fastrand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Clients send up to this long before the kill: a later request finds no gateway, and the close of its
/// connection is not seen before the kill.
const LAST_SEND_BEFORE_KILL: Duration = Duration::from_millis(5);
/// How long clients send requests before SIGTERM.
pub(crate) const LOAD_BEFORE_SIGTERM: Duration = Duration::from_millis(400);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome {
    Answered,
    /// A connection kept from an earlier request was closed without a response: the client sends the request
    /// again.
    CrossedClose,
    /// A new connection was closed without a response.
    NewConnectionClosed,
    /// No response had come when the gateway was killed.
    Unanswered,
}

/// What kind of connection a request was sent on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Connection {
    New,
    Reused,
}

/// A request that a client sent.
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) before_kill: Duration,
    pub(crate) connection: Connection,
    pub(crate) outcome: Outcome,
}

/// The requests of all clients of a scenario.
#[derive(Default)]
pub(crate) struct RequestLog {
    pub(crate) requests: Mutex<Vec<SentRequest>>,
}

impl RequestLog {
    fn add(&self, request: SentRequest) {
        self.requests.lock().expect("lock").push(request);
    }

    /// The number of requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.lock().expect("lock").len()
    }

    /// The number of requests that ended so.
    pub(crate) fn count(&self, outcome: Outcome) -> usize {
        self.requests.lock().expect("lock").iter().filter(|request| request.outcome == outcome).count()
    }
}

/// What the clients of a scenario have in common.
#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) gateway: SocketAddr,
    pub(crate) log: Arc<RequestLog>,
    pub(crate) deadline: Duration,
    /// No new connections from then on.
    pub(crate) last_arrival: Instant,
    pub(crate) kill: Instant,
}

impl Load {
    /// Whether there is time for another request before the kill.
    fn may_send(&self) -> bool {
        Instant::now() + LAST_SEND_BEFORE_KILL < self.kill
    }

    fn request(&self, class: Class, body: &str) -> String {
        RequestBuilder::new(class, self.deadline.as_millis() as u64).body(body).build()
    }

    /// Sends a request and logs how it ended.
    async fn send(&self, client: &mut TestClient, connection: Connection, text: &str) -> Outcome {
        let before_kill = self.kill.saturating_duration_since(Instant::now());
        let outcome = self.exchange(client, connection, text).await;
        let id = text.lines().find_map(|line| line.strip_prefix("Req-Id: ")).expect("an id").to_owned();
        self.log.add(SentRequest { id, before_kill, connection, outcome });
        outcome
    }

    async fn exchange(&self, client: &mut TestClient, connection: Connection, text: &str) -> Outcome {
        let closed = match connection {
            Connection::New => Outcome::NewConnectionClosed,
            Connection::Reused => Outcome::CrossedClose,
        };
        if client.stream.write_all(text.as_bytes()).await.is_err() {
            return closed;
        }
        match timeout_at(self.kill, read_message(&mut client.stream)).await {
            Ok(Some(_)) => Outcome::Answered,
            // A connection that the kill itself closes had no response by then.
            Ok(None) if Instant::now() >= self.kill => Outcome::Unanswered,
            Ok(None) => closed,
            Err(_) => Outcome::Unanswered,
        }
    }

    /// A client that sends one request after another, on its open connection as long as it has one.
    async fn run_active_client(&self, mut random: Rng) {
        let mut idle: Option<TestClient> = None;
        while self.may_send() {
            let connection = if idle.is_none() { Connection::New } else { Connection::Reused };
            if connection == Connection::New && Instant::now() >= self.last_arrival {
                return;
            }
            let mut client = match idle.take() {
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
            let (class, body) = classes[random.usize(0..3)];
            let outcome = self.send(&mut client, connection, &self.request(class, body)).await;
            // A request that crossed a close comes again on a new connection, as a request of its own.
            if outcome == Outcome::Answered && random.u8(0..8) > 0 {
                idle = Some(client);
            }
            sleep(Duration::from_millis(random.u64(0..40))).await;
        }
    }

    /// A client that sends one request and stays connected, then sends another as late as it can.
    async fn run_idle_client(&self, mut random: Rng) {
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
            let idle_for = self.kill.saturating_duration_since(Instant::now()).mul_f64(random.f64());
            sleep(idle_for).await;
        }
    }

    /// Starts all clients of a scenario: the active ones at once, the others one after another.
    pub(crate) fn start_clients(&self, scenario: &Scenario) -> Vec<JoinHandle<()>> {
        let mut clients = Vec::new();
        for n in 0..scenario.active_clients + scenario.idle_clients {
            let random = Rng::with_seed(scenario.seed * 1000 + n as u64);
            let load = self.clone();
            let is_active = n < scenario.active_clients;
            let delay = if is_active { 0.0 } else { 1.2 * n as f64 / 70.0 };
            let begin = Instant::now() + LOAD_BEFORE_SIGTERM.mul_f64(delay);
            clients.push(tokio::spawn(async move {
                sleep_until(begin).await;
                if is_active {
                    load.run_active_client(random).await;
                } else {
                    load.run_idle_client(random).await;
                }
            }));
        }
        clients
    }
}
