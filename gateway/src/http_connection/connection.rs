//! A connection to a server, and the exchanges of a request and its response on it.

use crate::body::receive_body;
use crate::http_connection::error::ExchangeError;
use crate::http_connection::exchange_state::{ExchangeState, MAX_HEAD_BYTES};
use crate::instrumented_stream::InstrumentedStream;
use crate::memory::MemoryMonitor;
use crate::socket::{ConnectError, SharedStream, connect};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// The beginning of every response.
const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";

/// The limits of an exchange.
#[derive(Clone, Debug)]
pub struct ExchangeLimits {
    /// The maximum size of a response body, in bytes.
    pub max_body_bytes: usize,
    /// The time from the first byte of a response to its last. Without this limit, a response with fewer
    /// bytes than its `Content-Length` would be awaited indefinitely.
    pub response_timeout: Duration,
    /// When the exchange fails unless the request has been written completely.
    pub write_deadline: Option<Instant>,
    /// The memory in which the response body is received, after others have freed enough.
    pub memory: Rc<MemoryMonitor>,
}

/// One connection to a server.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    socket: SharedStream,
    state: Rc<ExchangeState>,
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    /// If no connection is established within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        let socket = SharedStream::new(connect(address, timeout).await?);
        let state = Rc::<ExchangeState>::default();
        let stream = TokioIo::new(InstrumentedStream::new(socket.clone(), state.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream);
        let (sender, connection) =
            handshake.await.map_err(|error| ConnectError::Peer(io::Error::other(error)))?;
        Ok(Self { sender, driver: Driver::Running(Box::new(connection)), socket, state })
    }

    /// Whether an idle connection can be used. Queries the kernel, as the event loop may not have been
    /// notified of a close yet. A connection with unsolicited data to read cannot be used either.
    pub fn is_alive(&self) -> bool {
        let peeked = self.socket.peek();
        self.driver.is_running() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    /// If the connection fails, a limit is exceeded or the response is invalid.
    pub async fn exchange(
        &mut self, request: Request<Full<Bytes>>, limits: ExchangeLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.state.reset();
        let state = &self.state;
        let head = self.sender.send_request(request);
        let response = drive(&mut self.driver, async {
            let (head, body) = head.await.ok()?.into_parts();
            let expected_bytes =
                body.size_hint().upper().map_or(limits.max_body_bytes, |length| length as usize);
            let _reservation = limits.memory.reserve(expected_bytes.min(limits.max_body_bytes)).await;
            let body = receive_body(body, limits.max_body_bytes).await.ok()?;
            Some(Response::from_parts(head, body))
        });
        let response = tokio::select! {
            biased;
            response = response => response,
            () = response_overdue(state, &self.socket, limits.response_timeout) => None,
            () = state.write_overdue(limits.write_deadline) => None,
        };
        response.ok_or_else(|| state.error())
    }

    /// Whether the connection can carry another request. Polls the connection until the HTTP library knows.
    pub async fn is_reusable(&mut self) -> bool {
        let driver = &mut self.driver;
        let sender = &mut self.sender;
        let is_ready = poll_fn(|cx| {
            driver.poll(cx);
            Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        });
        is_ready.await && self.driver.is_running()
    }

    /// Whether nothing that was received contradicts the end of the last response, as given by its length.
    ///
    /// Bytes behind a response contradict its end unless they begin another response: if its length is too
    /// short, they are the rest of its body. Ends a connection that cannot be reused.
    pub async fn confirms_response_end(&mut self) -> bool {
        self.is_reusable().await || is_response_end(&self.driver.end())
    }
}

/// Whether a response ends where it is followed by these bytes: if there are none, or if they begin another
/// response.
fn is_response_end(following: &[u8]) -> bool {
    following.is_empty() || following.starts_with(RESPONSE_PREFIX)
}

/// Resolves when the response is overdue. Bytes that arrived before the timeout are read first, as they may
/// complete the response.
async fn response_overdue(state: &ExchangeState, socket: &SharedStream, timeout: Duration) {
    state.response_overdue(timeout).await;
    socket.wait_for_pending_read().await;
    state.response_overdue(timeout).await;
}

/// The HTTP library's future that reads and writes the connection.
type HttpConnection = http1::Connection<TokioIo<InstrumentedStream<ExchangeState>>, Full<Bytes>>;

/// Makes progress on the connection while it is polled.
enum Driver {
    Running(Box<HttpConnection>),
    /// The connection has ended.
    Ended {
        /// The bytes that were received but belong to no response.
        unread: Bytes,
    },
}

impl Driver {
    fn is_running(&self) -> bool {
        matches!(self, Self::Running(_))
    }

    fn poll(&mut self, cx: &mut Context<'_>) {
        if let Self::Running(connection) = self
            && Pin::new(&mut **connection).poll(cx).is_ready()
        {
            self.end();
        }
    }

    /// Ends the connection, which fails a request that is still queued. Returns the bytes that were received
    /// but belong to no response.
    fn end(&mut self) -> Bytes {
        let unread = match mem::replace(self, Self::Ended { unread: Bytes::new() }) {
            Self::Running(connection) => connection.into_parts().read_buf,
            Self::Ended { unread } => unread,
        };
        *self = Self::Ended { unread: unread.clone() };
        unread
    }
}

/// Runs a future that depends on the progress of the connection, and polls both.
async fn drive<T>(driver: &mut Driver, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    poll_fn(|cx| {
        driver.poll(cx);
        future.as_mut().poll(cx)
    })
    .await
}
