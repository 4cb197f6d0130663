//! The requests in progress, which have no final response yet, and their attempts in flight.

use crate::clock::duration;
use crate::endpoint::{AttemptLimits, EndpointResponse, ForwardedRequest};
use crate::request_ids::IdReservation;
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
    /// The request was rejected. The client is told that a retry is safe.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Millis,
    },
    /// The request failed. An endpoint may have run it.
    Failed,
    /// The request failed because its last attempt timed out. An endpoint may have run it.
    TimedOut,
}

/// A request without a final response.
pub(crate) struct RequestInProgress {
    request: ForwardedRequest,
    id_reservation: IdReservation,
    client: SharedStream,
    deadline: Instant,
    final_response: oneshot::Sender<FinalResponse>,
    attempts_started: u32,
    last_attempt_timed_out: bool,
}

impl RequestInProgress {
    /// The final response if the request fails after its last attempt.
    pub(crate) fn failure(&self) -> FinalResponse {
        if self.last_attempt_timed_out { FinalResponse::TimedOut } else { FinalResponse::Failed }
    }

    /// Sends the final response to the task that serves the client.
    pub(crate) fn finish(self, response: FinalResponse) {
        // Fails if the receiver was dropped because the client got a response at its deadline.
        let _ = self.final_response.send(response);
    }
}

/// A request that was added to the table.
pub(crate) struct SubmittedRequest {
    /// The ID by which the policy refers to the request.
    pub(crate) id: RequestId,
    /// Receives the final response, or an error if the request is removed without one.
    pub(crate) final_response: oneshot::Receiver<FinalResponse>,
}

/// An attempt that has not ended.
struct AttemptInFlight {
    number: u32,
    /// `None` once the attempt is cancelled.
    cancel: Option<oneshot::Sender<()>>,
}

impl AttemptInFlight {
    fn cancel(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            // Fails if the attempt has already ended.
            let _ = cancel.send(());
        }
    }
}

/// The timeouts of an attempt, from its start. `None` where only the request's deadline applies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTimeouts {
    /// The time until the attempt ends.
    pub(crate) total: Option<Millis>,
    /// The time until the last byte of the request is written.
    pub(crate) write: Option<Millis>,
}

/// An attempt that was added to the table, with the inputs to run it.
pub(crate) struct StartedAttempt {
    /// The index of the attempt among those of its request, from 0.
    pub(crate) number: u32,
    pub(crate) started_at: Instant,
    /// The request to forward.
    pub(crate) request: ForwardedRequest,
    /// Keeps the ID of the request taken until the attempt has ended.
    pub(crate) id_reservation: IdReservation,
    /// The socket of the client, to detect that it disconnects.
    pub(crate) client: SharedStream,
    pub(crate) limits: AttemptLimits,
    /// Resolves when the attempt is cancelled.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// The requests in progress and the attempts in flight, at most one for each request.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, RequestInProgress>,
    /// The attempts in flight, by request. An attempt may outlive its request.
    attempts: HashMap<RequestId, AttemptInFlight>,
    last_id: RequestId,
}

impl RequestTable {
    /// Adds a request whose attempts end at `deadline` at the latest.
    pub(crate) fn insert(
        &mut self, request: ForwardedRequest, id_reservation: IdReservation, client: SharedStream,
        deadline: Instant,
    ) -> SubmittedRequest {
        let (sender, final_response) = oneshot::channel();
        self.last_id += 1;
        let in_progress = RequestInProgress {
            request,
            id_reservation,
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

    /// Removes a request in progress. Only the caller that removes a request can send its final response, so
    /// a request never gets two.
    pub(crate) fn remove(&mut self, id: RequestId) -> Option<RequestInProgress> {
        self.requests.remove(&id)
    }

    /// Adds an attempt of a request. Returns `None` unless the request is in progress and has no attempt in
    /// flight.
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
        let id_reservation = in_progress.id_reservation.clone();
        let client = in_progress.client.clone();
        Some(StartedAttempt { number, started_at, request, id_reservation, client, limits, cancelled })
    }

    /// Cancels the attempt with this number, if it is in flight.
    pub(crate) fn cancel_attempt(&mut self, id: RequestId, number: u32) {
        if let Some(attempt) = self.attempts.get_mut(&id)
            && attempt.number == number
        {
            attempt.cancel();
        }
    }

    /// Cancels the attempt that a request has in flight, if any.
    pub(crate) fn cancel_any_attempt(&mut self, id: RequestId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.cancel();
        }
    }

    /// Removes the attempt of a request, which has ended.
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
