//! Connections to endpoints: reuse of idle ones, and those established too late for their request.

mod common;

use common::{
    ConfigEdit, CounterBehavior, FullBacklog, GatewayOptions, ScriptedResponse, TestEndpoint,
    TestEnvironment, delta, idempotent_request, in_service, non_idempotent_request, sleep_ms, snapshot,
    terminated, terminating, wait_for_connection_attempt, wait_until,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const DEADLINE_MS: u64 = 900;
const LONG_DEADLINE_MS: u64 = 500_000;
const LONG_TIMEOUT_MS: u64 = 200_000;

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_clients_and_endpoints_are_reused() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;

    for _ in 0..20 {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 200);
        // A connection is reused only after a minimum idle time.
        sleep_ms(40).await;
    }

    assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (20, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_closed_by_its_endpoint_is_not_reused() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::WriteAndClose(common::ok_response("x"))).await;
    // A connection attempt that timed out on a busy machine would eject the only endpoint.
    let options = GatewayOptions::with_endpoint(endpoint.address).with_long_timeouts(50_000);
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;

    for n in 1..=10 {
        assert_eq!(client.request(&non_idempotent_request(50_000)).await.status(), 200);
        wait_until("the close by the endpoint", || endpoint.connections_closed() == n).await;
    }

    assert_eq!(endpoint.request_count(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn timeout_of_an_attempt_closes_the_idle_connections_to_its_endpoint() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::ok_after(300, "x")).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut first_client = env.gateway.client().await;
    let mut second_client = env.gateway.client().await;
    let (first, second) = (idempotent_request(DEADLINE_MS), idempotent_request(DEADLINE_MS));
    let (first, second) = tokio::join!(first_client.request(&first), second_client.request(&second));
    assert_eq!((first.status(), second.status()), (200, 200));
    assert_eq!((endpoint.connections_opened(), endpoint.connections_closed()), (2, 0));
    endpoint.set_script(&[ScriptedResponse::NoResponse]);
    // A connection is reused only after a minimum idle time.
    sleep_ms(50).await;

    assert_eq!(first_client.request(&non_idempotent_request(700)).await.status(), 504);

    wait_until("the end of both connections", || endpoint.connections_closed() == 2).await;
    assert_eq!(endpoint.request_count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_idle_as_long_as_one_that_broke_are_not_reused_for_a_while() {
    struct Step {
        status: u16,
        connections: u32,
    }
    let script = [ScriptedResponse::ok("x"), ScriptedResponse::close(), ScriptedResponse::ok("x")];
    let endpoint = TestEndpoint::start(&script).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;
    // The second request reuses a connection, which breaks; the later ones open new connections.
    let steps = [
        Step { status: 200, connections: 1 },
        Step { status: 502, connections: 1 },
        Step { status: 200, connections: 2 },
        Step { status: 200, connections: 3 },
        Step { status: 200, connections: 4 },
    ];

    for Step { status, connections } in steps {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), status);
        assert_eq!(endpoint.connections_opened(), connections);
        sleep_ms(450).await;
    }
    // Connections that have been idle for a shorter time are reused as before.
    for _ in 0..3 {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 200);
        sleep_ms(30).await;
    }

    assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (8, 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_established_after_its_endpoint_left_the_list_carries_no_request() {
    type Update = fn(endpoint: SocketAddr, other: SocketAddr) -> String;
    let updates: [Update; 4] = [
        |endpoint, other| delta(2, &[terminating("b", endpoint), in_service("other", other)]),
        |endpoint, other| delta(2, &[terminated("b", endpoint), in_service("other", other)]),
        |_, other| snapshot(2, &[in_service("other", other)]),
        // The same endpoint at another address.
        |_, other| snapshot(2, &[in_service("b", other)]),
    ];
    let other = TestEndpoint::ok("other").await;
    for update in updates {
        let backlog = FullBacklog::start().await;
        let address = backlog.address;
        let options = GatewayOptions::with_endpoint(address).with_long_timeouts(LONG_TIMEOUT_MS);
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
        let mut client = env.gateway.client().await;
        client.write(&non_idempotent_request(LONG_DEADLINE_MS)).await;
        wait_for_connection_attempt(address).await;
        env.discovery.wait_until_processed().await;

        env.discovery.publish(update(address, other.address));
        env.discovery.wait_until_processed().await;
        let late_connections = backlog.accept_all();

        assert_eq!(client.read_response().await.body, b"other");
        late_connections.wait_until_all_closed().await;
        assert_eq!(late_connections.request_lines(), Vec::<String>::new());
    }
    assert_eq!(other.request_count(), 4);
}

// Guards against new work for a process that has gone: its connections are taken for those of the process that was
// started at its address, under the same name.
#[tokio::test(flavor = "multi_thread")]
async fn connection_to_an_earlier_process_of_an_endpoint_is_not_reused() {
    let endpoint = TestEndpoint::ok("x").await;
    let in_use = TestEndpoint::responding(ScriptedResponse::ok_after(400, "x")).await;
    for endpoint in [endpoint, in_use] {
        let options = GatewayOptions { slow_start_ms: 1, ..GatewayOptions::with_endpoint(endpoint.address) };
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
        let mut client = env.gateway.client().await;
        client.write(&non_idempotent_request(DEADLINE_MS)).await;
        wait_until("the attempt", || endpoint.request_count() == 1).await;

        let started_again = in_service("b", endpoint.address).replace(r#""born_ms":0"#, r#""born_ms":1000"#);
        env.discovery.publish(delta(2, &[started_again]));
        env.discovery.wait_until_processed().await;
        assert_eq!(client.read_response().await.status(), 200);
        // A connection is reused only after a minimum idle time.
        sleep_ms(50).await;
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 200);

        assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (2, 2));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_established_as_its_request_times_out_carries_no_request() {
    let backlog = FullBacklog::start().await;
    let address = backlog.address;
    let options = GatewayOptions::with_endpoint(address).with_long_timeouts(LONG_TIMEOUT_MS);
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;
    let sent_at = Instant::now();
    client.write(&non_idempotent_request(3000)).await;
    wait_for_connection_attempt(address).await;

    // The gateway detects the connection and the end of the request's deadline in the same iteration of its
    // event loop.
    env.gateway.suspend();
    let late_connections = backlog.accept_all();
    late_connections.wait_until_opened(1).await;
    tokio::time::sleep_until((sent_at + Duration::from_secs(4)).into()).await;
    env.gateway.resume();

    assert_ne!(client.read_response().await.status(), 200);
    late_connections.wait_until_all_closed().await;
    assert_eq!(late_connections.request_lines(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_established_after_its_request_was_served_elsewhere_carries_no_request() {
    let backlog = FullBacklog::start().await;
    let address = backlog.address;
    let other = TestEndpoint::ok("other").await;
    let mut options = GatewayOptions::with_endpoint(address).with_long_timeouts(LONG_TIMEOUT_MS);
    let long_connect_timeout = format!(r#""dial-timeout-ms":{LONG_TIMEOUT_MS}"#);
    options.config_edits.push(ConfigEdit::new(long_connect_timeout, r#""dial-timeout-ms":2000"#));
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;
    client.write(&non_idempotent_request(LONG_DEADLINE_MS)).await;
    wait_for_connection_attempt(address).await;
    env.discovery.wait_until_processed().await;

    env.discovery.publish(delta(2, &[in_service("other", other.address)]));
    assert_eq!(client.read_response().await.body, b"other");
    // This connection of the test is established after those of the gateway, none of which may carry a
    // request.
    let late_connections = backlog.accept_all();
    drop(TcpStream::connect(address).await.expect("a connection"));
    late_connections.wait_until_opened(1).await;
    late_connections.wait_until_all_closed().await;

    assert_eq!((late_connections.request_lines(), other.request_count()), (Vec::new(), 1));
}
