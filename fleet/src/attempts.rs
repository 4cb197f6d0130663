//! Open client attempts, which have no completion yet, and the forwarded attempt in flight of each.

use crate::clients::ClientRequest;
use crate::endpoints::Job;
use crate::tenants::QuotaCheck;
use crate::time::{self, Micros};
use ryefront_policy::{AttemptEnd, Event, LoadReport, Name, Outcome};
use std::collections::HashMap;

/// An attempt that a gateway forwarded and that has not ended.
pub(crate) struct InFlightAttempt {
    /// The index of the attempt within its request, starting at 0.
    pub(crate) number: u32,
    pub(crate) endpoint: u32,
    pub(crate) endpoint_name: Name,
    pub(crate) sent_at: Micros,
    /// The duration of the handshake; 0 if the connection was reused.
    pub(crate) handshake: Micros,
}

impl InFlightAttempt {
    /// Converts the attempt into the event that reports its end.
    pub(crate) fn into_event(self, result: AttemptResult, now: Micros) -> Event {
        let load_report = result
            .queue_length
            .map(|queue_length| LoadReport { queue_length: Some(queue_length), ..LoadReport::default() });
        Event::AttemptEnded(AttemptEnd {
            id: result.id,
            attempt: self.number,
            endpoint: self.endpoint_name,
            outcome: result.outcome,
            latency: time::to_ms(now - self.sent_at),
            actual_units: None,
            request_finished: result.request_finished,
            load_report,
        })
    }
}

/// How an attempt ended.
pub(crate) struct AttemptResult {
    /// The request ID.
    pub(crate) id: u64,
    pub(crate) outcome: Outcome,
    pub(crate) request_finished: bool,
    /// The number of requests queued at the endpoint, from its load report; `None` if there was no response.
    pub(crate) queue_length: Option<f64>,
}

/// An attempt of a client, which its gateway has not completed yet.
pub(crate) struct ClientAttempt {
    pub(crate) request: ClientRequest,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    /// The number of attempts that its gateway has forwarded.
    pub(crate) forwarded: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Whether its tenant had enough units left when it first reached an endpoint; `None` before that.
    pub(crate) quota_check: Option<QuotaCheck>,
}

impl ClientAttempt {
    pub(crate) fn new(request: ClientRequest, arrived_at: Micros, deadline: Micros) -> Self {
        Self { request, arrived_at, deadline, forwarded: 0, in_flight: None, quota_check: None }
    }

    /// Records a forwarded attempt as in flight and returns its number.
    pub(crate) fn forward(
        &mut self, endpoint: u32, endpoint_name: Name, handshake: Micros, now: Micros,
    ) -> u32 {
        let number = self.forwarded;
        self.forwarded += 1;
        self.in_flight = Some(InFlightAttempt { number, endpoint, endpoint_name, sent_at: now, handshake });
        number
    }
}

/// All open client attempts, by the request ID that is passed to their gateway.
#[derive(Default)]
pub(crate) struct ClientAttempts {
    by_id: HashMap<u64, ClientAttempt>,
    last_id: u64,
}

/// The number of open client attempts, without those of the warm-up.
pub(crate) struct OpenAttempts {
    pub(crate) total: u64,
    /// The number of those with an attempt in flight.
    pub(crate) in_flight: u64,
}

impl ClientAttempts {
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn last_id(&self) -> u64 {
        self.last_id
    }

    pub(crate) fn insert(&mut self, id: u64, attempt: ClientAttempt) {
        self.by_id.insert(id, attempt);
    }

    pub(crate) fn get(&self, id: u64) -> Option<&ClientAttempt> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut ClientAttempt> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<ClientAttempt> {
        self.by_id.remove(&id)
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(crate) fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the attempt of this number is in flight.
    pub(crate) fn is_in_flight(&self, id: u64, number: u32) -> bool {
        let in_flight = self.get(id).and_then(|attempt| attempt.in_flight.as_ref());
        in_flight.is_some_and(|in_flight| in_flight.number == number)
    }

    /// Whether the gateway still waits for the response to a job.
    pub(crate) fn is_awaiting(&self, job: &Job) -> bool {
        self.is_in_flight(job.id, job.attempt)
    }

    /// Counts the open client attempts, without those of the warm-up.
    pub(crate) fn counted_open_attempts(&self) -> OpenAttempts {
        let counted = self.by_id.values().filter(|attempt| attempt.request.counted);
        let in_flight = counted.clone().filter(|attempt| attempt.in_flight.is_some()).count() as u64;
        OpenAttempts { total: counted.count() as u64, in_flight }
    }
}
