//! Generation of random events for one gateway.

use crate::common::*;
use crate::invariants::{InvariantChecker, TrackedRequest};
use ryefront_policy::*;

/// The endpoints of every stream. Endpoints whose names start with the same letter are in the same cell.
const ENDPOINTS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];
/// The ID of a request that never arrived.
const UNKNOWN_REQUEST_ID: RequestId = 900_000_000;

/// A gateway that handles random events, and the checker of its actions.
struct EventStream {
    random: Random,
    checker: InvariantChecker,
    gateway: TestGateway,
}

impl EventStream {
    fn new(seed: u64, settings: Settings) -> Self {
        let mut checker = InvariantChecker::new(settings.clone(), &ENDPOINTS);
        let mut gateway = TestGateway::new(settings, &ENDPOINTS);
        let initial_actions = std::mem::take(&mut gateway.actions);
        checker.check(gateway.now, initial_actions);
        Self { random: Random(seed), checker, gateway }
    }

    /// Passes an event to the gateway and checks the resulting actions.
    fn handle(&mut self, event: Event) {
        let actions = self.gateway.handle(event);
        self.checker.check(self.gateway.now, actions);
    }

    /// Passes the events of all timers that have expired.
    fn expire_timers(&mut self) {
        while let Some(token) = self.checker.take_expired_timer(self.gateway.now) {
            self.handle(Event::Timer { token });
        }
    }

    /// Ends the attempts that [`draw_attempt_ends`] selects.
    fn end_attempts(&mut self) {
        for end in draw_attempt_ends(&mut self.random, &mut self.checker, self.gateway.now) {
            if end.request_finished && !self.checker.requests[&end.id].finished {
                self.checker.on_final_response(self.gateway.now, end.id);
            }
            self.handle(Event::AttemptEnded(end));
        }
    }

    /// Draws the next event. If it is an arrival, the request gets the given ID. Returns `None` if the event
    /// is a disconnect and no request is open.
    fn draw_event(&mut self, id: RequestId) -> Option<Event> {
        match self.random.below(40) {
            0..20 => Some(self.draw_arrival(id)),
            20..34 if !self.checker.counter_calls.is_empty() => Some(self.draw_counter_reply()),
            34 | 35 => Some(self.draw_endpoint_change()),
            36 => self.disconnect_first_client(),
            _ => Some(Event::ClientDisconnected { id: UNKNOWN_REQUEST_ID }),
        }
    }

    /// Draws the arrival of a request and tracks the request.
    fn draw_arrival(&mut self, id: RequestId) -> Event {
        let class = self.random.below(3) as usize;
        let time_to_deadline = 300.0 + self.random.below(2500) as f64;
        let request = TrackedRequest::new(class, self.gateway.now + time_to_deadline);
        self.checker.requests.insert(id, request);
        random_arrival(&mut self.random, id, time_to_deadline, class)
    }

    fn draw_counter_reply(&mut self) -> Event {
        let index = self.random.below(self.checker.counter_calls.len() as u64) as usize;
        let key = self.checker.counter_calls.remove(index);
        let result = match self.random.below(6) {
            0 => CounterResult::Unknown,
            1 => CounterResult::NotAdded,
            _ => CounterResult::Total(self.random.below(25) as f64),
        };
        Event::CounterReply { key, result, latency: 5.0 }
    }

    fn draw_endpoint_change(&mut self) -> Event {
        let name: Name = ENDPOINTS[self.random.below(6) as usize].into();
        let is_draining = self.random.below(2) == 0;
        self.checker.draining.insert(name.clone(), is_draining);
        let state = if is_draining { EndpointState::Draining } else { EndpointState::Ready };
        Event::EndpointDelta(vec![endpoint(&name, state, None)])
    }

    /// Disconnects the client of the open request with the lowest ID.
    fn disconnect_first_client(&mut self) -> Option<Event> {
        let (id, request) = self.checker.requests.iter_mut().find(|(_, request)| !request.finished)?;
        request.finished = true;
        Some(Event::ClientDisconnected { id: *id })
    }
}

fn random_arrival(random: &mut Random, id: RequestId, time_to_deadline: Millis, class: usize) -> Event {
    let plan = ["plain", "ceiling", "capped"][random.below(3) as usize];
    let tenant = if random.below(5) == 0 { 1000 + id } else { random.below(12) };
    Event::RequestArrived(Arrival {
        id,
        tenant: format!("{plan}-{tenant}").as_str().into(),
        plan: plan.into(),
        class: ["idempotent", "keyed", "non_idempotent"][class].into(),
        units: [0.0, 0.5, 1.0, 3.0][random.below(4) as usize],
        client_retry: random.below(4) == 0,
        time_to_deadline,
        first_gateway: random.below(2) as u32,
        gateways_per_tenant: [0, 1, 2, 30, 300, 4000][random.below(6) as usize],
    })
}

/// Runs a stream of `event_count` events and returns the number of final responses.
pub(crate) fn run_stream(seed: u64, settings: Settings, event_count: u64) -> usize {
    let mut stream = EventStream::new(seed, settings);
    for id in 1..=event_count {
        stream.gateway.now += stream.random.below(12) as f64;
        stream.expire_timers();
        stream.end_attempts();
        let Some(event) = stream.draw_event(id) else { continue };
        stream.handle(event);
        assert_eq!(
            stream.checker.overdue_request(stream.gateway.now),
            None,
            "a request has had no final response by its deadline"
        );
    }
    stream.checker.final_responses
}

/// Ends all attempts whose deadline has passed and a random selection of the others.
fn draw_attempt_ends(random: &mut Random, checker: &mut InvariantChecker, now: Millis) -> Vec<AttemptEnd> {
    let mut ends = Vec::new();
    for (id, request) in &mut checker.requests {
        let Some(attempt) = request.in_flight.clone() else { continue };
        let overdue = now >= request.deadline;
        if !overdue && random.below(12) != 0 {
            continue;
        }
        let outcome = if overdue { Outcome::TimedOut } else { draw_outcome(random) };
        request.in_flight = None;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if !never_ran && request.first_ambiguous_attempt.is_none() {
            request.first_ambiguous_attempt = Some(attempt.clone());
        }
        ends.push(AttemptEnd {
            id: *id,
            attempt: request.attempts - 1,
            endpoint: attempt.endpoint,
            outcome,
            latency: now - attempt.sent_at,
            actual_units: None,
            request_finished: outcome == Outcome::Served || request.finished,
            load_report: None,
        });
    }
    ends
}

fn draw_outcome(random: &mut Random) -> Outcome {
    let outcomes = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::ConnectionReset,
    ];
    outcomes[random.below(5) as usize]
}
