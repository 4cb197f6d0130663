//! The end of a graceful shutdown: requests that arrive late are answered before the earliest possible SIGKILL,
//! for each longest deadline.

mod common;

use common::{
    Class, ConfigEdit, CounterBehavior, GatewayOptions, RequestBuilder, ScriptedResponse, TestClient,
    TestEndpoint, TestEnvironment, read_message,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until, timeout_at};

/// When clients connect, after SIGTERM; they may until 400 ms.
const CONNECT_AT: Duration = Duration::from_millis(350);
/// When they send their first request: later than the 700 ms from which a request must be answered.
const SEND_AT: Duration = Duration::from_millis(750);
/// SIGKILL follows SIGTERM no sooner than the longest deadline, 3 s at most, and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE_MS: u64 = 3000;
const CLIENTS: usize = 8;
const ENDPOINTS: usize = 4;

/// The deadlines of the classes in the settings, and that of the requests.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    /// Of the classes `read`, `upsert` and `order`; `None` where the settings name none.
    by_class_ms: [Option<u64>; 3],
    requested_ms: u64,
}

impl Deadlines {
    fn longest_ms(self) -> u64 {
        self.by_class_ms.into_iter().flatten().max().unwrap_or(self.requested_ms)
    }

    fn kill_after(self) -> Duration {
        Duration::from_millis(self.longest_ms().min(MAX_COUNTED_DEADLINE_MS)) + KILL_MARGIN
    }

    fn config_edits(self) -> Vec<ConfigEdit> {
        let limits = ["read", "upsert", "order"].into_iter().zip(self.by_class_ms);
        limits
            .filter_map(|(class, limit)| {
                let name = format!(r#"{{"name":"{class}","#);
                limit.map(|limit| ConfigEdit::new(&name, format!(r#"{name}"hard-limit-ms":{limit},"#)))
            })
            .collect()
    }
}

/// How a late request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answered,
    /// The gateway closed the connection before the request was sent.
    ClosedBefore,
    Unanswered,
}

/// Connects during the shutdown and sends a first request late.
async fn send_late_request(gateway: SocketAddr, sigterm: Instant, deadlines: Deadlines) -> Outcome {
    sleep_until(sigterm + CONNECT_AT).await;
    let mut client = TestClient::connect(gateway).await;
    if timeout_at(sigterm + SEND_AT, client.stream.fill_buf()).await.is_ok() {
        return Outcome::ClosedBefore;
    }
    let request = RequestBuilder::new(Class::NonIdempotent, deadlines.requested_ms).build();
    if client.stream.write_all(request.as_bytes()).await.is_err() {
        return Outcome::ClosedBefore;
    }
    match timeout_at(sigterm + deadlines.kill_after(), read_message(&mut client.stream)).await {
        Ok(Some(_)) => Outcome::Answered,
        Ok(None) | Err(_) => Outcome::Unanswered,
    }
}

/// Shuts a gateway down whose endpoints do not respond, and returns how late requests ended.
async fn late_requests_in_shutdown(deadlines: Deadlines) -> Vec<Outcome> {
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINTS {
        endpoints.push(TestEndpoint::responding(ScriptedResponse::NoResponse).await);
    }
    let named = endpoints.iter().enumerate();
    let entries: Vec<_> =
        named.map(|(n, endpoint)| common::in_service(&format!("b{n}"), endpoint.address)).collect();
    let options = GatewayOptions::with_entries(&entries).with_long_timeouts(LONG_TIMEOUT_MS);
    let config_edits = [options.config_edits.clone(), deadlines.config_edits()].concat();
    let options = GatewayOptions { config_edits, ..options };
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;

    env.gateway.send_sigterm();
    let sigterm = Instant::now();
    let gateway = env.gateway.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| tokio::spawn(send_late_request(gateway, sigterm, deadlines))).collect();
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.await.expect("a client failed"));
    }
    outcomes
}

const LONG_TIMEOUT_MS: u64 = 200_000;

// Guards against final responses that are due after the kill: they were due 3.5 s after SIGTERM for every
// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_are_answered_before_the_earliest_kill_for_each_longest_deadline() {
    let same = |ms| Deadlines { by_class_ms: [Some(ms); 3], requested_ms: ms };
    let cases = [
        same(300),
        same(800),
        same(2000),
        same(4000),
        // Classes with different deadlines, a client that asks for more than its class allows, and settings that
        // name no deadline.
        Deadlines { by_class_ms: [Some(200), Some(800), Some(300)], requested_ms: 800 },
        Deadlines { by_class_ms: [Some(300); 3], requested_ms: 60_000 },
        Deadlines { by_class_ms: [Some(300), None, None], requested_ms: 300 },
        Deadlines { by_class_ms: [None; 3], requested_ms: 4000 },
    ];
    let runs: Vec<_> =
        cases.iter().map(|deadlines| tokio::spawn(late_requests_in_shutdown(*deadlines))).collect();

    let mut answered = 0;
    for (deadlines, run) in cases.iter().zip(runs) {
        let outcomes = run.await.expect("a shutdown failed");
        assert!(!outcomes.contains(&Outcome::Unanswered), "{deadlines:?}: {outcomes:?}");
        answered += outcomes.iter().filter(|outcome| **outcome == Outcome::Answered).count();
    }
    assert!(answered > 0, "no connection was open for a late request");
}
