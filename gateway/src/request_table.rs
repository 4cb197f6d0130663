//! The requests without a final response, and their attempts that have not ended.

use crate::clock::duration;
use crate::endpoint::{AttemptLimits, EndpointResponse, ForwardedRequest};
use crate::socket::SharedStream;
use ryefront_policy::{Millis, Outcome, RequestId};
use std::collections::HashMap;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// An endpoint served the request.
    Served(EndpointResponse),
    /// The request was rejected; a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Millis,
    },
    /// The request failed and may have run.
    Failed,
    /// The request failed, as its last attempt timed out, and may have run.
    TimedOut,
}

/// A request without a final response.
pub(crate) struct RequestInProgress {
    request: ForwardedRequest,
    client: SharedStream,
    deadline: Instant,
    final_response: oneshot::Sender<FinalResponse>,
    attempts_started: u32,
    last_attempt_timed_out: bool,
}

impl RequestInProgress {
    /// The final response if there are no further attempts.
    pub(crate) fn failure(&self) -> FinalResponse {
        if self.last_attempt_timed_out { FinalResponse::TimedOut } else { FinalResponse::Failed }
    }

    /// Passes the final response on to the client.
    pub(crate) fn finish(self, response: FinalResponse) {
        // Fails if nobody waits any more, as the client has had a response at its deadline.
        let _ = self.final_response.send(response);
    }
}

/// A request that was submitted.
pub(crate) struct SubmittedRequest {
    /// The id by which the policy refers to it.
    pub(crate) id: RequestId,
    /// Receives the final response, unless the request is removed before.
    pub(crate) final_response: oneshot::Receiver<FinalResponse>,
}

/// An attempt that has not ended.
struct AttemptInFlight {
    number: u32,
    /// `None` once it is cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

impl AttemptInFlight {
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // Fails if the attempt has just ended.
            let _ = cancel.send(());
        }
    }
}

/// How long an attempt may take, from its start; `None` for no other limit than the request's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTimeouts {
    /// Until it ends.
    pub(crate) total: Option<Millis>,
    /// Until its last byte is written.
    pub(crate) write: Option<Millis>,
}

/// An attempt that was added to the table, with all it needs to run.
pub(crate) struct StartedAttempt {
    /// Its number among the attempts of its request, from 0.
    pub(crate) number: u32,
    /// When it started.
    pub(crate) started_at: Instant,
    /// What to send.
    pub(crate) request: ForwardedRequest,
    /// The client that waits for it.
    pub(crate) client: SharedStream,
    /// When it must have ended.
    pub(crate) limits: AttemptLimits,
    /// Resolves when it is cancelled.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// The requests in progress and the attempts in flight: at most one of each request.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestInProgress>,
    /// By request. An attempt may outlive its request.
    attempts: HashMap<RequestId, AttemptInFlight>,
    last_id: RequestId,
}

impl RequestTable {
    /// Adds a request whose attempts end by the deadline.
    pub(crate) fn insert(
        &mut self, request: ForwardedRequest, client: SharedStream, deadline: Instant,
    ) -> SubmittedRequest {
        let (sender, final_response) = oneshot::channel();
        self.last_id += 1;
        let in_progress = RequestInProgress {
            request,
            client,
            deadline,
            final_response: sender,
            attempts_started: 0,
            last_attempt_timed_out: false,
        };
        self.requests.insert(self.last_id, in_progress);
        SubmittedRequest { id: self.last_id, final_response }
    }

    /// The number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request is in progress.
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Removes a request that is in progress. Whoever removes it gives its final response: there is no other.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestInProgress> {
        self.requests.remove(&id)
    }

    /// Starts an attempt of a request that is in progress and has no attempt in flight.
    pub(crate) fn start_attempt(
        &mut self, id: RequestId, timeouts: AttemptTimeouts,
    ) -> Option<StartedAttempt> {
        if self.attempts.contains_key(&id) {
            return None;
        }
        let in_progress = self.requests.get_mut(&id)?;
        let started_at = Instant::now();
        let number = in_progress.attempts_started;
        in_progress.attempts_started += 1;
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.insert(id, AttemptInFlight { number, cancel: Some(cancel) });
        let attempt_deadline = timeouts.total.map(|timeout| started_at + duration(timeout));
        let limits = AttemptLimits {
            deadline: attempt_deadline
                .map_or(in_progress.deadline, |deadline| in_progress.deadline.min(deadline)),
            write_deadline: timeouts.write.map(|timeout| started_at + duration(timeout)),
        };
        let request = in_progress.request.clone();
        let client = in_progress.client.clone();
        Some(StartedAttempt { number, started_at, request, client, limits, cancelled })
    }

    /// Cancels the attempt with this number, if it is in flight.
    pub(crate) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && attempt.number == number
        {
            attempt.cancel();
        }
    }

    /// Cancels the attempt of a request, if one is in flight.
    pub(crate) fn cancel_any_attempt(&mut self, id: RequestId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cancel();
        }
    }

    /// Removes the attempt of a request that has ended.
    pub(crate) fn remove_attempt(&mut self, id: RequestId) {
        self.attempts.remove(&id);
    }

    /// Records how the last attempt of a request ended, if the request is in progress.
    pub(crate) fn record_outcome(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(in_progress) = self.requests.get_mut(&id) {
            in_progress.last_attempt_timed_out = outcome == Outcome::TimedOut;
        }
    }
}
