//! Closes a connection whose client may still be sending, so that the client gets the response.
//!
//! Closing a socket resets the connection if received bytes are unread or if more arrive. A reset discards the
//! response at the client if it has not been read yet. Therefore only the sending side is closed first, and
//! what the client still sends is read and dropped until the client has closed its side, too (RFC 9112,
//! section 9.6).

use crate::client::connection_state::ConnectionState;
use crate::client::request::RequestError;
use crate::socket::SharedStream;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::time::sleep;

/// The bytes read at once. They are on the stack only while the socket is polled.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// The bytes that are dropped at most. The rest of a valid request is shorter, even if each byte of its body is
/// a chunk of its own.
const MAX_DROPPED_BYTES: usize = 512 * 1024;
/// How long an evicted connection still accepts a request, and then waits for its client to close.
pub(super) const EVICTION_GRACE: Duration = Duration::from_millis(50);

/// Responds to a request that has not been received completely, and closes the connection.
pub(super) async fn reject(connection: &ConnectionState, error: RequestError) {
    // A client that does not read the response before this one cannot read this one either.
    if connection.has_unsent_output() {
        return;
    }
    let mut socket = connection.socket().clone();
    let respond_and_close = async {
        if socket.write_all(response_with_close(error).as_bytes()).await.is_ok() {
            drop_until_closed_by_peer(&mut socket).await;
        }
    };
    within_limits(connection, respond_and_close).await;
}

/// Closes a connection after a response that was sent before its request was received completely.
pub(super) async fn linger(connection: &ConnectionState) {
    let mut socket = connection.socket().clone();
    within_limits(connection, drop_until_closed_by_peer(&mut socket)).await;
}

/// Runs `close` until the time for the request is over, or the connection is evicted.
async fn within_limits(connection: &ConnectionState, close: impl Future<Output = ()>) {
    tokio::select! {
        biased;
        () = close => {}
        () = connection.request_timed_out() => {}
        () = evicted_after_grace(connection) => {}
    }
}

/// Resolves when the connection has been evicted and its client has had time to read the response.
async fn evicted_after_grace(connection: &ConnectionState) {
    connection.evicted().await;
    sleep(EVICTION_GRACE).await;
}

/// The response to an invalid or incomplete request, which announces the close of the connection.
fn response_with_close(error: RequestError) -> String {
    let status = error.status();
    let line = format!("{error}\n");
    let length = line.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: text/plain\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{line}"
    )
}

/// Closes the sending side, then reads and drops what the client sends until it closes its side.
async fn drop_until_closed_by_peer(socket: &mut SharedStream) {
    if socket.shutdown().await.is_err() {
        return;
    }
    let mut dropped_bytes = 0;
    while dropped_bytes < MAX_DROPPED_BYTES {
        match poll_fn(|cx| poll_drop(socket, cx)).await {
            Ok(0) | Err(_) => return,
            Ok(dropped) => dropped_bytes += dropped,
        }
    }
}

/// Reads once and drops the bytes. Returns their number, 0 at the end of the stream.
fn poll_drop(socket: &mut SharedStream, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    let mut buffer = ReadBuf::new(&mut bytes);
    ready!(Pin::new(socket).poll_read(cx, &mut buffer))?;
    Poll::Ready(Ok(buffer.filled().len()))
}
