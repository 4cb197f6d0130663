//! The host of the policy: passes events to it and performs the actions that it returns.
//!
//! All decisions are made by [`ryefront_policy::PolicyEngine`]. The engine owns the table of requests in
//! progress and spawns the tasks for attempts, health checks and timers. Each task posts an event when it
//! ends.

use crate::clock::{Clock, duration, millis};
use crate::counter::{CompletedCall, CounterClient};
use crate::discovery::{EndpointList, EndpointListSink};
use crate::endpoint::{Attempt, AttemptResult, EndpointRegistry, ForwardedRequest, check_health};
use crate::fleet_clock::FleetClockSync;
use crate::log;
use crate::request_ids::IdReservation;
use crate::request_table::{AttemptTimeouts, RequestInProgress, RequestTable, StartedAttempt};
use crate::socket::SharedStream;
use crate::task::spawn;
use ryefront_policy::{
    Action, Arrival, AttemptEnd, CounterResult, Event, FleetTime, MIN_REPORTED_PAUSE, Millis, Name, Outcome,
    PolicyEngine, RequestId, Settings, SettingsError,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

pub(crate) use crate::request_table::{FinalResponse, SubmittedRequest};

/// The timeout of a counter call, as a multiple of the counter timeout in the settings. A counter that is
/// merely slow still adds the amount, and the units of a lease block are lost if its call times out. No
/// request waits that long, as the policy bounds its wait by its latency objective.
const COUNTER_TIMEOUT_MULTIPLE: u32 = 4;

/// Runs the policy. Every event is passed to it and every action is performed here.
pub struct Engine {
    clock: Clock,
    fleet_clock: FleetClockSync,
    endpoints: Rc<EndpointRegistry>,
    counter: Option<CounterClient>,
    policy: RefCell<PolicyEngine>,
    requests: RefCell<RequestTable>,
    /// Events that are yet to be handled by the policy.
    events: RefCell<VecDeque<Event>>,
    is_handling_events: Cell<bool>,
    /// When the policy last handled an event.
    last_event_at: Cell<Millis>,
    /// Cloned for tasks, which must not keep the engine alive.
    weak_self: Weak<Self>,
}

impl Engine {
    /// Starts an engine without requests or endpoints. If `counter` is `None`, all counter calls fail.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn start(
        settings: Settings, seed: u64, endpoints: Rc<EndpointRegistry>, counter: Option<SocketAddr>,
    ) -> Result<Rc<Self>, SettingsError> {
        let counter_timeout = duration(settings.counter_timeout) * COUNTER_TIMEOUT_MULTIPLE;
        let clock = Clock::from_system_time();
        let fleet_clock = FleetClockSync::new(settings.gateway_count, seed, clock);
        let policy = PolicyEngine::new(settings, seed)?;
        Ok(Rc::new_cyclic(|weak_self: &Weak<Self>| Self {
            clock,
            fleet_clock,
            endpoints,
            counter: counter.map(|address| start_counter(address, counter_timeout, weak_self)),
            policy: RefCell::new(policy),
            requests: RefCell::default(),
            events: RefCell::default(),
            is_handling_events: Cell::new(false),
            last_event_at: Cell::new(clock.now()),
            weak_self: weak_self.clone(),
        }))
    }

    /// Sends all further counter calls to `address`.
    pub(crate) fn set_counter_address(&self, address: SocketAddr) {
        if let Some(counter) = &self.counter {
            counter.set_address(address);
        }
    }

    /// Submits a request from the client connected by this socket. All its attempts end by `deadline`.
    pub(crate) fn submit(
        &self, arrival: impl FnOnce(RequestId) -> Arrival, request: ForwardedRequest,
        id_reservation: IdReservation, client: SharedStream, deadline: Instant,
    ) -> SubmittedRequest {
        let submitted = self.requests.borrow_mut().insert(request, id_reservation, client, deadline);
        self.post(Event::RequestArrived(arrival(submitted.id)));
        submitted
    }

    /// Removes a request whose client has disconnected and cancels its attempt.
    pub(crate) fn client_disconnected(&self, id: RequestId) {
        let was_in_progress = {
            let mut requests = self.requests.borrow_mut();
            requests.cancel_any_attempt(id);
            requests.remove(id).is_some()
        };
        if was_in_progress {
            self.post(Event::ClientDisconnected { id });
        }
    }

    /// Returns unused leased units, as few more requests will arrive.
    pub(crate) fn return_leases(&self) {
        self.post(Event::DrainStarted);
    }

    /// Returns the number of requests without a final response.
    pub(crate) fn requests_in_progress(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Passes an event to the policy and performs the resulting actions. Events posted meanwhile are
    /// queued, so the policy handles the next event only once all actions of the previous one are
    /// performed.
    fn post(&self, event: Event) {
        self.detect_pause();
        self.events.borrow_mut().push_back(event);
        if self.is_handling_events.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            self.last_event_at.set(now);
            self.policy.borrow_mut().handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
        }
        self.is_handling_events.set(false);
    }

    /// Posts [`Event::ProcessResumed`] if the process was paused. The maintenance timer of the policy is
    /// always set, so a long time without events means that the process did not run.
    fn detect_pause(&self) {
        let pause = self.clock.now() - self.last_event_at.get();
        if pause >= MIN_REPORTED_PAUSE && !self.is_handling_events.get() {
            self.events.borrow_mut().push_back(Event::ProcessResumed);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::ForwardAttempt { id, endpoint, timeout, write_timeout } => {
                self.forward_attempt(id, endpoint, AttemptTimeouts { total: timeout, write: write_timeout });
            }
            Action::Reject { id, retry_after } => {
                self.finish(id, |_| FinalResponse::Rejected { retry_after })
            }
            Action::Fail { id } => self.finish(id, RequestInProgress::failure),
            Action::CancelAttempt { id, attempt } => self.requests.borrow_mut().cancel_attempt(id, attempt),
            Action::SetTimer { after, token } => self.set_timer(after, token),
            Action::HealthCheck { endpoint } => self.check_health(endpoint),
            Action::IncrementCounter { key, amount, ttl } => self.increment_counter(key, amount, ttl),
            Action::Log(text) => log::write(text),
            // This gateway does not gossip, and always watches the endpoint list.
            Action::Gossip { .. } | Action::WatchEndpoints => {}
        }
    }

    /// Ends a request with its final response, unless it has had one.
    fn finish(&self, id: RequestId, response: impl FnOnce(&RequestInProgress) -> FinalResponse) {
        let Some(request) = self.requests.borrow_mut().remove(id) else { return };
        let response = response(&request);
        request.finish(response);
    }

    fn forward_attempt(&self, id: RequestId, endpoint: Name, timeouts: AttemptTimeouts) {
        let started = self.requests.borrow_mut().start_attempt(id, timeouts);
        let Some(started) = started else { return self.post_not_started(id, endpoint) };
        let endpoints = self.endpoints.clone();
        let weak_self = self.weak_self.clone();
        spawn(async move {
            let StartedAttempt { number, started_at, request, id_reservation, client, limits, cancelled } =
                started;
            let attempt = Attempt::new(&endpoint, request, limits, cancelled, &client);
            let result = attempt.run(&endpoints).await;
            // Checked before the policy handles the end of the attempt, so that it does not retry for a
            // client that has disconnected.
            let client_disconnected = result.response.is_none() && client.may_be_closed_by_peer().await;
            let Some(engine) = weak_self.upgrade() else { return };
            if client_disconnected {
                engine.client_disconnected(id);
            }
            engine.record_execution(id, &id_reservation, &result);
            engine.attempt_ended(id, number, endpoint, millis(started_at.elapsed()), result);
        });
    }

    /// Posts the end of an attempt that was not started, because its request is finished or has another
    /// attempt in flight.
    fn post_not_started(&self, id: RequestId, endpoint: Name) {
        let request_finished = !self.requests.borrow().contains(id);
        self.post(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            endpoint,
            outcome: Outcome::NotSent,
            latency: 0.0,
            actual_units: None,
            request_finished,
            load_report: None,
        }));
    }

    /// Records whether the request may have run, before its ID can be free.
    fn record_execution(&self, id: RequestId, id_reservation: &IdReservation, result: &AttemptResult) {
        let is_in_progress = self.requests.borrow().contains(id);
        if result.response.is_some() && is_in_progress {
            id_reservation.record_served();
        } else if result.may_have_run {
            id_reservation.record_may_have_run();
        }
    }

    fn attempt_ended(
        &self, id: RequestId, attempt: u32, endpoint: Name, latency: Millis, result: AttemptResult,
    ) {
        let AttemptResult { outcome, response, load_report, .. } = result;
        self.requests.borrow_mut().remove_attempt(id);
        if let Some(response) = response {
            self.finish(id, |_| FinalResponse::Served(response));
        }
        self.requests.borrow_mut().record_outcome(id, outcome);
        let request_finished = !self.requests.borrow().contains(id);
        self.post(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint,
            outcome,
            latency,
            actual_units: None,
            request_finished,
            load_report,
        }));
    }

    fn set_timer(&self, after: Millis, token: u64) {
        let due = Instant::now() + duration(after);
        let weak_self = self.weak_self.clone();
        spawn(async move {
            sleep_until(due).await;
            if let Some(engine) = weak_self.upgrade() {
                engine.post(Event::Timer { token });
            }
        });
    }

    fn check_health(&self, endpoint: Name) {
        let endpoints = self.endpoints.clone();
        let weak_self = self.weak_self.clone();
        let started_at = Instant::now();
        spawn(async move {
            let result = check_health(&endpoints, &endpoint).await;
            let Some(engine) = weak_self.upgrade() else { return };
            engine.post(Event::HealthCheckEnded {
                endpoint,
                outcome: result.outcome,
                latency: millis(started_at.elapsed()),
                load_report: result.load_report,
            });
        });
    }

    fn increment_counter(&self, key: u64, amount: f64, ttl: Millis) {
        match &self.counter {
            Some(counter) => counter.increment(key, amount, ttl),
            None => self.post(Event::CounterReply { key, result: CounterResult::NotAdded, latency: 0.0 }),
        }
    }

    /// Passes the result of a counter call on to the fleet clock or the policy, depending on its key.
    fn counter_replied(&self, key: u64, result: CounterResult, latency: Millis) {
        if FleetClockSync::uses_key(key) {
            let counts_lost = self.fleet_clock.record_reply(result);
            self.post(Event::FleetClock { time: self.fleet_clock.time() });
            if counts_lost {
                self.post(Event::CountsLost);
            }
            self.poll_fleet_clock();
        } else {
            self.post(Event::CounterReply { key, result, latency });
        }
    }

    fn poll_fleet_clock(&self) {
        if let Some(counter) = &self.counter {
            self.fleet_clock.poll(counter);
        }
    }
}

/// Starts the counter client and the synchronization with the fleet's clock for an engine under construction.
fn start_counter(address: SocketAddr, timeout: Duration, engine: &Weak<Engine>) -> CounterClient {
    spawn(synchronize_clock(engine.clone()));
    let engine = engine.clone();
    let report = move |CompletedCall { key, result, latency }| {
        if let Some(engine) = engine.upgrade() {
            engine.counter_replied(key, result, latency);
        }
    };
    CounterClient::start(address, timeout, Rc::new(report))
}

impl EndpointListSink for Engine {
    /// Updates the endpoint registry before the policy, so that no attempt uses an older list.
    fn apply(&self, list: EndpointList) {
        self.endpoints.apply(&list);
        let entries = list.endpoints.into_iter().map(|endpoint| endpoint.entry).collect();
        let event =
            if list.is_snapshot { Event::EndpointSnapshot(entries) } else { Event::EndpointDelta(entries) };
        self.post(event);
    }
}

/// Keeps an engine synchronized with the fleet's clock until the engine is dropped.
async fn synchronize_clock(engine: Weak<Engine>) {
    if let Some(engine) = engine.upgrade() {
        // Even where there are no other gateways, the usage counted before this process started is unknown.
        engine.post(Event::FleetClock { time: FleetTime::Pending });
        engine.post(Event::FleetClock { time: engine.fleet_clock.time() });
        if !engine.fleet_clock.is_shared() {
            return;
        }
    }
    while let Some(engine) = engine.upgrade() {
        engine.poll_fleet_clock();
        let delay = engine.fleet_clock.time_to_next_poll();
        drop(engine);
        sleep(delay).await;
    }
}
