//! What a gateway asks its host to do.

use crate::{Millis, Name, RequestId};

/// Something that the host is to do at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward an attempt of a request to an endpoint.
    ForwardAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: Name,
        /// The attempt's timeout; `None` for the client's deadline.
        timeout: Option<Millis>,
        /// The attempt is abandoned unless its last byte is written within this time; `None` for no limit.
        write_timeout: Option<Millis>,
    },
    /// Final answer: rejected, with the promise that a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Millis,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// How long from now.
        after: Millis,
        /// The token that comes back with [`Event::Timer`](crate::Event::Timer).
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck {
        /// The endpoint.
        endpoint: Name,
    },
    /// Add to a shared counter and return its total.
    IncrementCounter {
        /// The counter key, below 2^63.
        key: u64,
        /// What to add.
        amount: f64,
        /// How long a new key is kept.
        ttl: Millis,
    },
    /// Send a message to all other gateways.
    Gossip {
        /// The message.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Write a line to the log.
    Log(String),
}
