//! HTTP clients of the gateway and the requests they send.

use super::{HttpMessage, read_message, within_timeout};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Asks for the gateway's readiness.
pub(crate) const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
/// How long nothing may come after a final response.
const IDLE_CHECK: Duration = Duration::from_millis(300);

static NEXT_REQUEST_ID: AtomicU32 = AtomicU32::new(0);

/// The request classes of the tests' configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Class {
    Idempotent,
    /// Idempotent with an idempotency key.
    WithIdempotencyKey,
    NonIdempotent,
}

impl Class {
    /// The class's name in the configuration and in paths.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "read",
            Self::WithIdempotencyKey => "upsert",
            Self::NonIdempotent => "order",
        }
    }
}

/// Builds a well-formed request with an id of its own.
pub(crate) struct RequestBuilder<'a> {
    class: Class,
    deadline_ms: u64,
    header_lines: &'a str,
    body: &'a str,
}

impl<'a> RequestBuilder<'a> {
    /// A request without a body and with the usual headers.
    pub(crate) fn new(class: Class, deadline_ms: u64) -> Self {
        Self { class, deadline_ms, header_lines: "", body: "" }
    }

    /// Adds header lines, each with its line end.
    pub(crate) fn header_lines(self, header_lines: &'a str) -> Self {
        Self { header_lines, ..self }
    }

    /// Sets the body.
    pub(crate) fn body(self, body: &'a str) -> Self {
        Self { body, ..self }
    }

    /// The text of the request; a new id each time.
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

/// An idempotent request.
pub(crate) fn idempotent_request(deadline_ms: u64) -> String {
    RequestBuilder::new(Class::Idempotent, deadline_ms).build()
}

/// A non-idempotent request with a body of one byte.
pub(crate) fn non_idempotent_request(deadline_ms: u64) -> String {
    RequestBuilder::new(Class::NonIdempotent, deadline_ms).body("b").build()
}

/// A client with one connection.
pub(crate) struct TestClient {
    pub(crate) stream: BufReader<TcpStream>,
}

impl TestClient {
    /// A client on a new connection.
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).await.expect("a connection"))
    }

    /// A client on an established connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream: BufReader::new(stream) }
    }

    /// Writes a text to the connection.
    pub(crate) async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("written");
    }

    /// Reads a response; panics if the connection ends without one.
    pub(crate) async fn read_response(&mut self) -> HttpMessage {
        let response = within_timeout("a response", read_message(&mut self.stream)).await;
        response.expect("a response, not the end of the connection")
    }

    /// Sends a request and reads its response.
    pub(crate) async fn request(&mut self, text: &str) -> HttpMessage {
        self.write(text).await;
        self.read_response().await
    }

    /// Sends a request on a connection that the gateway may close; `None` where it ends without a response.
    pub(crate) async fn try_request(&mut self, text: &str) -> Option<HttpMessage> {
        self.stream.write_all(text.as_bytes()).await.ok()?;
        self.read_response_or_end().await
    }

    /// Reads a response; `None` where the connection ends without one.
    pub(crate) async fn read_response_or_end(&mut self) -> Option<HttpMessage> {
        within_timeout("a response or the end", read_message(&mut self.stream)).await
    }

    /// Waits until the gateway closes or resets this connection; panics if more data comes before.
    pub(crate) async fn expect_close(&mut self) {
        let mut rest = Vec::new();
        let _ = within_timeout("the close", self.stream.read_to_end(&mut rest)).await;
        assert_eq!(String::from_utf8_lossy(&rest), "");
    }

    /// Waits until the gateway closes this connection; panics if it resets it or if more data comes before.
    pub(crate) async fn expect_clean_close(&mut self) {
        let mut rest = Vec::new();
        within_timeout("the close", self.stream.read_to_end(&mut rest)).await.expect("a clean end");
        assert_eq!(rest, b"");
    }

    /// Panics if more data or the end of the connection comes within a while.
    pub(crate) async fn expect_idle(&mut self) {
        let more = tokio::time::timeout(IDLE_CHECK, self.stream.fill_buf()).await;
        assert!(more.is_err(), "something came after the final response");
    }
}
