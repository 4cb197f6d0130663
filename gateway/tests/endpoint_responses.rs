//! Endpoint responses: which are forwarded, and how bytes before or after them are handled.

mod common;

use common::{
    CounterBehavior, GatewayOptions, ScriptedResponse, TestEndpoint, TestEnvironment, idempotent_request,
    non_idempotent_request, ok_response, sleep_ms, wait_until,
};
use std::time::{Duration, Instant};

const DEADLINE_MS: u64 = 900;
const LONG_DEADLINE_MS: u64 = 50_000;
const LONG_TIMEOUT_MS: u64 = 200_000;
const INFORMATIONAL: &str = "HTTP/1.1 102 Processing\r\n\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn response_with_another_behind_it_is_forwarded_and_its_connection_closed() {
    let valid_response = ok_response("good");
    for extra in [&ok_response("bad"), "HTTP/1.1 200"] {
        let script = [
            ScriptedResponse::Write(valid_response.clone() + extra),
            ScriptedResponse::Write(valid_response.clone()),
        ];
        let endpoint = TestEndpoint::start(&script).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let mut client = env.gateway.client().await;

        for _ in 0..2 {
            let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;
            assert_eq!(response.body, b"good", "{extra}");
        }

        client.expect_idle().await;
        assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (2, 2), "{extra}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn second_response_shortly_after_the_first_is_not_matched_to_the_next_request() {
    let two_responses = ScriptedResponse::WriteInTwoParts {
        first: ok_response("good"),
        delay_ms: 2,
        second: ok_response("bad"),
    };
    let endpoint = TestEndpoint::start(&[two_responses, ScriptedResponse::ok("good")]).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;

    for _ in 0..2 {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.body, b"good");
    }

    assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (2, 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_response_that_comes_late_is_not_matched_to_the_next_request() {
    const SECOND_RESPONSE_DELAY_MS: u64 = 15;
    loop {
        let two_responses = ScriptedResponse::WriteInTwoParts {
            first: ok_response("good"),
            delay_ms: SECOND_RESPONSE_DELAY_MS,
            second: ok_response("bad"),
        };
        let endpoint = TestEndpoint::start(&[two_responses, ScriptedResponse::ok("good")]).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let mut client = env.gateway.client().await;

        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.body, b"good");
        let answered_at = Instant::now();
        sleep_ms(8).await;
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.body, b"good");

        // On a slow machine, the second response may come before the second request is answered. Such a run
        // shows nothing and is repeated.
        if answered_at.elapsed() < Duration::from_millis(SECOND_RESPONSE_DELAY_MS) {
            return assert_eq!((endpoint.request_count(), endpoint.connections_opened()), (2, 2));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn informational_responses_are_skipped_and_malformed_load_reports_ignored() {
    for load_report in ["TEXT inflight=-7, queue=1e300", "TEXT util=x,,=", ""] {
        let final_response =
            format!("HTTP/1.1 200 OK\r\nSrv-Load: {load_report}\r\nContent-Length: 4\r\n\r\ngood");
        let script = [
            ScriptedResponse::WriteInTwoParts {
                first: INFORMATIONAL.into(),
                delay_ms: 400,
                second: final_response.clone(),
            },
            ScriptedResponse::Write(INFORMATIONAL.to_owned() + &final_response),
        ];
        let endpoint = TestEndpoint::start(&script).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let mut client = env.gateway.client().await;

        for _ in 0..2 {
            let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;
            assert_eq!(response.body, b"good", "{load_report}");
        }

        assert_eq!(endpoint.request_count(), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_response_is_cancelled_and_the_client_gets_one_error() {
    let endless_body = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx";
    for (text, status) in [(INFORMATIONAL, 504), (endless_body, 502)] {
        let endpoint = TestEndpoint::responding(ScriptedResponse::WriteRepeatedly(text.into())).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let mut client = env.gateway.client().await;

        let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;

        assert_eq!(response.status(), status);
        client.expect_idle().await;
        wait_until("the end of the connection", || endpoint.connections_closed() == 1).await;
        assert_eq!(endpoint.request_count(), 1);
    }
}

/// The head of a response with status 200.
fn ok_head(header_line: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{header_line}\r\n\r\n")
}

/// Responses whose length ends before their body does. The last one has only the first bytes of its body in the
/// HTTP library's first read.
fn responses_with_too_short_length() -> Vec<String> {
    const FIRST_READ_BYTES: usize = 8192;
    let body = "picked: shelf 7; next: shelf 9\n";
    let chunked = ok_head("Transfer-Encoding: chunked");
    let long_head = ok_head("Content-Length: 8000");
    let padding = "y".repeat(FIRST_READ_BYTES - 8000 - long_head.len() - "X-Y: \r\n".len());
    let long_head = long_head.replace("\r\n\r\n", &format!("\r\nX-Y: {padding}\r\n\r\n"));
    vec![
        ok_head("Content-Length: 15") + body,
        ok_head("Content-Length: 29") + body,
        ok_head("Content-Length: 0") + body,
        ok_head("Connection: close\r\nContent-Length: 15") + body,
        INFORMATIONAL.to_owned() + &ok_head("Content-Length: 15") + body,
        // Noise behind a complete body looks like the rest of a longer one.
        ok_response("good") + "#~ noise",
        ok_response("good") + "HTTP",
        // The length of the first chunk is 0 in place of 8.
        chunked.clone() + "0\r\n\r\nwhole\r\n\r\n0\r\n\r\n",
        chunked.clone() + "0\r\nfield: value\r\n\r\nwhole\r\n0\r\n\r\n",
        long_head + &"z".repeat(8010),
    ]
}

// Guards against a client that gets the first part of an answer as the whole of it, because the endpoint gave
// its answer a length that is too short.
#[tokio::test(flavor = "multi_thread")]
async fn response_whose_length_may_be_too_short_is_not_forwarded() {
    for text in responses_with_too_short_length() {
        let script = [ScriptedResponse::Write(text.clone()), ScriptedResponse::ok("again")];
        let endpoint = TestEndpoint::start(&script).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
        let mut client = env.gateway.client().await;

        // The endpoint has run the request, so only an idempotent one is sent again.
        let first = client.request(&non_idempotent_request(DEADLINE_MS)).await;
        assert_eq!((first.status(), endpoint.request_count()), (502, 1), "{text}");
        endpoint.set_script(&script);
        let second = client.request(&idempotent_request(DEADLINE_MS)).await;
        assert_eq!((second.body.as_slice(), endpoint.request_count()), (b"again".as_slice(), 3), "{text}");

        client.expect_idle().await;
        wait_until("the end of both connections", || endpoint.connections_closed() == 2).await;
    }
}

/// How an endpoint ends a connection after what it has written.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Close,
    Reset,
}

/// Whether what an endpoint has written before it ends the connection is a complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Completeness {
    Complete,
    Incomplete,
}

/// Sends a non-idempotent and then an idempotent request to an endpoint that answers the first two attempts
/// with `text` and ends the connection.
async fn check_response_before_connection_end(text: &str, end: ConnectionEnd, expected: Completeness) {
    let response = match end {
        ConnectionEnd::Close => ScriptedResponse::WriteAndClose(text.to_owned()),
        ConnectionEnd::Reset => ScriptedResponse::WriteAndReset(text.to_owned()),
    };
    let endpoint = TestEndpoint::start(&[response.clone(), response, ScriptedResponse::ok("again")]).await;
    let options = GatewayOptions::with_endpoint(endpoint.address).with_long_timeouts(LONG_TIMEOUT_MS);
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;

    let first = client.request(&non_idempotent_request(LONG_DEADLINE_MS)).await;
    let second = client.request(&idempotent_request(LONG_DEADLINE_MS)).await;

    let is_complete = expected == Completeness::Complete;
    let status = if is_complete { 200 } else { 502 };
    assert_eq!((first.status(), first.body == b"whole"), (status, is_complete), "{text}, {end:?}");
    // The idempotent request is retried if the response was incomplete.
    let body: &[u8] = if is_complete { b"whole" } else { b"again" };
    assert_eq!(second.body, body, "{text}, {end:?}");
    client.expect_idle().await;
    let attempts = if is_complete { 2 } else { 3 };
    assert_eq!(endpoint.request_count(), attempts, "{text}, {end:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn only_complete_responses_are_forwarded() {
    let until_close = "HTTP/1.1 200 OK\r\n\r\n";
    let sized = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let chunked = ok_head("Transfer-Encoding: chunked") + "5\r\nwhole\r\n";
    // Without a length, only a clean close completes a response. With a length, it does not matter how the
    // connection ends after the last byte.
    let cases = [
        (until_close.to_owned() + "whole", ConnectionEnd::Close, Completeness::Complete),
        (until_close.to_owned() + "whole", ConnectionEnd::Reset, Completeness::Incomplete),
        (until_close.to_owned(), ConnectionEnd::Reset, Completeness::Incomplete),
        (sized.to_owned() + "whole", ConnectionEnd::Close, Completeness::Complete),
        (sized.to_owned() + "whole", ConnectionEnd::Reset, Completeness::Complete),
        (sized.to_owned() + "whol", ConnectionEnd::Close, Completeness::Incomplete),
        (sized.to_owned() + "whol", ConnectionEnd::Reset, Completeness::Incomplete),
        (sized.to_owned(), ConnectionEnd::Close, Completeness::Incomplete),
        (chunked.to_owned() + "0\r\n\r\n", ConnectionEnd::Close, Completeness::Complete),
        (chunked.to_owned(), ConnectionEnd::Close, Completeness::Incomplete),
        (chunked.to_owned() + "0\r\n\r", ConnectionEnd::Reset, Completeness::Incomplete),
        (INFORMATIONAL.to_owned(), ConnectionEnd::Close, Completeness::Incomplete),
        (INFORMATIONAL.to_owned(), ConnectionEnd::Reset, Completeness::Incomplete),
        (INFORMATIONAL.to_owned() + sized + "whol", ConnectionEnd::Reset, Completeness::Incomplete),
    ];

    for (text, end, expected) in cases {
        check_response_before_connection_end(&text, end, expected).await;
    }
}
