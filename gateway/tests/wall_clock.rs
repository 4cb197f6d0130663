//! Gateways whose wall clock is wrong from the start: quotas and slow start still hold.

mod common;

use common::{
    CounterBehavior, GatewayOptions, GatewayProcess, TestCounter, TestDiscovery, TestEndpoint, delta,
    idempotent_request, in_service, sleep_ms,
};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;
const DEADLINE_MS: u64 = 2000;
const REFILL_RATE: f64 = 12.0;
const BURST: f64 = 30.0;
/// How long each run sends more requests than the quota allows.
const OVERLOAD_DURATION: Duration = Duration::from_secs(8);

/// Sends requests of one tenant to a gateway until `end`, far in excess of the tenant's quota. Returns the
/// number of served requests.
async fn count_served(gateway: &GatewayProcess, end: Instant) -> usize {
    let mut client = gateway.client().await;
    let mut served = 0;
    while Instant::now() < end {
        let text = idempotent_request(DEADLINE_MS).replace("spread=1", "spread=2");
        let response = client.request(&text).await;
        served += usize::from(response.status() == 200);
        sleep_ms(10).await;
    }
    served
}

/// The ratio of the units that two gateways serve to the quota, when the clock of one gateway is off by
/// `skew_ms`.
async fn served_fraction_of_quota(skew_ms: i64) -> f64 {
    let endpoint = TestEndpoint::ok("x").await;
    let discovery = TestDiscovery::start().await;
    let counter = TestCounter::start(CounterBehavior::Add).await;
    let mut gateways = Vec::new();
    for gateway_index in 0..2 {
        let options = GatewayOptions {
            refill_rate: REFILL_RATE,
            burst: BURST,
            gateway_count: 2,
            gateway_index,
            ..GatewayOptions::with_endpoint(endpoint.address)
        };
        let options =
            if gateway_index == 1 { options.with_faults(&format!("realtime={skew_ms}")) } else { options };
        gateways.push(GatewayProcess::start(discovery.address, counter.address, &options).await);
    }

    let start = Instant::now();
    let end = start + OVERLOAD_DURATION;
    let (first, second) = tokio::join!(count_served(&gateways[0], end), count_served(&gateways[1], end));

    (first + second) as f64 / (BURST + REFILL_RATE * start.elapsed().as_secs_f64())
}

#[tokio::test(flavor = "multi_thread")]
async fn quota_holds_across_gateways_whose_wall_clocks_differ() {
    let skews_ms = [0, HOUR_MS, -HOUR_MS, 1000, -3000, 300];

    let runs = skews_ms.map(|skew| tokio::spawn(async move { (skew, served_fraction_of_quota(skew).await) }));
    let mut fractions = Vec::new();
    for run in runs {
        fractions.push(run.await.expect("run task failed"));
    }

    println!("clock skew in ms, served fraction of the quota: {fractions:.2?}");
    // A skew of a second or less is detected within seconds. Before that, a window boundary can exceed the
    // quota by up to a burst.
    let max_fraction = |skew: i64| if (1..=1000).contains(&skew.abs()) { 1.35 } else { 1.15 };
    assert!(
        fractions.iter().all(|(skew, fraction)| (0.85..=max_fraction(*skew)).contains(fraction)),
        "{fractions:.2?}"
    );
}

/// How the gateway learns of the endpoint that has just started.
#[derive(Clone, Copy, Debug)]
enum NewEndpoint {
    Published,
    Cached,
}

/// Sends 400 requests to a gateway with eight endpoints, one of which has just started, and a clock that is
/// off by `skew_ms`. Returns the number of requests at the new endpoint.
async fn requests_at_new_endpoint(skew_ms: i64, new_endpoint: NewEndpoint) -> usize {
    const SLOW_START_MS: u64 = 300_000;
    let mut endpoints = Vec::new();
    for _ in 0..8 {
        endpoints.push(TestEndpoint::ok("x").await);
    }
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("time is before the epoch").as_millis();
    let named = endpoints.iter().enumerate();
    let mut entries: Vec<_> =
        named.map(|(n, endpoint)| in_service(&format!("b{n}"), endpoint.address)).collect();
    let new_entry = entries.pop().expect("there are eight entries");
    let new_entry = new_entry.replace(r#""born_ms":0"#, &format!(r#""born_ms":{now_ms}"#));
    if let NewEndpoint::Cached = new_endpoint {
        entries.push(new_entry.clone());
    }
    let discovery = TestDiscovery::start().await;
    let counter = TestCounter::start(CounterBehavior::Add).await;
    let options = GatewayOptions { slow_start_ms: SLOW_START_MS, ..GatewayOptions::with_entries(&entries) };
    let options = options.with_faults(&format!("realtime={skew_ms}"));
    let gateway = GatewayProcess::start(discovery.address, counter.address, &options).await;
    if let NewEndpoint::Published = new_endpoint {
        discovery.publish(delta(2, &[new_entry]));
        discovery.wait_until_processed().await;
    }

    let mut client = gateway.client().await;
    for _ in 0..400 {
        assert_eq!(client.request(&idempotent_request(DEADLINE_MS)).await.status(), 200);
    }

    endpoints[7].request_count()
}

#[tokio::test(flavor = "multi_thread")]
async fn new_endpoint_is_in_slow_start_regardless_of_the_wall_clock() {
    for new_endpoint in [NewEndpoint::Published, NewEndpoint::Cached] {
        let baseline = requests_at_new_endpoint(0, new_endpoint).await;
        for skew_ms in [HOUR_MS, 10_000, -HOUR_MS] {
            let count = requests_at_new_endpoint(skew_ms, new_endpoint).await;

            println!("{new_endpoint:?}, clock skew {skew_ms} ms: {count} of 400, {baseline} without skew");
            // An equal share of 400 is 50. At a fifth of its capacity an endpoint gets a fifth of that, and
            // less during slow start.
            assert!(count <= 25, "{new_endpoint:?}, clock skew {skew_ms} ms: {count} of 400");
        }
    }
}
