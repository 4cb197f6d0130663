//! TCP streams: connecting, the classification of their errors, and a stream that its owner can go on
//! inspecting after the HTTP library has received it.

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

/// The delay before a connection attempt that failed for a local reason is retried.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// How long bytes that arrived before a timeout may take to be read.
const UNREAD_GRACE: Duration = Duration::from_millis(20);

/// Local failures that are not transient: descriptors, local ports or a route are missing.
const LOCAL_ERRNOS: [i32; 8] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOSPC,
    libc::EAGAIN,
    libc::EADDRINUSE,
    libc::EADDRNOTAVAIL,
    libc::ENETDOWN,
    libc::ENETUNREACH,
];

/// Whether a call on a stream failed for lack of memory. It had no effect and may be made again.
fn is_out_of_memory(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(libc::ENOBUFS)
}

/// Whether a call on a stream failed for a reason that lies neither with the peer nor with the connection. It
/// may be made again.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted || is_out_of_memory(error)
}

/// Whether a call failed because this machine lacks a resource: descriptors, memory, local ports, a route.
pub(crate) fn is_local_error(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error().is_some_and(|errno| LOCAL_ERRNOS.contains(&errno))
}

/// Why no connection was established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine lacks a resource. The peer is not at fault.
    #[error("no connection could be started: {0}")]
    Local(#[source] io::Error),
    /// The peer refused the connection or is unreachable.
    #[error("the peer refused or is unreachable: {0}")]
    Peer(#[source] io::Error),
    /// The peer did not respond in time.
    #[error("no connection in time")]
    TimedOut,
}

/// Connects within `timeout`. Attempts that fail for a local reason are retried until then.
///
/// # Errors
/// When no connection is established in time.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let deadline = Instant::now() + timeout;
    loop {
        let error = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                disable_write_delay(&stream);
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

/// Has the kernel send small writes at once. A failure is ignored: delayed writes are no reason to close the
/// connection.
pub(crate) fn disable_write_delay(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
}

/// A stream that is shared between the HTTP library, which reads and writes it, and its owner, who checks its
/// state.
#[derive(Clone)]
pub struct SharedStream {
    stream: Rc<TcpStream>,
}

impl SharedStream {
    /// Shares a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: Rc::new(stream) }
    }

    /// Resolves once the peer has closed its sending side, or the connection has broken.
    ///
    /// It waits for readiness and reads nothing, as the end may be behind bytes that nobody has read. Of the
    /// interests that can be waited for, only that in priority data becomes ready by an end and not by
    /// ordinary bytes; as no socket here is registered for priority data, nothing but an end makes it ready.
    pub async fn closed_by_peer(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Whether the peer has closed its sending side, or the connection has broken.
    ///
    /// The event loop's state is as old as its last iteration, so the kernel is queried. Only the event loop
    /// knows of an end behind unread bytes: it has to run an iteration first then.
    pub async fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            Ok(0) => return true,
            Ok(_) => yield_now().await,
            Err(error) if is_out_of_memory(&error) => yield_now().await,
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
        pin!(self.closed_by_peer()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
    }

    /// Queries the kernel for the next byte without consuming it: 1 when there is one, 0 at the end of the
    /// stream.
    ///
    /// # Errors
    /// `WouldBlock` while nothing has arrived, others when the connection has broken.
    pub fn peek(&self) -> io::Result<usize> {
        peek(&self.stream)
    }

    /// Lets other tasks read what has arrived on the socket and was not read yet, before a timeout takes effect.
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

/// To be called when a timeout ends a wait for bytes, before it takes effect: resolves at once if nothing has
/// arrived, else after a moment in which the event loop reports the bytes.
///
/// A wait of the event loop that a signal interrupts reports no readiness, but timers are handled after it.
/// After a pause of the process all of them are due, however long the bytes have been there.
pub(crate) async fn wait_for_pending_read(stream: &TcpStream) {
    if matches!(peek(stream), Ok(1..)) {
        let _ = timeout(UNREAD_GRACE, stream.readable()).await;
        yield_now().await;
    }
}

/// Reschedules the task, so that the call is made again after other tasks have run.
fn retry_later<T>(cx: &Context<'_>) -> Poll<T> {
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
                Err(error) if is_out_of_memory(&error) => return retry_later(cx),
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
                Err(error) if is_out_of_memory(&error) => return retry_later(cx),
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
