//! System calls of the gateway that fail as Linux documents: no request is lost or run twice, and transient
//! failures with a local cause lead to no rejections after they end.

mod common;

use common::{
    Class, CounterBehavior, GatewayOptions, GatewayProcess, RequestBuilder, ScriptedResponse, TestClient,
    TestEndpoint, TestEnvironment, idempotent_request, in_service, sleep_ms, wait_until, within_timeout,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

const CLIENTS: usize = 6;
const REQUESTS_PER_CLIENT: usize = 60;
const REQUESTS_PER_CONNECTION: usize = 12;
/// Enough time for each request to be retried on a busy machine.
const DEADLINE_MS: u64 = 20_000;

/// How the requests of a run ended.
#[derive(Debug, Default)]
struct Outcomes {
    by_status: HashMap<u16, usize>,
    /// Requests whose connection was closed without a response.
    lost: usize,
}

impl Outcomes {
    fn count(&self, status: u16) -> usize {
        self.by_status.get(&status).copied().unwrap_or_default()
    }

    fn merge(&mut self, other: &Self) {
        self.lost += other.lost;
        for (status, count) in &other.by_status {
            *self.by_status.entry(*status).or_default() += count;
        }
    }
}

/// Sends requests of all classes one after another, [`REQUESTS_PER_CONNECTION`] on each connection.
async fn run_client(gateway: SocketAddr, requests: usize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut idle_client = None;
    for number in 0..requests {
        if number % REQUESTS_PER_CONNECTION == 0 {
            idle_client = None;
        }
        let mut client = match idle_client.take() {
            Some(client) => client,
            None => TestClient::connect(gateway).await,
        };
        let (class, body) =
            [(Class::Idempotent, ""), (Class::WithIdempotencyKey, "body"), (Class::NonIdempotent, "body")]
                [number % 3];
        let request = RequestBuilder::new(class, DEADLINE_MS).body(body).build();
        match client.try_request(&request).await {
            Some(response) => {
                *outcomes.by_status.entry(response.status()).or_default() += 1;
                let closes = response.headers.get("connection").map(String::as_str) == Some("close");
                idle_client = (!closes).then_some(client);
            }
            None => outcomes.lost += 1,
        }
    }
    outcomes
}

/// Runs all clients concurrently.
async fn run_clients(gateway: &GatewayProcess, requests_per_client: usize) -> Outcomes {
    let address = gateway.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| tokio::spawn(run_client(address, requests_per_client))).collect();
    let mut outcomes = Outcomes::default();
    for client in clients {
        outcomes.merge(&within_timeout("a client's responses", client).await.expect("a client"));
    }
    outcomes
}

/// Panics if a request id was received twice, in any class: no attempt fails at the endpoints, so none has to
/// be retried.
fn assert_no_request_ran_twice(endpoints: &[TestEndpoint]) {
    let mut counts = HashMap::new();
    for endpoint in endpoints {
        for request in endpoint.requests() {
            *counts.entry(request.headers["req-id"].clone()).or_insert(0) += 1;
        }
    }
    let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
}

async fn start_endpoints() -> [TestEndpoint; 3] {
    let script = [ScriptedResponse::ok_after(2, "x")];
    let start = || TestEndpoint::start(&script);
    [start().await, start().await, start().await]
}

fn unlimited_options(endpoints: &[TestEndpoint]) -> GatewayOptions {
    let named = endpoints.iter().enumerate();
    let entries: Vec<_> = named.map(|(n, endpoint)| in_service(&format!("b{n}"), endpoint.address)).collect();
    GatewayOptions { refill_rate: 100_000.0, burst: 100_000.0, ..GatewayOptions::with_entries(&entries) }
}

/// Runs the clients with injected faults for some seeds, and checks that every request is served once.
async fn assert_all_are_served_once(faults: &str) {
    for seed in [1, 2] {
        let endpoints = start_endpoints().await;
        let faults = format!("seed={seed};{faults}");
        let options = unlimited_options(&endpoints).with_faults(&faults);
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;

        let outcomes = run_clients(&env.gateway, REQUESTS_PER_CLIENT).await;

        let expected = CLIENTS * REQUESTS_PER_CLIENT;
        assert_eq!((outcomes.lost, outcomes.count(200)), (0, expected), "{faults}: {outcomes:?}");
        assert_no_request_ran_twice(&endpoints);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_reads_lose_no_request() {
    assert_all_are_served_once("recv=EINTR/50").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_writes_and_polls_lose_no_request() {
    assert_all_are_served_once("send=EINTR/50;epoll_wait=EINTR/50").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_and_writes_that_fail_transiently_for_lack_of_memory_lose_no_request() {
    assert_all_are_served_once("recv=ENOMEM/30;send=ENOBUFS/30").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_reads_and_writes_lose_no_request() {
    assert_all_are_served_once("short=500").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_that_fail_transiently_lose_no_request() {
    assert_all_are_served_once("accept=ECONNABORTED/200;accept=ENFILE/100;accept=EINTR/100;accept=EPROTO/50")
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn socket_setups_that_fail_transiently_lose_no_request() {
    let faults = "socket=ENFILE/200;connect=EADDRNOTAVAIL/200;connect=EINTR/100;setsockopt=ENOBUFS/300";
    assert_all_are_served_once(faults).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn local_connect_failures_eject_no_endpoint() {
    for fault in ["connect=EADDRNOTAVAIL/1000", "connect=ENETUNREACH/1000", "socket=EMFILE/1000"] {
        let endpoints = start_endpoints().await;
        let options = GatewayOptions { slow_start_ms: 60_000, ..unlimited_options(&endpoints) };
        let options = options.with_faults(&format!("{fault}@500-1500"));
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;

        sleep_ms(700).await;
        let during = run_clients(&env.gateway, 3).await;
        sleep_ms(900).await;
        let after = run_clients(&env.gateway, 3).await;

        assert_eq!(during.lost, 0, "{fault}: {during:?}");
        assert_eq!((after.lost, after.count(200)), (0, 3 * CLIENTS), "{fault}: {after:?}");
        assert_no_request_ran_twice(&endpoints);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_starts_even_if_its_first_sockets_fail() {
    let endpoints = start_endpoints().await;
    let faults = "socket=ENFILE/1000@0-300;setsockopt=ENOBUFS/500@0-600;epoll_ctl=ENOMEM/500@0-600";
    let options = unlimited_options(&endpoints).with_faults(faults);
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;

    sleep_ms(700).await;
    let outcomes = run_clients(&env.gateway, 3).await;

    assert_eq!((outcomes.lost, outcomes.count(200)), (0, 3 * CLIENTS), "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_are_handled_while_system_calls_are_interrupted() {
    let endpoints = start_endpoints().await;
    let options = unlimited_options(&endpoints).with_faults("recv=EINTR/200;epoll_wait=EINTR/300");
    let mut env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    for _ in 0..5 {
        env.gateway.reconfigure(&[]).await;
    }
    let mut client = env.gateway.client().await;
    client.write(&idempotent_request(DEADLINE_MS)).await;
    wait_until("the attempt", || endpoints.iter().any(|endpoint| endpoint.request_count() > 0)).await;

    env.gateway.send_sigterm();

    assert_eq!(client.read_response().await.status(), 200);
    let exit = tokio::time::timeout(Duration::from_secs(30), env.gateway.wait_for_exit()).await;
    assert_eq!(exit.expect("an exit in time").code(), Some(0));
}
