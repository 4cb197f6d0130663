//! Client attempts without a completion, and the attempt in flight of each.

use crate::clients::ClientRequest;
use crate::endpoints::Job;
use crate::tenants::QuotaCheck;
use crate::time::{self, Micros};
use ryefront_policy::{AttemptEnd, Event, LoadReport, Name, Outcome};
use std::collections::HashMap;

/// An attempt that a gateway forwarded and that has not ended.
pub(crate) struct InFlightAttempt {
    /// Its number, from 0.
    pub(crate) number: u32,
    pub(crate) endpoint: u32,
    pub(crate) endpoint_name: Name,
    pub(crate) sent_at: Micros,
    /// How long its new connection took; 0 for a pooled one.
    pub(crate) handshake: Micros,
}

impl InFlightAttempt {
    /// The event for its end.
    pub(crate) fn end(self, result: AttemptResult, now: Micros) -> Event {
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
    /// The request.
    pub(crate) id: u64,
    pub(crate) outcome: Outcome,
    pub(crate) request_finished: bool,
    /// Requests queued at the endpoint, from its load report; `None` without a response.
    pub(crate) queue_length: Option<f64>,
}

/// A client's attempt that its gateway has not completed.
pub(crate) struct ClientAttempt {
    pub(crate) request: ClientRequest,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    /// Attempts that its gateway has forwarded.
    pub(crate) forwarded: u32,
    pub(crate) in_flight: Option<InFlightAttempt>,
    /// Whether its tenant had the units when it first reached an endpoint; `None` before.
    pub(crate) quota_check: Option<QuotaCheck>,
}

impl ClientAttempt {
    pub(crate) fn new(request: ClientRequest, arrived_at: Micros, deadline: Micros) -> Self {
        Self { request, arrived_at, deadline, forwarded: 0, in_flight: None, quota_check: None }
    }

    /// Puts a new attempt in flight and returns its number.
    pub(crate) fn forward(
        &mut self, endpoint: u32, endpoint_name: Name, handshake: Micros, now: Micros,
    ) -> u32 {
        let number = self.forwarded;
        self.forwarded += 1;
        self.in_flight = Some(InFlightAttempt { number, endpoint, endpoint_name, sent_at: now, handshake });
        number
    }
}

/// All client attempts without a completion, by the id that their gateway knows them by.
#[derive(Default)]
pub(crate) struct ClientAttempts {
    open: HashMap<u64, ClientAttempt>,
    last_id: u64,
}

/// Client attempts without a completion, of those that count in the metrics.
pub(crate) struct OpenAttempts {
    pub(crate) total: u64,
    /// Those with an attempt in flight.
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
        self.open.insert(id, attempt);
    }

    pub(crate) fn get(&self, id: u64) -> Option<&ClientAttempt> {
        self.open.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: u64) -> Option<&mut ClientAttempt> {
        self.open.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<ClientAttempt> {
        self.open.remove(&id)
    }

    pub(crate) fn is_open(&self, id: u64) -> bool {
        self.open.contains_key(&id)
    }

    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }

    /// Whether an attempt with this number is in flight.
    pub(crate) fn is_in_flight(&self, id: u64, number: u32) -> bool {
        let in_flight = self.get(id).and_then(|attempt| attempt.in_flight.as_ref());
        in_flight.is_some_and(|in_flight| in_flight.number == number)
    }

    /// Whether the gateway still waits for a job.
    pub(crate) fn awaits(&self, job: &Job) -> bool {
        self.is_in_flight(job.id, job.attempt)
    }

    /// The number of open client attempts, of those that count in the metrics.
    pub(crate) fn open_counted(&self) -> OpenAttempts {
        let counted = self.open.values().filter(|attempt| attempt.request.counted);
        let in_flight = counted.clone().filter(|attempt| attempt.in_flight.is_some()).count() as u64;
        OpenAttempts { total: counted.count() as u64, in_flight }
    }
}
