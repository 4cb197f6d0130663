//! `ryefront-gateway`: one real gateway.

#![forbid(unsafe_code)]

use ryefront_gateway::client::Server;
use ryefront_gateway::config::Config;
use ryefront_gateway::discovery;
use ryefront_gateway::endpoint::EndpointRegistry;
use ryefront_gateway::engine::Engine;
use ryefront_gateway::log;
use ryefront_gateway::signals::Signals;
use ryefront_gateway::socket::is_local;
use ryefront_gateway::task::spawn;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Descriptors for all but clients and endpoints: standard streams, the event loop, listener, counter, discovery.
const OTHER_SOCKETS: usize = 32;
/// Of the rest, the share for clients; endpoints get what is left.
const CLIENT_SHARE: f64 = 0.55;

/// What the system does not give at the start (descriptors, memory, the address of a process that ended just now) is
/// asked for again for this long, this far apart.
const START_PATIENCE: Duration = Duration::from_secs(5);
const START_PAUSE: Duration = Duration::from_millis(20);
/// The connections that the system accepts ahead of the gateway.
const BACKLOG: u32 = 1024;
/// A new configuration that cannot be read is read again for this long, this far apart: whoever writes it may not be
/// done yet, and no further signal comes. What it moves counts as told 4 s after the signal.
const RELOAD_PATIENCE: Duration = Duration::from_secs(3);
const RELOAD_PAUSE: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    // First of all: a signal that comes before would end the process.
    let signals = match persist(Signals::install) {
        Ok(signals) => Rc::new(signals),
        Err(error) => return unusable(&error),
    };
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => return unusable(&error),
    };
    let runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    match persist(runtime) {
        Ok(runtime) => LocalSet::new().block_on(&runtime, run(config, signals)),
        Err(error) => unusable(&error),
    }
}

/// Does something that has to be done before there is anything else to do, again and again while the system lacks the
/// means for a moment.
fn persist<T>(act: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let begun = Instant::now();
    loop {
        match act() {
            Err(error) if is_local(&error) && begun.elapsed() < START_PATIENCE => {
                std::thread::sleep(START_PAUSE)
            }
            result => return result,
        }
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

fn unusable(what: &dyn Display) -> ExitCode {
    log::write(format_args!("ryefront-gateway: {what}"));
    ExitCode::from(2)
}

async fn run(config: Config, signals: Rc<Signals>) -> ExitCode {
    let listener = match persist(|| listen(config.listen)) {
        Ok(listener) => listener,
        Err(error) => return unusable(&format!("cannot listen at {}: {error}", config.listen)),
    };
    let watched = signals.clone();
    spawn(async move { watched.watch().await });
    let sockets = config.sockets.saturating_sub(OTHER_SOCKETS).max(2);
    let most_clients = ((sockets as f64 * CLIENT_SHARE) as usize).max(1);
    let settings = config.settings;
    let endpoints = EndpointRegistry::new(
        config.connect_timeout,
        config.endpoint_idle,
        settings.load_report_source,
        sockets.saturating_sub(most_clients).max(1),
    );
    let engine = match Engine::start(settings.clone(), config.seed, endpoints.clone(), config.counter) {
        Ok(engine) => engine,
        Err(error) => return unusable(&error),
    };
    let server = Server::new(engine.clone(), &settings, most_clients);
    let seq = config.known.seq;
    discovery::tell(config.known, &endpoints, &engine);
    spawn(endpoints.clone().maintain_connections());
    let (moved, discovery) = watch::channel(config.discovery);
    spawn(discovery::watch(discovery, seq, config.seed, config.pace, endpoints, engine.clone()));
    spawn(reload(signals.clone(), moved, engine));
    if let Ok(address) = listener.local_addr() {
        log::write(format_args!("ryefront-gateway {}: listening at {address}", config.name));
    }
    server.serve(listener, signals.end()).await;
    ExitCode::SUCCESS
}

/// Reads the configuration again at each SIGHUP and moves to the addresses in it; the rest of it is for the next
/// start. While it cannot be used nothing changes.
async fn reload(signals: Rc<Signals>, discovery: watch::Sender<SocketAddr>, engine: Rc<Engine>) {
    loop {
        signals.reload().await;
        let (begun, mut told) = (Instant::now(), false);
        let config = loop {
            match Config::again() {
                Ok(config) => break Some(config),
                Err(error) if !std::mem::replace(&mut told, true) => {
                    log::write(format_args!("configuration not read again, the old one stays: {error}"));
                }
                Err(_) if begun.elapsed() >= RELOAD_PATIENCE => break None,
                Err(_) => {}
            }
            tokio::time::sleep(RELOAD_PAUSE).await;
        };
        let Some(config) = config else { continue };
        discovery.send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
        if let Some(counter) = config.counter {
            engine.move_counter(counter);
        }
        log::write(format_args!("configuration read again: discovery at {}", config.discovery));
    }
}
