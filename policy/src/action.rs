//! The actions that the policy engine requests from its host.

use crate::{Millis, Name, RequestId};

/// An action that the host must perform immediately.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward an attempt of a request to an endpoint.
    ForwardAttempt {
        /// The request ID.
        id: RequestId,
        /// The name of the endpoint.
        endpoint: Name,
        /// The timeout of the attempt. `None` means that only the client's deadline applies.
        timeout: Option<Millis>,
        /// The time within which the last byte of the request must be written, or else the attempt is
        /// abandoned. `None` means no limit.
        write_timeout: Option<Millis>,
    },
    /// Reject a request as its final response. The rejection tells the client that a retry is safe.
    Reject {
        /// The request ID.
        id: RequestId,
        /// The time that the client should wait before it retries.
        retry_after: Millis,
    },
    /// Fail a request as its final response. The client is not told whether a retry is safe.
    Fail {
        /// The request ID.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request ID.
        id: RequestId,
        /// The index of the attempt, starting at 0.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// The time from now until the timer expires.
        after: Millis,
        /// The token to pass in [`Event::Timer`](crate::Event::Timer) when the timer expires.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The name of the endpoint.
        endpoint: Name,
    },
    /// Add an amount to a key of the shared counter and report the result with
    /// [`Event::CounterReply`](crate::Event::CounterReply).
    IncrementCounter {
        /// The counter key, below 2^63.
        key: u64,
        /// The amount to add.
        amount: f64,
        /// The time after which a key created by this call expires.
        ttl: Millis,
    },
    /// Send a message to all other gateways.
    Gossip {
        /// The content of the message.
        bytes: Vec<u8>,
    },
    /// Start watching the endpoint list.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}
