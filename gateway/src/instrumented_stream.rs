//! A socket that reports to an observer what passes through it.
//!
//! The HTTP library hides the bytes that it reads and writes, but timeouts, the check of request heads and
//! the decision about a retry depend on them.

use crate::socket::SharedStream;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whoever records what passes through a stream.
pub(crate) trait StreamObserver {
    /// Records the bytes of one read; there are none at the end of the stream.
    fn record_read(&self, bytes: &[u8]);

    /// Records that `count` bytes were written.
    fn record_write(&self, _count: usize) {}

    /// Records a flush.
    fn record_flush(&self) {}
}

/// A socket with an observer.
pub(crate) struct InstrumentedStream<O> {
    socket: SharedStream,
    observer: Rc<O>,
}

impl<O> InstrumentedStream<O> {
    /// Reports to `observer` what passes through the socket.
    pub(crate) fn new(socket: SharedStream, observer: Rc<O>) -> Self {
        Self { socket, observer }
    }
}

impl<O: StreamObserver> AsyncRead for InstrumentedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.observer.record_read(&buf.filled()[filled_before..]);
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
        self.observer.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.record_flush();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
