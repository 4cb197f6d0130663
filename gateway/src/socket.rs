//! A TCP stream that its owner can go on asking after the HTTP library has it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// The stream, shared with its owner.
#[derive(Clone)]
pub struct Socket(pub Rc<TcpStream>);

impl Socket {
    /// Resolves once the peer has ended its sending, or the connection has broken. Asks the event loop, not the
    /// bytes: an end that stands behind bytes nobody reads yet is one all the same. Of the interests that a
    /// stream can be waited for with, only that in priority data is met by an end and not by bytes, and no
    /// socket here is registered for such data.
    pub async fn left(&self) {
        let _ = self.0.ready(Interest::PRIORITY).await;
    }

    /// Whether the peer has ended its sending, or the connection has broken, by the newest word there is. What the
    /// event loop has heard is as old as its last turn, so the kernel is asked. An end behind bytes that nobody has
    /// read yet only the event loop tells of: then it has to turn first.
    pub async fn has_left(&self) -> bool {
        match self.peek() {
            Ok(0) => return true,
            Ok(_) => yield_now().await,
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
        pin!(self.left()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Asks the kernel for the next byte and leaves it there: 1 where one has come, 0 at the end.
    ///
    /// # Errors
    /// `WouldBlock` while nothing has come, others when the connection has broken.
    pub fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit()])
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
