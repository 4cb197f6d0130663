//! System calls of the gateway that fail as Linux documents: no request is lost or run twice, and a moment of failures
//! that speak of this machine alone turns nobody away for longer than it lasts.

mod common;

use common::{Do, Endpoint, Gateway, Mood, Setup, World, ok, pause, request, row, until};
use std::collections::HashMap;
use std::time::Duration;

const CLIENTS: usize = 6;
const REQUESTS: usize = 60;
/// So many requests go over one connection.
const REQUESTS_EACH: usize = 12;
/// Enough time for each request to be tried again on a busy machine.
const DEADLINE: u64 = 20_000;

/// How the requests of a run ended.
#[derive(Debug, Default)]
struct Tally {
    statuses: HashMap<u16, usize>,
    /// Closed with no answer.
    lost: usize,
}

impl Tally {
    fn of(&self, status: u16) -> usize {
        self.statuses.get(&status).copied().unwrap_or_default()
    }
}

/// One client after another on each of some connections, all classes by turns.
async fn play(gateway: &Gateway, requests: usize) -> Tally {
    let clients = (0..CLIENTS).map(|_| {
        let at = gateway.at;
        tokio::spawn(async move {
            let (mut statuses, mut lost, mut client) = (Vec::new(), 0, None);
            for number in 0..requests {
                if number % REQUESTS_EACH == 0 {
                    client = None;
                }
                let mut open = match client.take() {
                    Some(open) => open,
                    None => common::Client::connect(at).await,
                };
                let (class, body) = [("look", ""), ("save", "body"), ("order", "body")][number % 3];
                match open.try_ask(&request(class, DEADLINE, "", body)).await {
                    Some(reply) => {
                        statuses.push(reply.status());
                        client = (reply.headers.get("connection").map(String::as_str) != Some("close"))
                            .then_some(open);
                    }
                    None => lost += 1,
                }
            }
            (statuses, lost)
        })
    });
    let mut tally = Tally::default();
    for client in clients.collect::<Vec<_>>() {
        let (statuses, lost) = common::soon("a client's answers", client).await.expect("a client");
        tally.lost += lost;
        for status in statuses {
            *tally.statuses.entry(status).or_default() += 1;
        }
    }
    tally
}

/// No id was heard twice, in any class: nothing fails at the endpoints, so nothing is to be repeated.
fn assert_none_twice(endpoints: &[&Endpoint]) {
    let mut heard = HashMap::new();
    for endpoint in endpoints {
        for message in endpoint.heard.lock().expect("lock").iter() {
            *heard.entry(message.headers["req-id"].clone()).or_insert(0) += 1;
        }
    }
    let twice: Vec<_> = heard.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

async fn endpoints() -> [Endpoint; 3] {
    let deeds = [Do::SayLater(2, ok("x"))];
    [Endpoint::start(&deeds).await, Endpoint::start(&deeds).await, Endpoint::start(&deeds).await]
}

fn setup(endpoints: &[Endpoint]) -> Setup {
    let rows: Vec<_> =
        endpoints.iter().enumerate().map(|(n, b)| row(&format!("b{n}"), b.at, "in_service")).collect();
    Setup { rate: 100_000.0, burst: 100_000.0, ..Setup::knowing(&rows) }
}

/// Plays requests under faults on each of some seeds; all must be served, once.
async fn all_are_served(faults: &str) {
    for seed in [1, 2] {
        let endpoints = endpoints().await;
        let faults = format!("seed={seed};{faults}");
        let world = World::set(&setup(&endpoints).failing(&faults), Mood::Adds).await;
        let tally = play(&world.gateway, REQUESTS).await;
        assert_eq!((tally.lost, tally.of(200)), (0, CLIENTS * REQUESTS), "{faults}: {tally:?}");
        assert_none_twice(&endpoints.each_ref());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_reads_lose_nothing() {
    all_are_served("recv=EINTR/50").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interrupted_writes_and_waits_lose_nothing() {
    all_are_served("send=EINTR/50;epoll_wait=EINTR/50").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_and_writes_that_find_no_memory_for_a_moment_lose_nothing() {
    all_are_served("recv=ENOMEM/30;send=ENOBUFS/30").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn short_reads_and_writes_lose_nothing() {
    all_are_served("short=500").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_that_fail_for_a_moment_lose_nothing() {
    all_are_served("accept=ECONNABORTED/200;accept=ENFILE/100;accept=EINTR/100;accept=EPROTO/50").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sockets_that_cannot_be_set_up_for_a_moment_lose_nothing() {
    all_are_served("socket=ENFILE/200;connect=EADDRNOTAVAIL/200;connect=EINTR/100;setsockopt=ENOBUFS/300")
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_moment_without_local_ports_or_routes_takes_no_endpoint_out_of_use() {
    for fault in ["connect=EADDRNOTAVAIL/1000", "connect=ENETUNREACH/1000", "socket=EMFILE/1000"] {
        let endpoints = endpoints().await;
        let faults = format!("{fault}@500-1500");
        let world =
            World::set(&Setup { cold: 60_000, ..setup(&endpoints) }.failing(&faults), Mood::Adds).await;
        pause(700).await;
        let tally = play(&world.gateway, 3).await;
        assert_eq!(tally.lost, 0, "{fault}: {tally:?}");
        // What failed is over, and says nothing of any endpoint.
        pause(900).await;
        let tally = play(&world.gateway, 3).await;
        assert_eq!((tally.lost, tally.of(200)), (0, 3 * CLIENTS), "{fault}: {tally:?}");
        assert_none_twice(&endpoints.each_ref());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_starts_though_its_first_sockets_fail() {
    let endpoints = endpoints().await;
    let faults = "socket=ENFILE/1000@0-300;setsockopt=ENOBUFS/500@0-600;epoll_ctl=ENOMEM/500@0-600";
    let world = World::set(&setup(&endpoints).failing(faults), Mood::Adds).await;
    pause(700).await;
    let tally = play(&world.gateway, 3).await;
    assert_eq!((tally.lost, tally.of(200)), (0, 3 * CLIENTS), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn signals_are_heard_though_calls_are_interrupted() {
    let endpoints = endpoints().await;
    let mut world =
        World::set(&setup(&endpoints).failing("recv=EINTR/200;epoll_wait=EINTR/300"), Mood::Adds).await;
    for _ in 0..5 {
        world.gateway.reconfigure(&[]).await;
    }
    let mut client = world.gateway.client().await;
    client.write(&request("look", DEADLINE, "", "")).await;
    until("the attempt", || endpoints.iter().any(|b| b.attempts() > 0)).await;
    world.gateway.terminate();
    assert_eq!(client.read().await.status(), 200);
    let end = tokio::time::timeout(Duration::from_secs(30), world.gateway.ended()).await;
    assert_eq!(end.expect("an end").code(), Some(0));
}
