//! Which failures eject an endpoint, and which do not.

mod common;

use common::{
    CounterBehavior, GatewayOptions, ScriptedResponse, TestEndpoint, TestEnvironment, idempotent_request,
    non_idempotent_request,
};

const DEADLINE_MS: u64 = 900;
const LONG_DEADLINE_MS: u64 = 50_000;

#[tokio::test(flavor = "multi_thread")]
async fn malformed_responses_from_all_endpoints_eject_none() {
    // There is only one endpoint. An ejection for as long as a truncated response took would fail the next
    // request.
    let malformed = ScriptedResponse::Write("MUMBLE 7 FOO\r\n\r\n".into());
    let truncated = ScriptedResponse::Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this".into());
    let script = [malformed, truncated.clone(), truncated, ScriptedResponse::ok("x")];
    let endpoint = TestEndpoint::start(&script).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;

    for status in [502, 502, 502, 200] {
        // The requests are non-idempotent, so that there is one attempt for each.
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), status);
    }

    // A connection that carried a malformed response is not reused.
    assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (4, 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_break_under_some_requests_do_not_eject_the_endpoint() {
    // There is only one endpoint. An ejection would last longer than a request waits for an endpoint.
    let script = [
        ScriptedResponse::close(),
        ScriptedResponse::ok("one"),
        ScriptedResponse::close(),
        ScriptedResponse::close(),
        ScriptedResponse::ok("two"),
    ];
    let endpoint = TestEndpoint::start(&script).await;
    let options = GatewayOptions { slow_start_ms: 60_000, ..GatewayOptions::with_endpoint(endpoint.address) };
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;

    // The idempotent request is retried at the same endpoint.
    assert_eq!(client.request(&idempotent_request(DEADLINE_MS)).await.body, b"one");
    assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 502);
    assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 502);
    assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.body, b"two");

    assert_eq!(endpoint.request_count(), 5);
}

// Guards against a client whose requests, one after another on one connection, have all endpoints ejected, so
// that others get their answers late or never: its deadlines are shorter than any response takes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_deadlines_that_are_too_short_do_not_delay_others() {
    const WORK_MS: u64 = 50;
    const ROUNDS: usize = 10;
    const SHORT_REQUESTS_PER_ROUND: usize = 5;
    let endpoint = TestEndpoint::responding(ScriptedResponse::ok_after(WORK_MS, "x")).await;
    // An ejection lasts longer than a request waits for an endpoint.
    let options = GatewayOptions { slow_start_ms: 60_000, ..GatewayOptions::with_endpoint(endpoint.address) };
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut usual_client = env.gateway.client().await;
    assert_eq!(usual_client.request(&idempotent_request(LONG_DEADLINE_MS)).await.status(), 200);
    let mut client = env.gateway.client().await;

    for round in 0..ROUNDS {
        for _ in 0..SHORT_REQUESTS_PER_ROUND {
            assert_ne!(client.request(&idempotent_request(2)).await.status(), 200);
        }
        assert_eq!(
            usual_client.request(&idempotent_request(LONG_DEADLINE_MS)).await.status(),
            200,
            "{round}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_breaks_every_connection_is_ejected() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::close()).await;
    let options =
        GatewayOptions { slow_start_ms: 600_000, ..GatewayOptions::with_endpoint(endpoint.address) };
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;

    for status in [502, 502, 502, 429, 429] {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), status);
    }

    assert_eq!(endpoint.request_count(), 3);
}
