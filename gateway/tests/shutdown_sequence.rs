//! Graceful shutdown step by step: what a draining gateway still serves, and the order in which it closes
//! connections, returns quota and exits. `graceful_shutdown/` tests shutdowns under load.

mod common;

use common::{
    CounterBehavior, GatewayOptions, READINESS_REQUEST, ScriptedResponse, TestClient, TestEndpoint,
    TestEnvironment, idempotent_request, non_idempotent_request, sleep_ms, wait_until, within_timeout,
};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};

const DEADLINE_MS: u64 = 900;
const LONG_DEADLINE_MS: u64 = 50_000;
/// Long enough that no request of these tests reaches its deadline.
const LONGEST_DEADLINE_MS: u64 = 500_000;
const LONG_TIMEOUT_MS: u64 = 200_000;

fn long_timeout_options(endpoint: &TestEndpoint) -> GatewayOptions {
    GatewayOptions::with_endpoint(endpoint.address).with_long_timeouts(LONG_TIMEOUT_MS)
}

/// A plan with a burst of 10 units, which takes 1000 s to refill completely.
fn small_quota_options(endpoint: &TestEndpoint) -> GatewayOptions {
    GatewayOptions { refill_rate: 0.01, burst: 10.0, ..GatewayOptions::with_endpoint(endpoint.address) }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_gateway_answers_requests_in_flight_and_new_ones_and_exits_with_status_0() {
    let endpoint = TestEndpoint::start(&[ScriptedResponse::NoResponse, ScriptedResponse::ok("x")]).await;
    let mut env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut in_flight = env.gateway.client().await;
    let mut idle = env.gateway.client().await;
    assert_eq!(idle.request(READINESS_REQUEST).await.status(), 200);
    in_flight.write(&non_idempotent_request(2000)).await;
    wait_until("the attempt", || endpoint.request_count() == 1).await;

    env.gateway.send_sigterm();
    env.gateway.wait_until_draining().await;

    for client in [&mut env.gateway.client().await, &mut idle] {
        let response = client.request(&idempotent_request(DEADLINE_MS)).await;
        assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    }
    // The endpoint never responds, so the request in flight is answered at its deadline.
    let response = in_flight.read_response().await;
    assert_eq!((response.status(), response.headers["connection"].as_str()), (504, "close"));
    in_flight.expect_clean_close().await;
    env.gateway.expect_clean_exit().await;
    assert_eq!(endpoint.request_count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_gateway_closes_idle_connections_while_it_accepts_new_ones() {
    let endpoint = TestEndpoint::ok("x").await;
    let mut env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut idle = env.gateway.client().await;
    assert_eq!(idle.request(READINESS_REQUEST).await.status(), 200);

    env.gateway.send_sigterm();

    // A client whose request races with this close retries it on a new connection.
    idle.expect_clean_close().await;
    let response = env.gateway.request(&non_idempotent_request(DEADLINE_MS)).await;
    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    env.gateway.expect_clean_exit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn client_with_incomplete_headers_does_not_delay_the_exit() {
    let mut env = TestEnvironment::with_endpoints(&[]).await;
    let mut slow = env.gateway.client().await;
    slow.write("GET /up HTTP/1.1\r\nHo").await;
    assert_eq!(env.gateway.request(READINESS_REQUEST).await.status(), 200);

    env.gateway.send_sigterm();

    // The bound allows for a busy machine. It does not show that the exit precedes the request timeout, which
    // is 2.5 s.
    let exit = tokio::time::timeout(Duration::from_secs(30), env.gateway.wait_for_exit()).await;
    assert_eq!(exit.expect("gateway did not exit in time").code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn first_request_after_idle_connections_were_closed_is_answered() {
    let endpoint = TestEndpoint::ok("x").await;
    let mut env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut idle = env.gateway.client().await;
    assert_eq!(idle.request(READINESS_REQUEST).await.status(), 200);

    env.gateway.send_sigterm();
    // This client connects while the gateway drains, and sends its request after the idle connections are
    // closed.
    let mut new_client = env.gateway.client().await;
    idle.expect_close().await;
    let response = new_client.request(&non_idempotent_request(DEADLINE_MS)).await;

    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    env.gateway.expect_clean_exit().await;
}

// Guards against a client that cannot write its request and misses the response, as the draining gateway closed its
// connection before it had received the body of an invalid request.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_an_invalid_request_is_not_followed_by_a_reset_while_the_gateway_drains() {
    let env = TestEnvironment::with_endpoints(&[]).await;
    let part_of_body = "y".repeat(10_000);
    let request = non_idempotent_request(DEADLINE_MS).replace("/order/", "/unknown/");
    let request = request.replace("Content-Length: 1", "Content-Length: 60000") + &part_of_body;
    let (first_part, second_part) = request.split_at(30);
    let mut idle = env.gateway.client().await;
    assert_eq!(idle.request(READINESS_REQUEST).await.status(), 200);
    let mut client = env.gateway.client().await;
    client.write(first_part).await;

    env.gateway.send_sigterm();
    idle.expect_close().await;
    client.write(second_part).await;

    assert_eq!(client.status_before_later_parts(&part_of_body).await, 400);
}

#[tokio::test(flavor = "multi_thread")]
async fn further_signals_do_not_shorten_draining() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::ok_after(1500, "x")).await;
    let mut env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;
    client.write(&non_idempotent_request(LONG_DEADLINE_MS)).await;
    wait_until("the attempt", || endpoint.request_count() == 1).await;

    env.gateway.send_sigterm();
    env.gateway.wait_until_draining().await;
    env.gateway.send_sigterm();
    env.gateway.reconfigure(&[]).await;
    env.gateway.send_sigterm();

    assert_eq!(client.read_response().await.body, b"x");
    env.gateway.expect_clean_exit().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn response_not_yet_read_by_its_client_is_complete_after_the_exit() {
    let body = "y".repeat(60_000);
    let endpoint = TestEndpoint::ok(&body).await;
    let mut env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let socket = TcpSocket::new_v4().expect("failed to create a socket");
    socket.set_recv_buffer_size(2048).expect("failed to set SO_RCVBUF");
    let mut client = TestClient::new(socket.connect(env.gateway.address).await.expect("failed to connect"));
    client.write(&non_idempotent_request(LONG_DEADLINE_MS)).await;
    wait_until("the attempt", || endpoint.request_count() == 1).await;

    env.gateway.send_sigterm();
    env.gateway.expect_clean_exit().await;

    assert_eq!(client.read_response().await.body, body.as_bytes());
}

/// Why the gateway closes an idle connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CloseReason {
    RequestTimeout,
    Evicted,
    Shutdown,
}

/// Checks a request that is in the receive buffer of a connection when the gateway closes that connection.
async fn check_request_racing_with_close(reason: CloseReason) {
    let endpoint = TestEndpoint::ok("x").await;
    // This limit leaves 11 client connections; from the sixth on, each new one evicts an idle one.
    let options = GatewayOptions { max_sockets: 52, ..long_timeout_options(&endpoint) };
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;
    assert_eq!(client.request(READINESS_REQUEST).await.status(), 200);
    let idle_since = Instant::now();

    if reason == CloseReason::Shutdown {
        env.gateway.send_sigterm();
    }
    env.gateway.suspend();
    let mut others = Vec::new();
    if reason == CloseReason::Evicted {
        for _ in 0..6 {
            others.push(env.gateway.client().await);
        }
    }
    client.write(&non_idempotent_request(LONGEST_DEADLINE_MS)).await;
    if reason != CloseReason::Evicted {
        tokio::time::sleep_until((idle_since + Duration::from_secs(3)).into()).await;
    }
    env.gateway.resume();
    let response = client.read_response_or_close().await;

    // The client retries its request elsewhere if its connection was closed, so the request must not have
    // been forwarded.
    let is_answered = response.is_some_and(|response| response.body == b"x");
    assert_eq!(endpoint.request_count(), usize::from(is_answered), "{reason:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_racing_with_the_close_of_its_connection_is_answered_or_not_forwarded() {
    for reason in [CloseReason::RequestTimeout, CloseReason::Evicted, CloseReason::Shutdown] {
        check_request_racing_with_close(reason).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unspent_quota_is_returned_to_the_counter_at_shutdown() {
    let endpoint = TestEndpoint::ok("x").await;
    let mut env = TestEnvironment::start(&small_quota_options(&endpoint), CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;
    for _ in 0..3 {
        assert_eq!(client.request(&idempotent_request(DEADLINE_MS)).await.status(), 200);
    }
    drop(client);
    assert_eq!(env.counter.totals(), [10.0]);

    env.gateway.send_sigterm();
    env.gateway.expect_clean_exit().await;

    assert_eq!(env.counter.totals(), [3.0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn client_that_connects_while_quota_is_returned_is_answered() {
    let endpoint = TestEndpoint::ok("x").await;
    loop {
        let mut env = TestEnvironment::start(&small_quota_options(&endpoint), CounterBehavior::Add).await;
        let first = env.gateway.request(&non_idempotent_request(LONG_DEADLINE_MS)).await;
        assert_eq!(first.status(), 200);
        let calls = env.counter.call_count();
        env.gateway.send_sigterm();
        wait_until("the return of a lease block", || env.counter.call_count() > calls).await;

        env.gateway.suspend();
        let stream = TcpStream::connect(env.gateway.address).await;
        env.gateway.resume();

        // On a slow machine the gateway may already have closed its listener. Such a run is inconclusive and
        // is repeated.
        let Ok(stream) = stream else { continue };
        let mut client = TestClient::new(stream);
        let response = client.request(&non_idempotent_request(LONG_DEADLINE_MS)).await;
        assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
        env.gateway.expect_clean_exit().await;
        return assert_eq!(env.counter.sum(), 2.0, "unspent quota is returned");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_block_granted_after_the_others_were_returned_serves_the_waiting_request() {
    let endpoint = TestEndpoint::ok("x").await;
    let options = small_quota_options(&endpoint).with_long_timeouts(LONG_TIMEOUT_MS);
    let mut env = TestEnvironment::start(&options, CounterBehavior::AddAndHoldReply).await;
    let mut client = env.gateway.client().await;
    client.write(&non_idempotent_request(LONGEST_DEADLINE_MS)).await;
    // The previous window is read concurrently with this call, over the same connection or the other one.
    wait_until("the counter call", || env.counter.call_count() >= 1).await;
    env.gateway.send_sigterm();
    within_timeout("the close of the listener", async {
        while TcpStream::connect(env.gateway.address).await.is_ok() {
            sleep_ms(20).await;
        }
    })
    .await;

    env.counter.set_behavior(CounterBehavior::Add);

    assert_eq!(client.read_response().await.body, b"x");
    env.gateway.expect_clean_exit().await;
    let added = env.counter.sum();
    assert!((1.0..=10.0).contains(&added), "{added}");
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_response_and_all_signals_in_one_loop_iteration_do_not_prevent_a_clean_exit() {
    for incomplete in ["HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\n\r\nhalf"] {
        let response = ScriptedResponse::WriteInTwoParts {
            first: incomplete.into(),
            delay_ms: 60_000,
            second: String::new(),
        };
        let endpoint = TestEndpoint::responding(response).await;
        let mut env = TestEnvironment::start(&long_timeout_options(&endpoint), CounterBehavior::Add).await;
        let mut client = env.gateway.client().await;
        client.write(&non_idempotent_request(LONGEST_DEADLINE_MS)).await;
        wait_until("the attempt", || endpoint.request_count() == 1).await;

        env.gateway.suspend();
        env.gateway.send_sigterm();
        env.gateway.send_sighup();
        env.gateway.send_sigterm();
        env.gateway.resume();

        assert_eq!(client.read_response().await.status(), 502);
        client.expect_close().await;
        env.gateway.expect_clean_exit().await;
    }
}
