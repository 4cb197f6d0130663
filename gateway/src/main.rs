//! The gateway program, `ryefront-gateway`.

#![forbid(unsafe_code)]

use cap::Cap;
use ryefront_gateway::client::{Server, ShutdownSchedule};
use ryefront_gateway::config::Config;
use ryefront_gateway::discovery::{DiscoveryStatus, EndpointListSink, WatchSettings, watch_endpoints};
use ryefront_gateway::endpoint::{EndpointRegistry, EndpointSettings};
use ryefront_gateway::engine::Engine;
use ryefront_gateway::log;
use ryefront_gateway::memory::MemoryMonitor;
use ryefront_gateway::reload::{ProcessStatus, reload_on_sighup};
use ryefront_gateway::signals::Signals;
use ryefront_gateway::startup::{self, ConnectionLimits, StartupError};
use ryefront_gateway::task::spawn;
use std::alloc::System;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Counts the bytes that are allocated. It has no limit of its own, as a failed allocation ends the process.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The exit status of a gateway that cannot start.
const EXIT_STARTUP_FAILED: u8 = 2;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::write(format_args!("ryefront-gateway: {error}"));
            ExitCode::from(EXIT_STARTUP_FAILED)
        }
    }
}

fn start() -> Result<(), StartupError> {
    // Before anything else, as a signal without a handler ends the process.
    let signals = startup::retry_local_errors(Signals::install).map_err(StartupError::Signals)?;
    let config = Config::load()?;
    let build_runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = startup::retry_local_errors(build_runtime).map_err(StartupError::EventLoop)?;
    LocalSet::new().block_on(&runtime, run(config, Rc::new(signals)))
}

async fn run(config: Config, signals: Rc<Signals>) -> Result<(), StartupError> {
    let listener = startup::listen(config.listen)?;
    let dispatcher = signals.clone();
    spawn(async move { dispatcher.dispatch().await });

    let memory = Rc::new(MemoryMonitor::new(config.max_memory_bytes, heap_bytes_in_use));
    let connection_limits = ConnectionLimits::new(config.max_descriptors);
    let endpoint_settings = endpoint_settings(&config, connection_limits.endpoints, memory.clone());
    let endpoints = EndpointRegistry::new(endpoint_settings);
    let engine = Engine::start(config.settings.clone(), config.seed, endpoints.clone(), config.counter)?;
    let server = Server::new(
        engine.clone(),
        &config.settings,
        connection_limits.clients,
        memory.clone(),
        ShutdownSchedule::new(config.longest_deadline),
    );

    let discovery_status = Rc::<DiscoveryStatus>::default();
    let (discovery_address, address) = watch::channel(config.discovery);
    let watch = WatchSettings {
        address,
        cached_version: config.cached_endpoints.version,
        seed: config.seed,
        timing: config.poll_timing,
        status: discovery_status.clone(),
    };
    engine.apply(config.cached_endpoints);
    spawn(endpoints.maintain_connections());
    spawn(watch_endpoints(watch, engine.clone()));
    let status = ProcessStatus { memory: memory.clone(), discovery: discovery_status };
    spawn(reload_on_sighup(signals.clone(), discovery_address, engine, status));

    if let Ok(address) = listener.local_addr() {
        log::write(format_args!("ryefront-gateway {}: listening at {address}", config.name));
    }
    log::write(format_args!("memory: {memory}"));
    server.serve(listener, signals.termination_requested()).await;
    Ok(())
}

fn endpoint_settings(config: &Config, max_connections: usize, memory: Rc<MemoryMonitor>) -> EndpointSettings {
    EndpointSettings {
        connect_timeout: config.connect_timeout,
        endpoint_idle_timeout: config.endpoint_idle_timeout,
        load_report_source: config.settings.load_report_source,
        max_connections,
        memory,
    }
}

fn heap_bytes_in_use() -> usize {
    ALLOCATOR.allocated()
}
