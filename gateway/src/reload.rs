//! Reloads the configuration on SIGHUP.
//!
//! New addresses of discovery and the counter take effect at once; other values apply at the next start. An
//! invalid configuration changes nothing.

use crate::config::Config;
use crate::discovery::DiscoveryStatus;
use crate::engine::Engine;
use crate::log;
use crate::memory::MemoryMonitor;
use crate::signals::Signals;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// How long a failed reload is retried. The file may still be being written when the signal arrives, and no
/// second signal follows. New addresses are expected to be in use within 4 s of the signal.
const RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay between two retries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What is logged on each SIGHUP.
pub struct ProcessStatus {
    /// The memory in use.
    pub memory: Rc<MemoryMonitor>,
    /// The age of the endpoint list.
    pub discovery: Rc<DiscoveryStatus>,
}

impl ProcessStatus {
    fn log(&self) {
        log::write(format_args!("memory: {}", self.memory));
        log::write(format_args!("endpoint list: {}", self.discovery));
    }
}

/// Logs the status of the process and reloads the configuration on each SIGHUP. Never returns.
pub async fn reload_on_sighup(
    signals: Rc<Signals>, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>, status: ProcessStatus,
) {
    loop {
        signals.reload_requested().await;
        status.log();
        if let Some(config) = reload_config().await {
            apply(&config, &discovery, &engine);
        }
    }
}

/// Reads the configuration, with retries while it is invalid. Logs the first error.
async fn reload_config() -> Option<Config> {
    let started = Instant::now();
    let mut error_logged = false;
    loop {
        match Config::reload() {
            Ok(config) => return Some(config),
            Err(error) if !error_logged => {
                error_logged = true;
                log::write(format_args!("configuration not read again, the previous one applies: {error}"));
            }
            Err(_) if started.elapsed() >= RETRY_TIMEOUT => return None,
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

fn apply(config: &Config, discovery: &watch::Sender<SocketAddr>, engine: &Engine) {
    discovery.send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
    if let Some(counter) = config.counter {
        engine.set_counter_address(counter);
    }
    log::write(format_args!("configuration read again: discovery at {}", config.discovery));
}
