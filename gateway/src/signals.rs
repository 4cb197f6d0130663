//! Signals to the process, passed on to the tasks that wait for them.
//!
//! Each signal sets a flag and writes a byte to a pipe. The flag carries the signal; the pipe only wakes the
//! event loop. Should a call on the pipe fail, the flags are still checked at an interval.

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

/// The flags are checked this often even without a wake-up.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that signal handlers set, and the task that waits for it.
#[derive(Default)]
struct SignalFlag {
    is_set: Arc<AtomicBool>,
    waiter: Notify,
}

impl SignalFlag {
    /// Clears the flag, and notifies the waiting task if it was set.
    fn forward(&self) {
        if self.is_set.swap(false, Ordering::SeqCst) {
            self.waiter.notify_one();
        }
    }
}

/// The signals that the process has received.
pub struct Signals {
    termination: SignalFlag,
    reload: SignalFlag,
    wake_ups: StdUnixStream,
}

impl Signals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    /// When the system provides no pipe or rejects a handler.
    pub fn install() -> io::Result<Self> {
        let termination = SignalFlag::default();
        let reload = SignalFlag::default();
        let (wake_ups, waker) = StdUnixStream::pair()?;
        wake_ups.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        for (signal, flag) in [(SIGTERM, &termination), (SIGINT, &termination), (SIGHUP, &reload)] {
            signal_hook::flag::register(signal, flag.is_set.clone())?;
            signal_hook::low_level::pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(Self { termination, reload, wake_ups })
    }

    /// Passes signals on to the tasks that wait for them. Never returns.
    pub async fn forward(&self) {
        let pipe = self.wake_ups.try_clone().and_then(UnixStream::from_std);
        loop {
            self.termination.forward();
            self.reload.forward();
            let woken = async {
                match &pipe {
                    Ok(pipe) => drain_pipe(pipe).await,
                    Err(_) => std::future::pending().await,
                }
            };
            let _ = timeout(FLAG_CHECK_INTERVAL, woken).await;
        }
    }

    /// Resolves once a signal requests the termination of the process.
    pub async fn termination_requested(&self) {
        self.termination.waiter.notified().await;
    }

    /// Resolves once the configuration is to be reloaded. Several signals in a row may resolve it only
    /// once, after the last of them.
    pub async fn reload_requested(&self) {
        self.reload.waiter.notified().await;
    }
}

/// Waits for wake-ups and discards those that have arrived.
async fn drain_pipe(pipe: &UnixStream) {
    if pipe.readable().await.is_err() {
        return std::future::pending().await;
    }
    let mut bytes = [0; 64];
    loop {
        match pipe.try_read(&mut bytes) {
            Ok(1..) => {}
            Err(error) if is_transient(&error) => {}
            _ => return,
        }
    }
}
