//! Client requests: validation, forwarding to an endpoint, and the response.

mod common;

use common::{
    Class, ConfigEdit, CounterBehavior, GatewayOptions, READINESS_REQUEST, RequestBuilder, ScriptedResponse,
    TestEndpoint, TestEnvironment, idempotent_request, non_idempotent_request, sleep_ms, wait_until,
    within_timeout,
};
use tokio::io::AsyncWriteExt;

const DEADLINE_MS: u64 = 900;
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A non-idempotent request with an empty body.
fn request_without_body() -> String {
    RequestBuilder::new(Class::NonIdempotent, DEADLINE_MS).build()
}

#[tokio::test(flavor = "multi_thread")]
async fn request_and_response_are_forwarded_unchanged() {
    let chunked = "HTTP/1.1 200 OK\r\nX-Note: n\r\nContent-Type: a/b\r\nTransfer-Encoding: chunked\r\n\r\n\
                   3\r\nab\n\r\n2\r\ncd\r\n0\r\n\r\n";
    let endpoint = TestEndpoint::responding(ScriptedResponse::Write(chunked.into())).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut client = env.gateway.client().await;
    let request = RequestBuilder::new(Class::WithIdempotencyKey, DEADLINE_MS)
        .header_lines("Content-Type: x/y\r\n")
        .body("the body")
        .build();

    let response = client.request(&request).await;

    assert_eq!((response.status(), response.body.as_slice()), (200, &b"ab\ncd"[..]));
    assert_eq!(response.headers["x-note"], "n");
    assert_eq!(response.headers["content-type"], "a/b");
    client.expect_idle().await;
    let forwarded = endpoint.requests();
    assert_eq!(forwarded.len(), 1);
    assert_eq!(forwarded[0].start_line, "POST /upsert/a%20b?c=d HTTP/1.1");
    assert_eq!(forwarded[0].body, b"the body");
    assert!(forwarded[0].headers["req-id"].starts_with("id-"));
    assert!(forwarded[0].headers["idempotency-key"].starts_with("key-"));
    assert_eq!(forwarded[0].headers["content-type"], "x/y");
    let remaining_ms: u64 = forwarded[0].headers["req-deadline-ms"].parse().expect("a whole number");
    assert!((1..DEADLINE_MS).contains(&remaining_ms), "{remaining_ms}");
}

/// A substring of a valid request, and the text that replaces it.
struct Replacement {
    old: &'static str,
    new: &'static str,
}

const fn replace(old: &'static str, new: &'static str) -> Replacement {
    Replacement { old, new }
}

/// Replacements that each make an idempotent request invalid.
const INVALID_REPLACEMENTS: [Replacement; 27] = [
    replace("/read/", "/unknown/"),
    replace("GET", "POST"),
    replace("Req-Id: ", "Req-Id: a b"),
    replace("Req-Id", "X-Id"),
    replace("Api-Plan: p", "Api-Plan: q"),
    replace("Api-Plan", "X-Plan"),
    replace("00000000b4d65521", "b4d65521"),
    replace("00000000b4d65521", "00000002b4d65521"),
    replace("00000000b4d65521", "00000000b4d6552x"),
    replace("Api-Customer", "X-Tenant"),
    replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 0"),
    replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: -1"),
    replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 1e99"),
    replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: 99999999999"),
    replace("Req-Deadline-Ms: 900", "Req-Deadline-Ms: +900"),
    replace("Req-Deadline-Ms", "X-Deadline-Ms"),
    replace("Api-Terms", "X-Terms"),
    replace("units=1", "units=NaN"),
    replace("units=1", "units=-1"),
    replace("units=1", "units=1e300"),
    replace("spread=1", "spread=0"),
    replace("spread=1,", ""),
    replace("spread=1", "spread=2"),
    replace("spread=1", "spread=+1"),
    replace("first=0", "first=1"),
    replace("first=0", "first=99999999999"),
    replace("first=0", "first=x"),
];

/// Returns invalid requests, each with the expected status of its response.
fn invalid_requests() -> Vec<(u16, String)> {
    let valid_get = idempotent_request(DEADLINE_MS);
    let valid_post = request_without_body();
    let builder = |class| RequestBuilder::new(class, DEADLINE_MS);
    let mut invalid: Vec<_> = INVALID_REPLACEMENTS
        .iter()
        .map(|Replacement { old, new }| (400, valid_get.replace(old, new)))
        .collect();
    invalid.extend([
        (404, valid_get.replace("/read/a%20b?c=d", "/")),
        (400, valid_post.replace("POST", "GET")),
        (400, builder(Class::WithIdempotencyKey).build().replace("Idempotency-Key", "X-Key")),
        (400, builder(Class::NonIdempotent).header_lines("Idempotency-Key: k\r\n").build()),
        (400, builder(Class::WithIdempotencyKey).header_lines("Idempotency-Key: again\r\n").build()),
        (400, builder(Class::Idempotent).header_lines("Req-Retry: maybe\r\n").build()),
        (400, builder(Class::Idempotent).header_lines("Content-Length: 1\r\n").body("x").build()),
        (400, "what is this\r\n\r\n".into()),
        (400, "GET /read HTTP/1.1\r\n X-Long: yyyyyyyy\r\n\r\n".into()),
        (431, format!("GET /read HTTP/1.1\r\nX-Long: {}\r\n\r\n", "y".repeat(20_000))),
        (400, valid_post.replace("Content-Length: 0", "Content-Length: -1")),
        (400, valid_post.replace("Content-Length: 0", "Content-Length: x")),
    ]);
    invalid
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_is_answered_400_404_or_431_and_not_forwarded() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;

    for (status, text) in invalid_requests() {
        let mut client = env.gateway.client().await;
        assert_eq!(client.request(&text).await.status(), status, "{text}");
        client.expect_close().await;
    }

    assert_eq!(endpoint.request_count(), 0);
    assert_eq!(env.gateway.request(&idempotent_request(DEADLINE_MS)).await.status(), 200);
    assert_eq!(endpoint.request_count(), 1);
}

/// An invalid request and the expected status and body of its response.
struct InvalidRequest {
    text: String,
    status: u16,
    body: &'static str,
}

fn invalid_request(text: String, status: u16, body: &'static str) -> InvalidRequest {
    InvalidRequest { text, status, body }
}

/// Returns requests with an invalid header.
fn requests_with_an_invalid_header() -> Vec<InvalidRequest> {
    let with_replacement =
        |old, new, body| invalid_request(idempotent_request(DEADLINE_MS).replace(old, new), 400, body);
    let builder = |class| RequestBuilder::new(class, DEADLINE_MS);
    let with_header_line =
        |class, line, body| invalid_request(builder(class).header_lines(line).build(), 400, body);
    let without_key = builder(Class::WithIdempotencyKey).build().replace("Idempotency-Key", "X-Key");
    let id = "invalid req-id, expected 1 to 64 letters, digits, '-', '_' or '.'";
    let tenant = "invalid api-customer, expected 16 hexadecimal digits of a number below 2^33";
    let terms = "invalid api-terms, expected units within the limit of a request, and gateways of the fleet";
    let no_key = "invalid idempotency-key, expected none for this class";
    let two_keys = "idempotency-key is given more than once, expected one value";
    vec![
        with_replacement("Req-Id: ", "Req-Id: /", id),
        with_replacement("Plan: p", "Plan: q", "invalid api-plan, expected a plan of the settings"),
        with_replacement("00000000b4d65521", "b4d65521", tenant),
        with_replacement(
            "Ms: 900",
            "Ms: 0",
            "invalid req-deadline-ms, expected 1 to 600000, whole milliseconds",
        ),
        with_replacement(
            "first=0",
            "first=x",
            "invalid api-terms, expected the form units=2,spread=3,first=1",
        ),
        with_replacement("first=0", "first=1", terms),
        with_header_line(Class::Idempotent, "Req-Retry: 2\r\n", "invalid req-retry, expected 0 or 1"),
        with_header_line(Class::NonIdempotent, "Idempotency-Key: k\r\n", no_key),
        with_header_line(Class::WithIdempotencyKey, "Idempotency-Key: again\r\n", two_keys),
        invalid_request(without_key, 400, "invalid idempotency-key, expected a key for this class"),
    ]
}

/// Returns requests whose path, method or body is invalid.
fn requests_with_an_invalid_path_method_or_body() -> Vec<InvalidRequest> {
    let get = || idempotent_request(DEADLINE_MS);
    let post = request_without_body;
    let get_with_body = get().replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx");
    let too_large = post().replace("Content-Length: 0", "Content-Length: 65537");
    let chunked = || post().replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let no_path = "no such path, expected a request class as its first segment";
    let class = "unknown request class as the first segment of the path, expected one of the settings";
    let unreadable = "the body cannot be read, expected valid chunks or as many bytes as in content-length";
    let ambiguous = "invalid transfer-encoding, expected chunked alone and no content-length";
    vec![
        invalid_request(get().replace("/read/a%20b?c=d", "/"), 404, no_path),
        invalid_request(get().replace("/read/", "/unknown/"), 400, class),
        invalid_request(get().replace("GET", "POST"), 400, "wrong method, expected GET"),
        invalid_request(post().replace("POST", "GET"), 400, "wrong method, expected POST"),
        invalid_request(READINESS_REQUEST.replace("GET", "POST"), 400, "wrong method, expected GET or HEAD"),
        invalid_request(get_with_body, 400, "unexpected body, expected none with GET"),
        invalid_request(too_large, 413, "the body is too large, expected at most 65536 bytes"),
        invalid_request(chunked() + "no chunk\r\n", 400, unreadable),
        invalid_request(chunked().replace("chunked", "gzip, chunked"), 400, ambiguous),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn response_to_an_invalid_request_names_the_invalid_part_and_what_was_expected() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let mut requests = requests_with_an_invalid_header();
    requests.extend(requests_with_an_invalid_path_method_or_body());

    for InvalidRequest { text, status, body } in requests {
        let response = env.gateway.request(&text).await;

        let response_body = String::from_utf8_lossy(&response.body);
        assert_eq!((response.status(), &*response_body), (status, &*format!("{body}\n")), "{text}");
    }

    assert_eq!(endpoint.request_count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_body_of_64_kib_is_forwarded_and_a_larger_one_rejected() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let largest = "y".repeat(MAX_BODY_BYTES);
    let too_large = largest.clone() + "y";
    let builder = || RequestBuilder::new(Class::NonIdempotent, DEADLINE_MS);
    let chunked =
        builder().header_lines("Transfer-Encoding: chunked\r\n").build().replace("Content-Length: 0\r\n", "")
            + &format!("10001\r\n{too_large}\r\n0\r\n\r\n");

    assert_eq!(env.gateway.request(&builder().body(&largest).build()).await.status(), 200);
    assert!(endpoint.requests()[0].body == largest.as_bytes());
    assert_eq!(env.gateway.request(&builder().body(&too_large).build()).await.status(), 413);
    assert_eq!(env.gateway.request(&chunked).await.status(), 413);

    assert_eq!(endpoint.request_count(), 1);
}

// Guards against a client that cannot write its request and misses the response, as the gateway closed the connection
// before it had received the body of an invalid request, or what follows a head that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn response_to_an_invalid_request_is_not_followed_by_a_reset_while_its_client_still_sends() {
    let env = TestEnvironment::with_endpoints(&[]).await;
    let later_part = "y".repeat(10_000);
    let with_body = request_without_body().replace("Content-Length: 0", "Content-Length: 50000");
    let unknown_class = with_body.replace("/order/", "/unknown/") + &"y".repeat(10_000);
    let too_large = with_body.replace("Content-Length: 50000", "Content-Length: 70000") + &"y".repeat(30_000);
    let unreadable_head = "GET / HTTP/1.1\r\nno colon\r\n\r\n".to_owned();

    for (status, first_part) in [(400, unknown_class), (413, too_large), (400, unreadable_head)] {
        let mut client = env.gateway.client().await;
        client.write(&first_part).await;
        assert_eq!(client.status_before_later_parts(&later_part).await, status);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unanswered_request_gets_one_504_before_its_deadline() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::NoResponse).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    for class in [Class::Idempotent, Class::WithIdempotencyKey, Class::NonIdempotent] {
        let attempts = endpoint.request_count();
        let closed = endpoint.connections_closed();
        let mut client = env.gateway.client().await;

        let response = client.request(&RequestBuilder::new(class, 700).build()).await;

        assert_eq!(response.status(), 504, "{class:?}");
        client.expect_idle().await;
        assert_eq!(endpoint.request_count(), attempts + 1, "{class:?}");
        wait_until("the end of the attempt's connection", || endpoint.connections_closed() == closed + 1)
            .await;
        // An endpoint that did not respond is ejected for as long as the attempt took.
        sleep_ms(900).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_both_content_length_and_transfer_encoding_is_rejected() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let smuggled_request = request_without_body();
    let length = "Content-Length: 5\r\n";
    let encoding = "Transfer-Encoding: chunked\r\n";
    let with_headers = |lines: &str| request_without_body().replace("Content-Length: 0\r\n", lines);

    // The HTTP library drops a Content-Length that follows a Transfer-Encoding.
    for framing_headers in [[length, encoding], [encoding, length], [encoding, "content-LENGTH: 5\r\n"]] {
        let text = with_headers(&framing_headers.concat()) + "0\r\n\r\n" + &smuggled_request;
        let mut client = env.gateway.client().await;
        assert_eq!(client.request(&text).await.status(), 400, "{text}");
        client.expect_close().await;
        // The same text as the second request on a connection, after the first response or pipelined.
        let mut client = env.gateway.client().await;
        assert_eq!(client.request(READINESS_REQUEST).await.status(), 200);
        assert_eq!(client.request(&text).await.status(), 400, "{text}");
        let mut client = env.gateway.client().await;
        client.write(&(READINESS_REQUEST.to_owned() + &text)).await;
        assert_eq!(client.read_response().await.status(), 200, "{text}");
        assert_eq!(client.read_response().await.status(), 400, "{text}");
        client.expect_close().await;
    }
    let gzip = with_headers("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n";
    assert_eq!(env.gateway.request(&gzip).await.status(), 400);
    assert_eq!(endpoint.request_count(), 0);

    let chunked = with_headers(encoding) + "5\r\nhello\r\n0\r\n\r\n";
    assert_eq!(env.gateway.request(&chunked).await.status(), 200);
    assert_eq!(endpoint.requests()[0].body, b"hello");
    assert_eq!(endpoint.request_count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_id_of_a_request_in_progress_is_rejected() {
    let endpoint = TestEndpoint::responding(ScriptedResponse::ok_after(500, "x")).await;
    let env = TestEnvironment::with_endpoints(&[&endpoint]).await;
    let text = non_idempotent_request(5000);
    let mut client = env.gateway.client().await;
    client.write(&text).await;
    wait_until("the attempt", || endpoint.request_count() == 1).await;

    let rejected = env.gateway.request(&text).await;
    assert_eq!(rejected.status(), 400);
    assert_eq!(rejected.body, b"a request with this req-id is in progress, expected another id\n");
    assert_eq!(client.read_response().await.status(), 200);
    assert_eq!(endpoint.request_count(), 1);

    // The id may be reused once its request has been answered.
    assert_eq!(client.request(&text).await.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_without_a_complete_request_in_time_is_closed_even_if_bytes_keep_arriving() {
    let env = TestEnvironment::with_endpoints(&[]).await;
    let incomplete_body = request_without_body().replace("Content-Length: 0", "Content-Length: 60000");

    env.gateway.client().await.expect_close().await;
    for incomplete_request in ["GET /read HTTP/1.1\r\nX-Slow: ", incomplete_body.as_str()] {
        let mut client = env.gateway.client().await;
        client.write(incomplete_request).await;
        let mut sent_bytes = 0;
        within_timeout("the close", async {
            while client.stream.get_mut().write_all(b"y").await.is_ok() {
                sent_bytes += 1;
                sleep_ms(50).await;
            }
        })
        .await;
        assert!(sent_bytes < 1000, "closed only after {sent_bytes} bytes");
    }

    // A connection that stays idle after a response is closed too.
    let mut client = env.gateway.client().await;
    assert_eq!(client.request(READINESS_REQUEST).await.status(), 200);
    client.expect_close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn percent_encoded_class_names_and_non_ascii_plan_names_are_recognized() {
    let endpoint = TestEndpoint::ok("x").await;
    let mut options = GatewayOptions::with_endpoint(endpoint.address);
    options.config_edits = vec![
        ConfigEdit::new(r#""name":"order""#, r#""name":"ord\u00e9r 50%\/b""#),
        ConfigEdit::new(r#""name":"p""#, r#""name":"gro\u00df & co""#),
    ];
    let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
    let mut client = env.gateway.client().await;
    let request_with_path = |path: &str| {
        non_idempotent_request(DEADLINE_MS).replace("/order", path).replace("Plan: p", "Plan: groß & co")
    };

    for path in ["/ord%C3%A9r%2050%25%2fb", "/ord%c3%a9r%2050%25%2Fb"] {
        assert_eq!(client.request(&request_with_path(path)).await.status(), 200);
    }
    for path in ["/order", "/ord%C3%A9r%2050%25", "/ord%C3%A9r%2050%2fb", "/ord%C3%A9r%2050%25/b"] {
        assert_eq!(env.gateway.request(&request_with_path(path)).await.status(), 400, "{path}");
    }

    let forwarded = endpoint.requests();
    assert_eq!(forwarded.len(), 2);
    let request_line = &forwarded[0].start_line;
    assert!(request_line.starts_with("POST /ord%C3%A9r%2050%25%2fb/a%20b?c=d "), "{request_line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rejection_has_no_retry_after_if_the_settings_disable_it() {
    let endpoint = TestEndpoint::ok("x").await;
    let mut options =
        GatewayOptions { burst: 1.0, refill_rate: 0.01, ..GatewayOptions::with_endpoint(endpoint.address) };
    for (permission, expects_retry_after) in
        [("", true), (r#","retry-after":true"#, true), (r#","retry-after":false"#, false)]
    {
        let with_permission = format!(r#""most-tries":6{permission}"#);
        options.config_edits = vec![ConfigEdit::new(r#""most-tries":6"#, with_permission)];
        let env = TestEnvironment::start(&options, CounterBehavior::Add).await;
        let mut client = env.gateway.client().await;
        assert_eq!(client.request(&non_idempotent_request(DEADLINE_MS)).await.status(), 200);

        let response = client.request(&non_idempotent_request(DEADLINE_MS)).await;

        let has_retry_after = response.headers.contains_key("retry-after");
        assert_eq!((response.status(), has_retry_after), (429, expects_retry_after), "{permission}");
    }
}
