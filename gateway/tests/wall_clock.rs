//! Gateways that start when their machine's wall clock has been stepped: quotas and slow start hold all the same.

mod common;

use common::{Counter, Discovery, Do, Endpoint, Gateway, Mood, Setup, list, ok, request, row};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
const RATE: f64 = 12.0;
const BURST: f64 = 30.0;

/// Asks for one tenant's units at a gateway until then, far faster than its quota; tells how many were served.
async fn press(gateway: &Gateway, until: Instant) -> usize {
    let (mut client, mut served) = (gateway.client().await, 0);
    while Instant::now() < until {
        let text = request("look", 2000, "", "").replace("spread=1", "spread=2");
        let reply = client.ask(&text).await;
        served += usize::from(reply.status() == 200);
        common::pause(10).await;
    }
    served
}

/// What two gateways serve of one quota, as a share of it, where one's clock is off by this much.
async fn share_served(skew_ms: i64) -> f64 {
    let endpoint = Endpoint::start(&[Do::Say(ok("x"))]).await;
    let (discovery, counter) = (Discovery::start().await, Counter::start(Mood::Adds).await);
    let mut gateways = Vec::new();
    for number in 0..2 {
        let rows = [row("b", endpoint.at, "in_service")];
        let setup = Setup { rate: RATE, burst: BURST, gateways: 2, number, ..Setup::knowing(&rows) };
        let setup = if number == 1 { setup.failing(&format!("realtime={skew_ms}")) } else { setup };
        gateways.push(Gateway::start(discovery.at, counter.at, &setup).await);
    }
    let begun = Instant::now();
    let until = begun + Duration::from_secs(8);
    let (one, two) = tokio::join!(press(&gateways[0], until), press(&gateways[1], until));
    (one + two) as f64 / (BURST + RATE * begun.elapsed().as_secs_f64())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quota_holds_over_gateways_whose_clocks_differ() {
    let skews = [0, HOUR_MS, -HOUR_MS, 1000, -3000, 300];
    let runs = skews.map(|skew| tokio::spawn(async move { (skew, share_served(skew).await) }));
    let mut shares = Vec::new();
    for run in runs {
        shares.push(run.await.expect("a run"));
    }
    println!("clock off by so many ms, share of the quota served: {shares:.2?}");
    // A second off or less is found out within seconds: a window's edge in them can cost up to a burst.
    let most = |skew: i64| if (1..=1000).contains(&skew.abs()) { 1.35 } else { 1.15 };
    assert!(shares.iter().all(|(skew, share)| (0.85..=most(*skew)).contains(share)), "{shares:.2?}");
}

/// How many of 100 requests go to the one server of eight that has just started, at a gateway whose clock is off.
async fn sent_to_new_server(skew_ms: i64, known: bool) -> usize {
    const COLD_MS: u64 = 300_000;
    let mut endpoints = Vec::new();
    for _ in 0..8 {
        endpoints.push(Endpoint::start(&[Do::Say(ok("x"))]).await);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    let mut rows: Vec<_> =
        endpoints.iter().enumerate().map(|(n, b)| row(&format!("b{n}"), b.at, "in_service")).collect();
    let new = rows.pop().expect("a row").replace(r#""born_ms":0"#, &format!(r#""born_ms":{now}"#));
    let (discovery, counter) = (Discovery::start().await, Counter::start(Mood::Adds).await);
    let before = if known { [rows.clone(), vec![new.clone()]].concat() } else { rows };
    let setup = Setup { cold: COLD_MS, ..Setup::knowing(&before) }.failing(&format!("realtime={skew_ms}"));
    let gateway = Gateway::start(discovery.at, counter.at, &setup).await;
    if !known {
        discovery.tell(list(2, false, &[new]));
        discovery.taken_in().await;
    }
    let mut client = gateway.client().await;
    for _ in 0..400 {
        assert_eq!(client.ask(&request("look", 2000, "", "")).await.status(), 200);
    }
    endpoints[7].attempts()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_has_just_started_is_cold_whatever_the_clock_says() {
    for known in [false, true] {
        let usual = sent_to_new_server(0, known).await;
        for skew in [HOUR_MS, 10_000, -HOUR_MS] {
            let sent = sent_to_new_server(skew, known).await;
            println!("known {known}, clock off by {skew} ms: {sent} of 400, {usual} with the right clock");
            // Of 400, 50 is an even part; a fifth of the capacity is a fifth of that, less while it starts.
            assert!(sent <= 25, "known {known}, clock off by {skew} ms: {sent} of 400");
        }
    }
}
