//! Request IDs that come again: an ID is taken until nothing can run its request any more.

mod common;

use common::{
    Class, CounterBehavior, GatewayOptions, RefusingPort, RequestBuilder, ScriptedResponse, TestClient,
    TestEndpoint, TestEnvironment, non_idempotent_request, sleep_ms, wait_until,
};
use ryefront_gateway::request_ids::{MAX_RETAINED_IDS, RequestIds, TakenId};
use std::rc::Rc;

const DEADLINE_MS: u64 = 900;
const LONG_DEADLINE_MS: u64 = 500_000;
const LONG_TIMEOUT_MS: u64 = 200_000;
const CLASSES: [Class; 3] = [Class::Idempotent, Class::WithIdempotencyKey, Class::NonIdempotent];
const MAY_HAVE_RUN: &[u8] = b"a request with this req-id may have run, expected another id\n";

/// Starts a gateway, and sends it a request that is being run by the endpoint on return.
async fn forward_request(class: Class, endpoint: &TestEndpoint) -> (TestEnvironment, String, TestClient) {
    let options = GatewayOptions::with_endpoint(endpoint.address).with_long_timeouts(LONG_TIMEOUT_MS);
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let request = RequestBuilder::new(class, LONG_DEADLINE_MS).build();
    let mut client = env.gateway.client().await;
    client.write(&request).await;
    wait_until("the attempt", || endpoint.request_count() == 1).await;
    (env, request, client)
}

async fn assert_rejected(env: &TestEnvironment, request: &str) {
    let response = env.gateway.request(request).await;

    assert_eq!((response.status(), response.body.as_slice()), (400, MAY_HAVE_RUN), "{request}");
}

// Guards against a request that runs twice: its client leaves while an endpoint runs it, and the same ID comes
// again from another client, at once or after the endpoint has finished.
#[tokio::test(flavor = "multi_thread")]
async fn id_that_comes_again_after_its_client_left_does_not_run_twice() {
    const WORK_MS: u64 = 300;
    for class in CLASSES {
        let endpoint = TestEndpoint::responding(ScriptedResponse::ok_after(WORK_MS, "x")).await;
        let (env, request, client) = forward_request(class, &endpoint).await;

        drop(client);
        sleep_ms(50).await;

        assert_eq!(env.gateway.request(&request).await.status(), 400, "{class:?}");
        wait_until("the end of the attempt", || endpoint.connections_closed() == 1).await;
        assert_rejected(&env, &request).await;
        assert_eq!(endpoint.request_count(), 1, "{class:?}");
        let another = RequestBuilder::new(class, LONG_DEADLINE_MS).build();
        assert_eq!(env.gateway.request(&another).await.status(), 200, "{class:?}");
    }
}

// Guards against a request that runs twice: the ID comes again in the moment in which the attempt of a client
// that has left is being cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn id_that_comes_again_in_the_moment_its_client_leaves_does_not_run_twice() {
    for class in CLASSES {
        let endpoint = TestEndpoint::responding(ScriptedResponse::NoResponse).await;
        let (env, request, client) = forward_request(class, &endpoint).await;
        let mut second_client = env.gateway.client().await;

        env.gateway.suspend();
        drop(client);
        second_client.write(&request).await;
        env.gateway.resume();

        assert_eq!(second_client.read_response().await.status(), 400, "{class:?}");
        assert_eq!(endpoint.request_count(), 1, "{class:?}");
    }
}

// Guards against a request that runs twice: its client gets an error, as the endpoint has not answered or has
// broken the connection, and the same ID comes again while the endpoint may still run it.
#[tokio::test(flavor = "multi_thread")]
async fn id_that_comes_again_after_an_attempt_without_a_response_does_not_run_twice() {
    let cut_off = ScriptedResponse::Write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ncut off".into());
    for (response, status) in
        [(ScriptedResponse::NoResponse, 504), (ScriptedResponse::close(), 502), (cut_off, 502)]
    {
        let endpoint = TestEndpoint::responding(response.clone()).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let request = non_idempotent_request(DEADLINE_MS);
        assert_eq!(env.gateway.request(&request).await.status(), status, "{response:?}");

        assert_rejected(&env, &request).await;
        assert_eq!(endpoint.request_count(), 1, "{response:?}");
    }
}

// Guards against IDs that stay taken although nothing was forwarded for them.
#[tokio::test(flavor = "multi_thread")]
async fn id_of_a_request_that_did_not_run_may_come_again() {
    let rejection = "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    let refusing = RefusingPort::bind();
    let rejecting = TestEndpoint::responding(ScriptedResponse::Write(rejection.into())).await;
    for address in [refusing.address, rejecting.address] {
        let options = GatewayOptions::with_endpoint(address);
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
        let request = non_idempotent_request(DEADLINE_MS);

        for _ in 0..2 {
            assert_eq!(env.gateway.request(&request).await.status(), 429);
        }
    }
}

// Guards against memory that grows with every client that leaves.
#[test]
fn oldest_ids_are_freed_when_too_many_are_retained() {
    let ids = Rc::<RequestIds>::default();
    let reserve = |number: usize| ids.reserve(number.to_string().as_bytes());
    for number in 0..=MAX_RETAINED_IDS {
        reserve(number).expect("a new ID").record_may_have_run();
    }

    assert!(reserve(0).is_ok());
    assert_eq!(reserve(1).err(), Some(TakenId::MayHaveRun));
    assert_eq!(reserve(MAX_RETAINED_IDS).err(), Some(TakenId::MayHaveRun));
}

#[test]
fn id_is_taken_until_the_last_attempt_has_ended() {
    let ids = Rc::<RequestIds>::default();
    let request = ids.reserve(b"a").expect("a new ID");
    let attempt = request.clone();

    drop(request);
    assert_eq!(ids.reserve(b"a").err(), Some(TakenId::InProgress));
    drop(attempt);
    let request = ids.reserve(b"a").expect("the ID of a request that did not run");
    request.record_served();
    drop(request);
    assert_eq!(ids.reserve(b"a").err(), Some(TakenId::MayHaveRun));
}
