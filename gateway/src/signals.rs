//! Dispatches signals to the tasks that wait for them.
//!
//! The handler of a signal sets a flag and writes a byte to a socket pair (the self-pipe trick). The flag
//! records the signal; the byte only wakes the event loop. In case a call on the socket fails, the flags are
//! also checked periodically.

use crate::socket::is_transient;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The interval at which the flags are checked without a wake-up.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that signal handlers set, and the notification of the task that waits for it.
#[derive(Default)]
struct SignalFlag {
    is_set: Arc<AtomicBool>,
    notification: Notify,
}

impl SignalFlag {
    /// Clears the flag, and notifies the waiting task if it was set.
    fn dispatch(&self) {
        if self.is_set.swap(false, Ordering::SeqCst) {
            self.notification.notify_one();
        }
    }
}

/// The signals that the gateway handles: SIGTERM and SIGINT for termination, SIGHUP for a reload.
pub struct Signals {
    termination: SignalFlag,
    reload: SignalFlag,
    /// The receiving end of the socket pair.
    wake_receiver: StdUnixStream,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If the socket pair cannot be created or a handler cannot be installed.
    pub fn install() -> io::Result<Self> {
        let termination = SignalFlag::default();
        let reload = SignalFlag::default();
        let (wake_receiver, wake_sender) = StdUnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        wake_sender.set_nonblocking(true)?;
        for (signal, flag) in [(SIGTERM, &termination), (SIGINT, &termination), (SIGHUP, &reload)] {
            signal_hook::flag::register(signal, flag.is_set.clone())?;
            signal_hook::low_level::pipe::register(signal, wake_sender.try_clone()?)?;
        }
        Ok(Self { termination, reload, wake_receiver })
    }

    /// Notifies the tasks that wait for signals. Never returns.
    pub async fn dispatch(&self) {
        let wake_receiver = self.wake_receiver.try_clone().and_then(UnixStream::from_std);
        loop {
            self.termination.dispatch();
            self.reload.dispatch();
            let woken = async {
                match &wake_receiver {
                    Ok(stream) => receive_wake_ups(stream).await,
                    Err(_) => std::future::pending().await,
                }
            };
            let _ = timeout(FLAG_CHECK_INTERVAL, woken).await;
        }
    }

    /// Resolves when SIGTERM or SIGINT is received.
    pub async fn termination_requested(&self) {
        self.termination.notification.notified().await;
    }

    /// Resolves when SIGHUP is received. Several signals in quick succession may resolve it only once, after
    /// the last of them.
    pub async fn reload_requested(&self) {
        self.reload.notification.notified().await;
    }
}

/// Waits for a wake-up and discards all that have arrived.
async fn receive_wake_ups(stream: &UnixStream) {
    if stream.readable().await.is_err() {
        return std::future::pending().await;
    }
    let mut bytes = [0; 64];
    loop {
        match stream.try_read(&mut bytes) {
            Ok(1..) => {}
            Err(error) if is_transient(&error) => {}
            _ => return,
        }
    }
}
