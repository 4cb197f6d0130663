//! Reloads the configuration at each SIGHUP.
//!
//! The addresses of discovery and counter in it are used at once; the other values apply at the next start. A
//! configuration that cannot be used changes nothing.

use crate::config::Config;
use crate::engine::Engine;
use crate::log;
use crate::signals::Signals;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// How long the reload of a configuration that cannot be used is retried: the file may be incomplete at the
/// signal, and no second signal follows. New addresses are expected to be in use 4 s after the signal.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two retries.
const RELOAD_PAUSE: Duration = Duration::from_millis(100);

/// Reloads the configuration at each SIGHUP, for as long as the program runs.
pub async fn reload_on_sighup(
    signals: Rc<Signals>, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>,
) {
    loop {
        signals.reload_requested().await;
        if let Some(config) = read_config().await {
            apply(&config, &discovery, &engine);
        }
    }
}

/// Reads the configuration, with retries while it cannot be used. Logs the first error.
async fn read_config() -> Option<Config> {
    let started = Instant::now();
    let mut error_logged = false;
    loop {
        match Config::reload() {
            Ok(config) => return Some(config),
            Err(error) if !error_logged => {
                error_logged = true;
                log::write(format_args!("configuration not read again, the previous one applies: {error}"));
            }
            Err(_) if started.elapsed() >= RELOAD_TIMEOUT => return None,
            Err(_) => {}
        }
        sleep(RELOAD_PAUSE).await;
    }
}

fn apply(config: &Config, discovery: &watch::Sender<SocketAddr>, engine: &Engine) {
    discovery.send_if_modified(|address| std::mem::replace(address, config.discovery) != config.discovery);
    if let Some(counter) = config.counter {
        engine.set_counter_address(counter);
    }
    log::write(format_args!("configuration read again: discovery at {}", config.discovery));
}
