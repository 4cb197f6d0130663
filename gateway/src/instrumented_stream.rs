//! A socket that reports its reads, writes and flushes to an observer.
//!
//! The HTTP library does not expose the bytes that it reads and writes, but timeouts, the check of request
//! heads and the decision about a retry depend on them.

use crate::socket::SharedStream;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes read at once. One less than the HTTP library's read buffer: a read that fills it makes the library use
/// three times as much memory for the rest of the connection's life.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Observes the reads, writes and flushes of a stream.
pub(crate) trait StreamObserver {
    /// Called with the bytes of each read; they are empty at the end of the stream.
    fn on_read(&self, bytes: &[u8]);

    /// Called after `count` bytes were written.
    fn on_write(&self, _count: usize) {}

    /// Called before each flush.
    fn on_flush(&self) {}
}

/// A socket whose I/O is reported to an observer.
pub(crate) struct InstrumentedStream<O> {
    socket: SharedStream,
    observer: Rc<O>,
}

impl<O> InstrumentedStream<O> {
    /// Wraps a socket and reports its I/O to `observer`.
    pub(crate) fn new(socket: SharedStream, observer: Rc<O>) -> Self {
        Self { socket, observer }
    }
}

impl<O: StreamObserver> AsyncRead for InstrumentedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        let mut limited = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut limited))?;
        let received = limited.filled();
        self.observer.on_read(received);
        let count = received.len();
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl<O: StreamObserver> AsyncWrite for InstrumentedStream<O> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.observer.on_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
