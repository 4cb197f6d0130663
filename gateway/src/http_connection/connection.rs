//! One connection and the exchanges on it.

use crate::http_connection::error::ExchangeError;
use crate::http_connection::exchange_state::{ExchangeState, MAX_HEAD_BYTES};
use crate::instrumented_stream::InstrumentedStream;
use crate::socket::{ConnectError, SharedStream, connect};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// The limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// The largest body of a response, in bytes.
    pub max_body_bytes: usize,
    /// How long after its first byte a response must be complete. Without it a response shorter than it
    /// announces would be waited for indefinitely.
    pub response_timeout: Duration,
    /// The time by which the request must be written completely, or is abandoned.
    pub write_deadline: Option<Instant>,
}

/// One connection to a server.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    socket: SharedStream,
    state: Rc<ExchangeState>,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// When no connection is established in time.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectError> {
        let socket = SharedStream::new(connect(address, timeout).await?);
        let state = Rc::<ExchangeState>::default();
        let stream = TokioIo::new(InstrumentedStream::new(socket.clone(), state.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream);
        let (sender, driver) =
            handshake.await.map_err(|error| ConnectError::Peer(io::Error::other(error)))?;
        Ok(Self { sender, driver: Some(Box::pin(driver)), socket, state })
    }

    /// Whether the idle connection is alive. Queries the kernel, as the event loop may not have been notified
    /// yet. A connection with unrequested data to read is not usable either.
    pub fn is_alive(&self) -> bool {
        let peeked = self.socket.peek();
        self.driver.is_some() && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// The socket, for its owner to inspect while an exchange is in progress.
    pub fn socket(&self) -> SharedStream {
        self.socket.clone()
    }

    /// Sends a request and returns the complete response.
    ///
    /// # Errors
    /// When the connection fails first, a limit is exceeded or the response cannot be read.
    pub async fn exchange(
        &mut self, request: Request<Full<Bytes>>, limits: ExchangeLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.state.reset();
        let state = &self.state;
        let head = self.sender.send_request(request);
        let response = drive(&mut self.driver, async {
            let (head, body) = head.await.ok()?.into_parts();
            let body = Limited::new(body, limits.max_body_bytes).collect().await.ok()?;
            Some(Response::from_parts(head, body.to_bytes()))
        });
        let response = tokio::select! {
            biased;
            response = response => response,
            () = response_overdue(state, &self.socket, limits.response_timeout) => None,
            () = state.write_overdue(limits.write_deadline) => None,
        };
        response.ok_or_else(|| state.error())
    }

    /// Whether the connection can carry another request now.
    pub async fn is_reusable(&mut self) -> bool {
        let driver = &mut self.driver;
        let sender = &mut self.sender;
        let is_ready = poll_fn(|cx| {
            poll_driver(driver, cx);
            Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))
        });
        is_ready.await && self.driver.is_some()
    }
}

/// Resolves once a response is overdue although what had arrived of it has been read.
async fn response_overdue(state: &ExchangeState, socket: &SharedStream, timeout: Duration) {
    state.response_overdue(timeout).await;
    socket.wait_for_pending_read().await;
    state.response_overdue(timeout).await;
}

/// The HTTP library's side of the connection; `None` once the connection has ended.
type Driver = Option<Pin<Box<http1::Connection<TokioIo<InstrumentedStream<ExchangeState>>, Full<Bytes>>>>>;

fn poll_driver(driver: &mut Driver, cx: &mut Context<'_>) {
    if driver.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready()) {
        *driver = None;
    }
}

/// Waits for a future that needs the connection to make progress, and polls the connection meanwhile.
async fn drive<T>(driver: &mut Driver, wanted: impl Future<Output = T>) -> T {
    let mut wanted = pin!(wanted);
    poll_fn(|cx| {
        poll_driver(driver, cx);
        wanted.as_mut().poll(cx)
    })
    .await
}
