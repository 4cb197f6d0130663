//! Checks that a gateway's real endpoint watch reads a snapshot over a loopback socket.

use super::error::MeasurementError;
use super::measured_gateway::{FIRST_VERSION, FleetSize, IDLE_TIMEOUT, settings, snapshot};
use crate::endpoint_list::Registry;
use ryefront_gateway::discovery::backoff::PollTiming;
use ryefront_gateway::discovery::{WatchSettings, watch_endpoints};
use ryefront_gateway::engine::Engine;
use ryefront_policy::Settings;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A snapshot that is not applied within this time counts as not applied.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// A snapshot that is still requested after this number of responses counts as not applied.
const MAX_RESPONSES: u32 = 3;
/// The version that a gateway without an endpoint list requests changes after.
const NO_VERSION: u64 = 0;
const SEED: u64 = 7;

/// Whether a gateway reads and applies a snapshot of `endpoints` endpoints.
pub(super) fn is_snapshot_applied(endpoints: usize) -> Result<bool, MeasurementError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let list = snapshot(endpoints);
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (_sender, address) = tokio::sync::watch::channel(listener.local_addr()?);
        let registry = Registry::new(IDLE_TIMEOUT).endpoint_registry();
        let settings = Settings { has_counter: false, ..settings(FleetSize::proportional(endpoints)) };
        let engine = Engine::start(settings, SEED, registry, None)?;
        let timing = PollTiming::SHARED_SERVICE;
        let status = std::rc::Rc::default();
        let watch = WatchSettings { address, cached_version: NO_VERSION, seed: SEED, timing, status };
        tokio::task::spawn_local(watch_endpoints(watch, engine));
        Ok(tokio::time::timeout(READ_TIMEOUT, serve_list(&listener, &list)).await.unwrap_or(Ok(false))?)
    })
}

/// Responds with the same list until a request shows that it was applied, by asking for changes after its
/// version.
async fn serve_list(listener: &TcpListener, list: &str) -> io::Result<bool> {
    let applied_query = format!("after={FIRST_VERSION}&");
    let mut responses = 0;
    loop {
        let (mut stream, _) = listener.accept().await?;
        while let Some(head) = read_request_head(&mut stream).await? {
            if head.contains(&applied_query) {
                return Ok(true);
            }
            if responses == MAX_RESPONSES {
                return Ok(false);
            }
            responses += 1;
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            // A gateway that rejects the Content-Length closes the connection during the write.
            if stream.write_all(response.as_bytes()).await.is_err() {
                break;
            }
        }
    }
}

/// Reads the head of the next request; `None` if the connection was closed.
async fn read_request_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(read) if read > 0 => head.extend_from_slice(&buffer[..read]),
            _ => return Ok(None),
        }
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
