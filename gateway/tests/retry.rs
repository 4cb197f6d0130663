//! Retries: which failures lead to one, and the write deadline of an attempt.

mod common;

use bytes::Bytes;
use common::{
    CounterBehavior, GatewayOptions, RefusingPort, ResponsePart, ScriptedResponse, TIMEOUT, TestEndpoint,
    TestEnvironment, idempotent_request, in_service, non_idempotent_request, ok_response, read_message,
    sleep_ms, within_timeout,
};
use http_body_util::Full;
use ryefront_gateway::http_connection::{Connection, ExchangeError, ExchangeLimits};
use ryefront_gateway::memory::MemoryMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::Instant;

const DEADLINE_MS: u64 = 900;
/// Larger than any socket buffer.
const LARGE_BODY_BYTES: usize = 64 << 20;
const MAX_RESPONSE_BYTES: usize = 100;

const INTERNAL_SERVER_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const SERVICE_UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this";
const MALFORMED: &str = "MUMBLE 7 FOO\r\n\r\n";
const UNFINISHED_HEADERS: &str = "HTTP/1.1 200 OK\r\nX-A";
const OVERSIZED_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand on it goes";

fn oversized_headers() -> String {
    format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(20_000))
}

/// The limits of an exchange, optionally with a deadline by which the request must be written.
fn limits(write_deadline: Option<Instant>) -> ExchangeLimits {
    ExchangeLimits {
        max_body_bytes: MAX_RESPONSE_BYTES,
        response_timeout: TIMEOUT,
        write_deadline,
        memory: Rc::new(MemoryMonitor::unlimited()),
    }
}

fn post_request(body_bytes: usize) -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/x").body(Full::from(vec![b'x'; body_bytes])).expect("a request")
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_that_may_have_run_fails_and_is_not_retried() {
    for scripted in [
        ScriptedResponse::Write(INTERNAL_SERVER_ERROR.into()),
        ScriptedResponse::Write(SERVICE_UNAVAILABLE.into()),
        ScriptedResponse::close(),
        ScriptedResponse::WriteAndClose(TRUNCATED.into()),
        ScriptedResponse::WriteAndClose(MALFORMED.into()),
        ScriptedResponse::Write(MALFORMED.into()),
        ScriptedResponse::Write(TRUNCATED.into()),
        ScriptedResponse::Write(UNFINISHED_HEADERS.into()),
        ScriptedResponse::Write(OVERSIZED_BODY.into()),
        ScriptedResponse::Write(oversized_headers()),
    ] {
        let a = TestEndpoint::responding(scripted.clone()).await;
        let b = TestEndpoint::responding(scripted.clone()).await;
        let env = TestEnvironment::with_endpoints(&[&a, &b]).await;
        let mut client = env.gateway.client().await;

        let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;

        assert_eq!(response.status(), 502, "{scripted:?}");
        client.expect_idle().await;
        assert_eq!(a.request_count() + b.request_count(), 1, "{scripted:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_once_after_any_failure() {
    for scripted in [
        ScriptedResponse::Write(INTERNAL_SERVER_ERROR.into()),
        ScriptedResponse::close(),
        ScriptedResponse::WriteAndClose(TRUNCATED.into()),
    ] {
        let a = TestEndpoint::responding(scripted.clone()).await;
        let b = TestEndpoint::responding(scripted.clone()).await;
        let env = TestEnvironment::with_endpoints(&[&a, &b]).await;
        let mut client = env.gateway.client().await;

        let response = client.request(&idempotent_request(DEADLINE_MS)).await;

        assert_eq!(response.status(), 429, "{scripted:?}");
        assert!(response.headers.contains_key("retry-after"));
        client.expect_idle().await;
        assert_eq!(a.request_count() + b.request_count(), 2, "{scripted:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_rejected_by_one_endpoint_is_retried_at_another() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        let rejection = format!("HTTP/1.1 {status}\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
        let script = [ScriptedResponse::Write(rejection), ScriptedResponse::ok("second")];
        let a = TestEndpoint::start(&script).await;
        let b = TestEndpoint::ok("first").await;
        let env = TestEnvironment::with_endpoints(&[&a, &b]).await;
        let mut client = env.gateway.client().await;

        for _ in 0..10 {
            let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;
            assert_eq!(response.status(), 200, "{status}");
        }

        let expected = if a.request_count() > 0 { 11 } else { 10 };
        assert_eq!(a.request_count() + b.request_count(), expected, "{status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_refuses_connections_fails_no_request() {
    let refusing = RefusingPort::bind();
    let live = TestEndpoint::ok("x").await;
    let entries = [in_service("a", refusing.address), in_service("b", live.address)];
    let env = TestEnvironment::start(&GatewayOptions::with_entries(&entries), CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;

    for _ in 0..10 {
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 200);
    }

    assert_eq!(live.request_count(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn rejection_header_is_ignored_unless_the_status_is_503_or_504() {
    for status in ["500 Error", "429 Slow", "404 None", "200 OK"] {
        let text = format!("HTTP/1.1 {status}\r\nSrv-Declined: 1\r\nContent-Length: 1\r\n\r\nx");
        let endpoint = TestEndpoint::responding(ScriptedResponse::Write(text)).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;

        let response = env.gateway.request(&non_idempotent_request(2000)).await;

        let expected = if status.starts_with("200") { 200 } else { 502 };
        assert_eq!((response.status(), endpoint.request_count()), (expected, 1), "{status}");
    }
}

#[tokio::test]
async fn broken_connection_reports_whether_the_request_was_written_completely() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    // The peer closes after it has read a few bytes, so the large request is not written completely.
    let large = (LARGE_BODY_BYTES, 10, ExchangeError::PartiallySent);
    let small = (10, 40, ExchangeError::NoResponse);
    for (body_bytes, read_bytes, expected) in [large, small] {
        let mut connection = Connection::connect(address, TIMEOUT).await.expect("a connection");
        let (mut peer, _) = listener.accept().await.expect("a connection");

        let close = async move {
            let mut bytes = vec![0; read_bytes];
            peer.read_exact(&mut bytes).await.expect("bytes");
            sleep_ms(100).await;
        };
        let exchange = connection.exchange(post_request(body_bytes), limits(None));
        let (result, ()) = tokio::join!(exchange, close);

        assert_eq!(result.expect_err("a broken connection"), expected);
        assert!(!connection.is_alive());
    }
}

#[tokio::test]
async fn request_not_written_completely_by_the_write_deadline_is_never_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connection = Connection::connect(address, TIMEOUT).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");

    let write_deadline = Instant::now() + Duration::from_millis(200);
    let result = connection.exchange(post_request(LARGE_BODY_BYTES), limits(Some(write_deadline))).await;
    let ended_at = Instant::now();
    drop(connection);
    // The peer starts to read only after the write deadline.
    let mut bytes = Vec::new();
    let _ = within_timeout("the end of the connection", peer.read_to_end(&mut bytes)).await;

    assert_eq!(result.expect_err("an exceeded write deadline"), ExchangeError::PartiallySent);
    assert!(ended_at >= write_deadline);
    assert!(bytes.len() < LARGE_BODY_BYTES);
}

#[tokio::test]
async fn request_written_completely_in_time_may_be_answered_after_the_write_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connection = Connection::connect(address, TIMEOUT).await.expect("a connection");
    let respond = async {
        let (peer, _) = listener.accept().await.expect("a connection");
        let mut peer = BufReader::new(peer);
        read_message(&mut peer).await.expect("a request");
        sleep_ms(600).await;
        peer.write_all(ok_response("x").as_bytes()).await.expect("written");
        peer
    };

    let write_deadline = Instant::now() + Duration::from_millis(300);
    let exchange = connection.exchange(post_request(10), limits(Some(write_deadline)));
    let (result, _peer) = tokio::join!(exchange, respond);

    assert_eq!(result.expect("a response").body(), "x");
}

#[tokio::test(flavor = "multi_thread")]
async fn informational_response_in_pieces_is_followed_by_the_final_response_of_the_same_attempt() {
    let piece = |delay_ms, text| ResponsePart { delay_ms, text };
    let final_response = piece(600, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    let responses = [
        vec![
            piece(0, "HTTP/1.1 10"),
            piece(20, "2 Processing\r\n\r"),
            piece(20, "\n"),
            final_response.clone(),
        ],
        vec![
            piece(0, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 1"),
            piece(20, "03 Hints\r\n\r\n"),
            final_response.clone(),
        ],
        vec![piece(0, "HTTP/1.1 102 Processing\r\n\r\n"), final_response],
    ];
    for pieces in responses {
        let endpoint = TestEndpoint::responding(ScriptedResponse::WriteInParts(pieces.clone())).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;

        let response = env.gateway.request(&non_idempotent_request(20_000)).await;

        assert_eq!((response.status(), endpoint.request_count()), (200, 1), "{pieces:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_after_an_informational_response_is_neither_rejected_nor_retried() {
    for text in ["HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 10", ""] {
        let script = [ScriptedResponse::WriteAndReset(text.into()), ScriptedResponse::ok("x")];
        let endpoint = TestEndpoint::start(&script).await;
        let env = TestEnvironment::with_endpoints(&[&endpoint]).await;

        let response = env.gateway.request(&non_idempotent_request(2000)).await;

        assert_eq!((response.status(), endpoint.request_count()), (502, 1), "{text:?}");
    }
}
