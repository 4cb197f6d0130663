//! A gateway process that resumes after a pause: data that arrived during the pause is read before a timeout
//! that expired during the pause takes effect.

mod common;

use common::{
    Class, ConfigEdit, CounterBehavior, GatewayOptions, RequestBuilder, ScriptedResponse, TestCounter,
    TestDiscovery, TestEndpoint, TestEnvironment, delta, idempotent_request, in_service, ok_response,
    sleep_ms, wait_until,
};

const DEADLINE_MS: u64 = 20_000;
/// Longer than the time the gateway allows for the next request on a connection.
const LONG_PAUSE_MS: u64 = 3000;
/// The number of gateways that each test pauses concurrently, because a pause does not always interrupt the
/// wait of an event loop.
const GATEWAYS: usize = 4;

/// Suspends the gateways, awaits `during`, and resumes the gateways after another `length_ms`.
async fn pause(environments: &[TestEnvironment], length_ms: u64, during: impl AsyncFnOnce()) {
    environments.iter().for_each(|env| env.gateway.suspend());
    sleep_ms(20).await;
    during().await;
    sleep_ms(length_ms).await;
    environments.iter().for_each(|env| env.gateway.resume());
}

async fn start_all(options: &GatewayOptions, behavior: CounterBehavior) -> Vec<TestEnvironment> {
    let mut environments = Vec::new();
    for _ in 0..GATEWAYS {
        environments.push(TestEnvironment::start(options, behavior).await);
    }
    environments
}

// Guards against the request timeout closing a connection with an unread request, which reset the connection.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_arrives_on_an_idle_connection_during_a_pause_is_answered() {
    let endpoint = TestEndpoint::ok("x").await;
    let options = GatewayOptions::with_endpoint(endpoint.address);
    let environments = start_all(&options, CounterBehavior::Add).await;
    let mut clients = Vec::new();
    for env in &environments {
        let mut client = env.gateway.client().await;
        assert_eq!(client.request(&idempotent_request(DEADLINE_MS)).await.status(), 200);
        clients.push(client);
    }

    pause(&environments, LONG_PAUSE_MS, async || {
        for client in &mut clients {
            client.write(&idempotent_request(DEADLINE_MS)).await;
        }
    })
    .await;

    for client in &mut clients {
        let response = client.read_response_or_close().await;
        assert_eq!(response.map(|response| response.status()), Some(200));
    }
}

// Guards against treating a response as truncated whose rest is unread when its timeout expires.
#[tokio::test(flavor = "multi_thread")]
async fn response_that_is_completed_during_a_pause_is_forwarded() {
    let response = ok_response("abcdef");
    let (first, second) = response.split_at(response.len() - 3);
    let script = ScriptedResponse::WriteInTwoParts {
        first: first.to_owned(),
        delay_ms: 150,
        second: second.to_owned(),
    };
    let endpoint = TestEndpoint::responding(script).await;
    let options = GatewayOptions::with_endpoint(endpoint.address);
    let environments = start_all(&options, CounterBehavior::Add).await;
    let mut clients = Vec::new();
    for env in &environments {
        let mut client = env.gateway.client().await;
        client.write(&RequestBuilder::new(Class::NonIdempotent, DEADLINE_MS).body("b").build()).await;
        clients.push(client);
    }
    wait_until("the attempts", || endpoint.request_count() == GATEWAYS).await;
    sleep_ms(50).await;

    pause(&environments, 600, async || {}).await;

    for client in &mut clients {
        let response = client.read_response().await;
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"abcdef"[..]));
    }
}

// Guards against losing the units of a counter call whose reply is unread when its timeout expires.
#[tokio::test(flavor = "multi_thread")]
async fn counter_reply_that_arrives_during_a_pause_is_used() {
    let endpoint = TestEndpoint::ok("x").await;
    let options =
        GatewayOptions { refill_rate: 0.001, burst: 10.0, ..GatewayOptions::with_endpoint(endpoint.address) };
    // Requests wait longer than the counter timeout, so that they are not served from the fallback allowance.
    let long_wait = ConfigEdit::new(r#""goal-time-ms":800"#, r#""goal-time-ms":80000"#);
    let options = GatewayOptions { config_edits: vec![long_wait], ..options };
    let environments = start_all(&options, CounterBehavior::AddAndReplyAfter { delay_ms: 60 }).await;
    let mut clients = Vec::new();
    for env in &environments {
        let mut client = env.gateway.client().await;
        client.write(&idempotent_request(DEADLINE_MS)).await;
        clients.push(client);
    }
    for env in &environments {
        wait_until("the counter calls", || env.counter.call_count() == 2).await;
    }

    pause(&environments, 600, async || {}).await;

    for (env, client) in environments.iter().zip(&mut clients) {
        assert_eq!(client.read_response().await.status(), 200);
        for _ in 0..9 {
            assert_eq!(client.request(&idempotent_request(DEADLINE_MS)).await.status(), 200);
        }
        assert_eq!(env.counter.sum(), 10.0);
    }
}

// Guards against repeating a poll whose response, an endpoint list, is unread when the poll's timeout
// expires.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_list_that_arrives_during_a_pause_is_applied() {
    let old = TestEndpoint::ok("old").await;
    let new = TestEndpoint::ok("new").await;
    let options = GatewayOptions::with_entries(&[in_service("old", old.address)]);
    let mut environments = Vec::new();
    for _ in 0..GATEWAYS {
        let discovery = TestDiscovery::start().await;
        let counter = TestCounter::start(CounterBehavior::Add).await;
        let gateway = common::GatewayProcess::start(discovery.address, counter.address, &options).await;
        environments.push(TestEnvironment { gateway, discovery, counter });
    }
    for env in &environments {
        wait_until("a poll", || env.discovery.request_count() == 1).await;
    }

    pause(&environments, 2500, async || {
        for env in &environments {
            let removed = common::terminated("old", old.address);
            env.discovery.publish(delta(2, &[in_service("new", new.address), removed]));
        }
    })
    .await;

    for env in &environments {
        wait_until("the next poll", || env.discovery.request_count() >= 2).await;
        let response = env.gateway.request(&idempotent_request(DEADLINE_MS)).await;
        assert_eq!(response.body, b"new");
    }
}
