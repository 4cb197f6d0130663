//! A client's socket that records the received bytes in the state of its connection, for timeouts and the
//! check of request heads.

use crate::client::connection_state::ConnectionState;
use crate::socket::SharedStream;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A client's socket as the HTTP library uses it.
pub(super) struct InstrumentedStream {
    socket: SharedStream,
    state: Rc<ConnectionState>,
}

impl InstrumentedStream {
    pub(super) fn new(state: Rc<ConnectionState>) -> Self {
        Self { socket: state.socket().clone(), state }
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.state.record_received(&buf.filled()[filled_before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
