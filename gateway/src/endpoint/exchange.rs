//! One request to an endpoint and its response, on a connection that the exchange acquires and releases.

use crate::endpoint::connections::{AcquireError, AcquiredConnection};
use crate::endpoint::registry::EndpointRegistry;
use crate::endpoint::stale_connections::ConnectionOutcome;
use crate::http_connection::{ExchangeError, ExchangeLimits};
use crate::memory::MemoryMonitor;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, http};
use ryefront_policy::{Idempotency, Name, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum size of the body of a request or a response, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// The time from the first byte of a response to its last. Responses are small, and endpoints have them ready
/// when they write the first byte.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that [`exchange`] can send to an endpoint.
pub(super) trait EndpointRequest {
    /// Whether the endpoint may run the request twice.
    fn idempotency(&self) -> Idempotency;

    /// When the request is abandoned unless it has been written completely.
    fn write_deadline(&self) -> Option<Instant>;

    /// Checks that the request may still be written, once a connection is established.
    async fn check_before_write(&self) -> Result<(), Outcome>;

    /// Builds the HTTP request to an endpoint at this address.
    fn build(&self, address: SocketAddr) -> http::Result<Request<Full<Bytes>>>;
}

/// Sends a request to an endpoint and returns the response once the connection is closed or idle again.
///
/// Writes the request at most once. Dropping the future closes the connection.
///
/// # Errors
/// If there is no valid response. The outcome shows whether the endpoint may have run the request.
pub(super) async fn exchange(
    endpoints: &EndpointRegistry, endpoint: &Name, request: &impl EndpointRequest,
) -> Result<Response<Bytes>, Outcome> {
    loop {
        let mut acquired = acquire(endpoints, endpoint, request.idempotency()).await?;
        request.check_before_write().await?;
        // While the connection was established, an endpoint list may have marked the endpoint as draining,
        // removed it, moved it to another address or replaced its process.
        if endpoints.ready_process(endpoint) != Some(acquired.process) {
            return Err(Outcome::NotSent);
        }
        let message = request.build(acquired.process.address).map_err(|_| Outcome::NotSent)?;
        let limits = exchange_limits(request.write_deadline(), endpoints.memory());
        let mut result = acquired.connection.exchange(message, limits).await;
        if result.is_ok() && !acquired.connection.confirms_response_end().await {
            result = Err(ExchangeError::InvalidResponse);
        }
        endpoints.connections().record_exchange(acquired.idle_time, connection_outcome(&result));
        match result {
            Ok(response) => {
                endpoints.release_after_response(endpoint, acquired).await;
                return Ok(response);
            }
            // The endpoint closed the idle connection just before the write. As nothing was written, using
            // another connection is not a second attempt, and this is no failure of the endpoint.
            Err(ExchangeError::NotSent) if acquired.idle_time.is_some() => {}
            Err(error) => return Err(attempt_outcome(error)),
        }
    }
}

/// Acquires a connection to an endpoint that may be sent new requests.
async fn acquire(
    endpoints: &EndpointRegistry, endpoint: &Name, idempotency: Idempotency,
) -> Result<AcquiredConnection, Outcome> {
    let process = endpoints.ready_process(endpoint).ok_or(Outcome::NotSent)?;
    let acquired = endpoints.connections().acquire(endpoint, process, idempotency).await;
    acquired.map_err(|error| match error {
        // The endpoint is not at fault and must not be ejected for it.
        AcquireError::LimitReached | AcquireError::Local => Outcome::NotSent,
        AcquireError::Unreachable => Outcome::ConnectFailed,
    })
}

fn exchange_limits(write_deadline: Option<Instant>, memory: Rc<MemoryMonitor>) -> ExchangeLimits {
    ExchangeLimits {
        max_body_bytes: MAX_BODY_BYTES,
        response_timeout: RESPONSE_TIMEOUT,
        write_deadline,
        memory,
    }
}

/// Classifies the end of an exchange for the estimator of stale connections.
fn connection_outcome<T>(result: &Result<T, ExchangeError>) -> ConnectionOutcome {
    match result {
        Err(ExchangeError::NoResponse | ExchangeError::PartiallySent) => ConnectionOutcome::Broken,
        Ok(_) | Err(ExchangeError::NotSent | ExchangeError::InvalidResponse) => ConnectionOutcome::Other,
    }
}

/// The outcome of an attempt whose exchange failed.
fn attempt_outcome(error: ExchangeError) -> Outcome {
    match error {
        ExchangeError::NotSent | ExchangeError::PartiallySent => Outcome::ConnectFailed,
        ExchangeError::NoResponse => Outcome::ConnectionReset,
        // The endpoint is alive and may have run the request. This counts as an error response, so that a
        // fault that all endpoints have in common does not eject all of them.
        ExchangeError::InvalidResponse => Outcome::Error,
    }
}
