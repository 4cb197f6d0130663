//! Builds requests and sends them to the gateway over client connections.

use super::{HttpMessage, read_message, sleep_ms, within_timeout};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A readiness check.
pub(crate) const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
/// How long [`TestClient::expect_idle`] watches a connection.
const IDLE_CHECK: Duration = Duration::from_millis(300);

static NEXT_REQUEST_ID: AtomicU32 = AtomicU32::new(0);

/// The request classes of the tests' configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Class {
    Idempotent,
    /// Idempotent because the service deduplicates requests by their idempotency key.
    WithIdempotencyKey,
    NonIdempotent,
}

impl Class {
    /// The name of the class in the configuration and in request paths.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "read",
            Self::WithIdempotencyKey => "upsert",
            Self::NonIdempotent => "order",
        }
    }
}

/// Builds well-formed requests, each with a unique id.
pub(crate) struct RequestBuilder<'a> {
    class: Class,
    deadline_ms: u64,
    header_lines: &'a str,
    body: &'a str,
}

impl<'a> RequestBuilder<'a> {
    /// A request with an empty body and no additional header lines.
    pub(crate) fn new(class: Class, deadline_ms: u64) -> Self {
        Self { class, deadline_ms, header_lines: "", body: "" }
    }

    /// Sets additional header lines, each terminated by CRLF.
    pub(crate) fn header_lines(self, header_lines: &'a str) -> Self {
        Self { header_lines, ..self }
    }

    pub(crate) fn body(self, body: &'a str) -> Self {
        Self { body, ..self }
    }

    /// Formats the request; each call assigns a new id.
    pub(crate) fn build(&self) -> String {
        let Self { class, deadline_ms, header_lines, body } = self;
        let id = NEXT_REQUEST_ID.fetch_add(1, SeqCst);
        let method = if matches!(class, Class::Idempotent) { "GET" } else { "POST" };
        let key = if matches!(class, Class::WithIdempotencyKey) {
            format!("Idempotency-Key: key-{id}\r\n")
        } else {
            String::new()
        };
        let length =
            if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        format!(
            "{method} /{}/a%20b?c=d HTTP/1.1\r\nHost: service.internal\r\nReq-Id: id-{id}\r\nApi-Plan: p\r\n\
             Api-Customer: 00000000b4d65521\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Api-Terms: units=1,spread=1,first=0\r\n{key}{length}{header_lines}\r\n{body}",
            class.name()
        )
    }
}

pub(crate) fn idempotent_request(deadline_ms: u64) -> String {
    RequestBuilder::new(Class::Idempotent, deadline_ms).build()
}

/// A non-idempotent request with a body of one byte.
pub(crate) fn non_idempotent_request(deadline_ms: u64) -> String {
    RequestBuilder::new(Class::NonIdempotent, deadline_ms).body("b").build()
}

/// An HTTP client with a single connection.
pub(crate) struct TestClient {
    pub(crate) stream: BufReader<TcpStream>,
}

impl TestClient {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.expect("failed to connect"))
    }

    /// Wraps an established connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream: BufReader::new(stream) }
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("failed to write to the connection");
    }

    /// Reads a response; panics if the connection closes first.
    pub(crate) async fn read_response(&mut self) -> HttpMessage {
        let response = within_timeout("a response", read_message(&mut self.stream)).await;
        response.expect("connection closed before a response")
    }

    /// Sends a request and reads its response.
    pub(crate) async fn request(&mut self, text: &str) -> HttpMessage {
        self.write(text).await;
        self.read_response().await
    }

    /// Sends a request on a connection that the gateway may have closed. Returns `None` if the connection
    /// closes before a response.
    pub(crate) async fn try_request(&mut self, text: &str) -> Option<HttpMessage> {
        self.stream.write_all(text.as_bytes()).await.ok()?;
        self.read_response_or_close().await
    }

    /// Reads a response. Returns `None` if the connection closes first.
    pub(crate) async fn read_response_or_close(&mut self) -> Option<HttpMessage> {
        within_timeout("a response or the close of the connection", read_message(&mut self.stream)).await
    }

    /// Waits until the gateway closes or resets the connection; panics if it sends data first.
    pub(crate) async fn expect_close(&mut self) {
        let mut rest = Vec::new();
        let _ = within_timeout("the close of the connection", self.stream.read_to_end(&mut rest)).await;
        assert_eq!(String::from_utf8_lossy(&rest), "");
    }

    /// Waits until the gateway closes the connection; panics if it resets the connection or sends data first.
    pub(crate) async fn expect_clean_close(&mut self) {
        let mut rest = Vec::new();
        within_timeout("the close of the connection", self.stream.read_to_end(&mut rest))
            .await
            .expect("connection was reset");
        assert_eq!(rest, b"");
    }

    /// Waits for a response, writes later parts of the request, and reads the response. Panics if a part cannot be
    /// written or the connection is reset.
    pub(crate) async fn status_before_later_parts(&mut self, later_part: &str) -> u16 {
        const LATER_PARTS: usize = 4;
        const PAUSE_BETWEEN_PARTS_MS: u64 = 20;
        within_timeout("a response", self.stream.get_ref().readable()).await.expect("connection failed");
        for _ in 0..LATER_PARTS {
            self.write(later_part).await;
            sleep_ms(PAUSE_BETWEEN_PARTS_MS).await;
        }
        let status = self.read_response().await.status();
        self.expect_clean_close().await;
        status
    }

    /// Checks for [`IDLE_CHECK`] that the gateway neither sends data on the connection nor closes it.
    pub(crate) async fn expect_idle(&mut self) {
        let event = tokio::time::timeout(IDLE_CHECK, self.stream.fill_buf()).await;
        assert!(event.is_err(), "data or a close followed the final response");
    }
}
