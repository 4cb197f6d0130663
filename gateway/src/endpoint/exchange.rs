//! One request to an endpoint and its response, on a connection that the exchange acquires and releases.

use crate::endpoint::connections::{AcquireError, AcquiredConnection};
use crate::endpoint::registry::EndpointRegistry;
use crate::endpoint::stale_connections::ExchangeResult;
use crate::http_connection::{ExchangeError, ExchangeLimits};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, http};
use ryefront_policy::{Idempotency, Name, Outcome};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The largest body of a request or a response, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// A response must be complete this long after its first byte: it is small and ready when that is written.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// A request to an endpoint, as the exchange needs to know it.
pub(super) trait EndpointRequest {
    /// Whether it may be run twice.
    fn idempotency(&self) -> Idempotency;

    /// The time by which it must be written completely, or is abandoned.
    fn write_deadline(&self) -> Option<Instant>;

    /// Checks, once a connection is established, that the request may still be written.
    async fn check_may_begin(&self) -> Result<(), Outcome>;

    /// Builds the request for an endpoint at this address.
    fn build(&self, address: SocketAddr) -> http::Result<Request<Full<Bytes>>>;
}

/// Sends a request to an endpoint and returns the response once the connection is closed or idle again.
///
/// It is written once. Dropping the future closes the connection.
///
/// # Errors
/// When there is no response that can be used. The outcome shows whether the request may have run.
pub(super) async fn exchange(
    endpoints: &EndpointRegistry, endpoint: &Name, request: &impl EndpointRequest,
) -> Result<Response<Bytes>, Outcome> {
    loop {
        let mut acquired = acquire(endpoints, endpoint, request.idempotency()).await?;
        request.check_may_begin().await?;
        // While the connection was established the endpoint may have been listed as draining, removed or
        // moved.
        if endpoints.ready_address(endpoint) != Some(acquired.address) {
            return Err(Outcome::NotSent);
        }
        let message = request.build(acquired.address).map_err(|_| Outcome::NotSent)?;
        let limits = exchange_limits(request.write_deadline());
        let result = acquired.connection.exchange(message, limits).await;
        endpoints.connections().record_exchange(acquired.idle, exchange_result(&result));
        match result {
            Ok(response) => {
                endpoints.record_response(endpoint, acquired).await;
                return Ok(response);
            }
            // The endpoint closed the idle connection just now. Nothing was written, so another connection is
            // no second attempt, and the endpoint is not to blame.
            Err(ExchangeError::NotSent) if acquired.idle.is_some() => {}
            Err(error) => return Err(outcome_of(error)),
        }
    }
}

/// Acquires a connection to an endpoint that may be sent new requests.
async fn acquire(
    endpoints: &EndpointRegistry, endpoint: &Name, idempotency: Idempotency,
) -> Result<AcquiredConnection, Outcome> {
    let address = endpoints.ready_address(endpoint).ok_or(Outcome::NotSent)?;
    let acquired = endpoints.connections().acquire(endpoint, address, idempotency).await;
    acquired.map_err(|error| match error {
        // The endpoint is not at fault and must not be ejected for it.
        AcquireError::LimitReached | AcquireError::Local => Outcome::NotSent,
        AcquireError::Unreachable => Outcome::ConnectFailed,
    })
}

fn exchange_limits(write_deadline: Option<Instant>) -> ExchangeLimits {
    ExchangeLimits { max_body_bytes: MAX_BODY_BYTES, response_timeout: RESPONSE_TIMEOUT, write_deadline }
}

/// Classifies the end of an exchange for the estimate of stale connections.
fn exchange_result<T>(result: &Result<T, ExchangeError>) -> ExchangeResult {
    match result {
        Err(ExchangeError::NoResponse | ExchangeError::PartiallySent) => ExchangeResult::ConnectionBroke,
        Ok(_) | Err(ExchangeError::NotSent | ExchangeError::InvalidResponse) => ExchangeResult::Other,
    }
}

/// What a failed exchange means for the attempt.
fn outcome_of(error: ExchangeError) -> Outcome {
    match error {
        ExchangeError::NotSent | ExchangeError::PartiallySent => Outcome::ConnectFailed,
        ExchangeError::NoResponse => Outcome::ConnectionReset,
        // The endpoint is alive and may have run the request. It counts as an error response, so that a fault
        // common to all endpoints does not eject all of them.
        ExchangeError::InvalidResponse => Outcome::Error,
    }
}
