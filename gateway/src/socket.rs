//! TCP streams: connecting, classifying errors, and a stream whose owner can inspect the socket while the
//! HTTP library reads and writes it.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The delay before connecting is retried after it failed for lack of a local resource.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The longest time for which bytes that arrived before a timeout delay it.
const PENDING_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Unread bytes may hide the end of the stream once they are more than the receive buffer divided by this: the
/// peer may send about half of the buffer ahead, and what it sends next may not fit into the rest.
const UNREAD_DIVISOR: usize = 4;

/// Errors for lack of a local resource: file descriptors, local ports or a route. The transient errors of
/// [`is_transient`] are not among them.
const LOCAL_RESOURCE_ERRNOS: [i32; 8] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOSPC,
    libc::EAGAIN,
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
    libc::ENETDOWN,
    libc::ENETUNREACH,
];

/// Whether a call on a stream failed for lack of memory. Such a call had no effect and may be repeated.
fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Whether a call on a stream failed for a reason other than the peer or the connection, so that it may be
/// repeated.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || is_out_of_memory(error)
}

/// Whether a call failed because this machine lacks a resource: descriptors, memory, local ports, a route.
pub(crate) fn is_local_error(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error().is_some_and(|errno| LOCAL_RESOURCE_ERRNOS.contains(&errno))
}

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine lacks a resource. The peer is not at fault.
    #[error("cannot open a connection for lack of a local resource: {0}")]
    Local(#[source] io::Error),
    /// The peer refused the connection or is unreachable.
    #[error("the peer refused the connection or is unreachable: {0}")]
    Peer(#[source] io::Error),
    /// The peer did not respond in time.
    #[error("connect timed out")]
    TimedOut,
}

/// Connects within `timeout`. Until then, failures for lack of a local resource are retried.
///
/// # Errors
/// When no connection is established in time.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let deadline = Instant::now() + timeout;
    loop {
        let error = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                disable_nagle(&stream);
                return Ok(stream);
            }
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectError::TimedOut),
        };
        if !is_local_error(&error) {
            return Err(ConnectError::Peer(error));
        }
        if Instant::now() + CONNECT_RETRY_DELAY >= deadline {
            return Err(ConnectError::Local(error));
        }
        sleep(CONNECT_RETRY_DELAY).await;
    }
}

/// Disables Nagle's algorithm, so that the kernel sends small writes at once. A failure is ignored: delayed
/// writes are no reason to close the connection.
pub(crate) fn disable_nagle(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
}

/// A TCP stream that the HTTP library reads and writes while its owner inspects the state of the socket.
#[derive(Clone)]
pub struct SharedStream {
    stream: Rc<TcpStream>,
}

impl SharedStream {
    /// Wraps a stream; clones refer to the same socket.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: Rc::new(stream) }
    }

    /// Resolves once the peer has closed its sending side, or the connection has broken.
    ///
    /// Waits for readiness without reading, as unread bytes may precede the end of the stream. Priority data
    /// is the only interest that becomes ready at the end of the stream but not for ordinary bytes. No socket
    /// here is registered for priority data itself, so nothing else makes it ready.
    pub async fn closed_by_peer(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Whether the peer has closed its sending side, or the connection has broken.
    ///
    /// Queries the kernel, as the event loop's state dates from its last iteration. Where unread bytes
    /// precede the end of the stream, only the event loop can detect it, and first has to run an iteration.
    pub async fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            Ok(0) => return true,
            Ok(_) => yield_now().await,
            Err(error) if is_out_of_memory(&error) => yield_now().await,
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
        pin!(self.closed_by_peer()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Whether the peer may have closed its sending side: [`Self::is_closed_by_peer`], or so many bytes are unread
    /// that the end of the stream may wait behind them at the peer, which may not send it before they are read.
    pub async fn may_be_closed_by_peer(&self) -> bool {
        self.is_closed_by_peer().await || self.may_hide_close()
    }

    fn may_hide_close(&self) -> bool {
        let unread = rustix::io::ioctl_fionread(&*self.stream).unwrap_or_default();
        if unread == 0 {
            return false;
        }
        let capacity = socket2::SockRef::from(&*self.stream).recv_buffer_size().unwrap_or(usize::MAX);
        unread > (capacity / UNREAD_DIVISOR) as u64
    }

    /// Queries the kernel for the next byte without consuming it: 1 when there is one, 0 at the end of the
    /// stream.
    ///
    /// # Errors
    /// `WouldBlock` while nothing has arrived, others when the connection has broken.
    pub fn peek(&self) -> io::Result<usize> {
        peek(&self.stream)
    }

    /// Whether bytes have arrived that were not read yet.
    pub fn has_unread_bytes(&self) -> bool {
        matches!(self.peek(), Ok(1..))
    }

    /// Delays a timeout until other tasks could read the bytes that have already arrived on the socket.
    pub async fn wait_for_pending_read(&self) {
        wait_for_pending_read(&self.stream).await;
    }
}

/// Queries the kernel for the next byte of a stream, as [`SharedStream::peek`] does.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Delays a timeout of a wait for bytes. Resolves at once if nothing has arrived; otherwise after the event
/// loop has reported the bytes as readable, or [`PENDING_READ_TIMEOUT`] has passed, and other tasks have run.
///
/// When a signal interrupts the event loop's wait for I/O, the iteration reports no readiness but still fires
/// timers. After the process was paused, all timers are due although bytes may have arrived long before.
pub(crate) async fn wait_for_pending_read(stream: &TcpStream) {
    if matches!(peek(stream), Ok(1..)) {
        let _ = timeout(PENDING_READ_TIMEOUT, stream.readable()).await;
        yield_now().await;
    }
}

/// Wakes the task, so that the call is repeated after other tasks have run.
fn reschedule<T>(cx: &Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_out_of_memory(&error) => return reschedule(cx),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_out_of_memory(&error) => return reschedule(cx),
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
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
