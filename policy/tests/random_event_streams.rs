//! Long seeded streams of legal events in unusual orders, and the invariants that a single gateway has to
//! keep. There is no model of endpoints or fleets here: outcomes and totals are random.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// The classes of the settings, in their order.
const IDEMPOTENT: usize = 0;
const KEYED: usize = 1;
const NON_IDEMPOTENT: usize = 2;

/// The endpoints of every stream; those whose name begins with the same letter share a cell.
const ENDPOINTS: [&str; 6] = ["a1", "a2", "a3", "b1", "b2", "b3"];
/// An answer may come this long after the deadline, as the clock advances by up to 11 ms at once.
const ANSWER_TOLERANCE: Millis = 16.0;
/// The most counter calls in flight at once.
const MAX_CALLS_IN_FLIGHT: usize = 64;
/// The number of a request that never arrived.
const UNKNOWN_REQUEST: RequestId = 900_000_000;

/// An attempt that the engine forwarded.
#[derive(Clone)]
struct ForwardedAttempt {
    endpoint: Name,
    sent_at: Millis,
}

/// What the test itself knows of a request.
struct TrackedRequest {
    class: usize,
    deadline: Millis,
    attempts: u32,
    in_flight: Option<ForwardedAttempt>,
    /// The first attempt that may have run.
    first_ambiguous_attempt: Option<ForwardedAttempt>,
    answered: bool,
}

impl TrackedRequest {
    fn new(class: usize, deadline: Millis) -> Self {
        Self { class, deadline, attempts: 0, in_flight: None, first_ambiguous_attempt: None, answered: false }
    }

    fn is_overdue(&self, now: Millis) -> bool {
        !self.answered && self.in_flight.is_none() && now > self.deadline + ANSWER_TOLERANCE
    }
}

/// When a timer expires, in whole milliseconds; timers of the same time are told apart by token and order.
type TimerKey = (u64, u64);

/// Checks the invariants of all actions, and tracks what they start.
#[derive(Default)]
struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// The keys of the counter calls in flight.
    calls: Vec<u64>,
    /// The tokens of the timers that are set.
    timers: BTreeMap<TimerKey, u64>,
    draining: BTreeMap<Name, bool>,
    answers: usize,
}

impl Checker {
    fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, endpoint, .. } => self.on_forwarded(now, id, endpoint),
                Action::Reject { id, .. } => self.on_rejected(now, id),
                Action::Fail { id } => {
                    self.on_answered(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    let class = self.requests[&id].class;
                    assert!(class != NON_IDEMPOTENT, "a non-idempotent attempt was cancelled");
                }
                Action::SetTimer { after, token } => self.set_timer(now + after, token),
                Action::IncrementCounter { key, .. } => self.on_counter_call(key),
                Action::HealthCheck { .. }
                | Action::Gossip { .. }
                | Action::WatchEndpoints
                | Action::Log(_) => {}
            }
        }
    }

    fn on_forwarded(&mut self, now: Millis, id: RequestId, endpoint: Name) {
        let drains = self.draining.get(&endpoint).copied().unwrap_or(true);
        assert!(!drains, "forwarded to {endpoint} while it drains");
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !request.answered && request.in_flight.is_none(),
            "a second attempt in flight, or one after the answer"
        );
        if let Some(first) = &request.first_ambiguous_attempt {
            assert_may_be_repeated(&self.settings, request.class, first, &endpoint, now);
        }
        request.attempts += 1;
        // One attempt is always allowed.
        let max_attempts = self.settings.max_attempts.max(1);
        assert!(request.attempts <= max_attempts, "more attempts than allowed");
        request.in_flight = Some(ForwardedAttempt { endpoint, sent_at: now });
    }

    fn on_rejected(&mut self, now: Millis, id: RequestId) {
        let keyed_is_harmless = self.settings.classes[KEYED].dedup_scope == DedupScope::All;
        let request = self.on_answered(now, id);
        let harmless = match request.class {
            IDEMPOTENT => true,
            KEYED => keyed_is_harmless,
            _ => false,
        };
        assert!(request.first_ambiguous_attempt.is_none() || harmless, "rejected though it may have run");
    }

    fn on_answered(&mut self, now: Millis, id: RequestId) -> &TrackedRequest {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.answered, "two answers");
        assert!(now <= request.deadline + ANSWER_TOLERANCE, "an answer after the deadline");
        request.answered = true;
        self.answers += 1;
        request
    }

    fn on_counter_call(&mut self, key: u64) {
        assert!(!self.calls.contains(&key), "two calls in flight for one key");
        self.calls.push(key);
        assert!(self.calls.len() <= MAX_CALLS_IN_FLIGHT, "calls are bounded");
    }

    fn set_timer(&mut self, expires_at: Millis, token: u64) {
        let order = self.timers.len() as u64;
        self.timers.insert((expires_at.ceil() as u64, token << 8 | order & 0xff), token);
    }

    /// Removes the first timer that has expired, and returns its token.
    fn take_expired_timer(&mut self, now: Millis) -> Option<u64> {
        let first = self.timers.first_entry()?;
        let expires_at = first.key().0 as f64;
        (expires_at <= now).then(|| first.remove())
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        self.requests.iter().find(|(_, request)| request.is_overdue(now)).map(|(id, _)| *id)
    }
}

/// Asserts that a request whose first attempt may have run may be forwarded to an endpoint.
fn assert_may_be_repeated(
    settings: &Settings, class: usize, first: &ForwardedAttempt, endpoint: &Name, now: Millis,
) {
    assert!(class != NON_IDEMPOTENT, "a non-idempotent request was retried");
    let keyed = &settings.classes[KEYED];
    let same_cell = first.endpoint.starts_with('a') == endpoint.starts_with('a');
    let in_scope = keyed.dedup_scope == DedupScope::All || same_cell;
    let in_window = now + settings.connect_timeout < first.sent_at + keyed.dedup_window;
    assert!(class == IDEMPOTENT || in_scope && in_window, "a keyed retry outside its dedup scope or window");
}

/// One gateway, the random events that it gets, and the checker of its actions.
struct EventStream {
    random: Random,
    checker: Checker,
    gateway: TestGateway,
}

impl EventStream {
    fn new(seed: u64, settings: Settings) -> Self {
        let mut checker = Checker { settings: settings.clone(), ..Checker::default() };
        checker.draining.extend(ENDPOINTS.map(|name| (Name::from(name), false)));
        let mut gateway = TestGateway::new(settings, &ENDPOINTS);
        let first = std::mem::take(&mut gateway.actions);
        checker.check(gateway.now, first);
        Self { random: Random(seed), checker, gateway }
    }

    /// Passes an event to the gateway, and checks its actions.
    fn handle(&mut self, event: Event) {
        let actions = self.gateway.handle(event);
        self.checker.check(self.gateway.now, actions);
    }

    fn expire_timers(&mut self) {
        while let Some(token) = self.checker.take_expired_timer(self.gateway.now) {
            self.handle(Event::Timer { token });
        }
    }

    /// Ends some of the attempts in flight.
    fn end_attempts(&mut self) {
        for end in attempt_ends(&mut self.random, &mut self.checker, self.gateway.now) {
            if end.request_finished && !self.checker.requests[&end.id].answered {
                self.checker.on_answered(self.gateway.now, end.id);
            }
            self.handle(Event::AttemptEnded(end));
        }
    }

    /// Draws the next event, in which a request would have this number. Returns `None` where the event drawn
    /// needs a request without an answer and there is none.
    fn draw_event(&mut self, id: RequestId) -> Option<Event> {
        match self.random.below(40) {
            0..20 => Some(self.draw_arrival(id)),
            20..34 if !self.checker.calls.is_empty() => Some(self.draw_counter_reply()),
            34 | 35 => Some(self.draw_endpoint_change()),
            36 => self.disconnect_first_client(),
            _ => Some(Event::ClientDisconnected { id: UNKNOWN_REQUEST }),
        }
    }

    fn draw_arrival(&mut self, id: RequestId) -> Event {
        let class = self.random.below(3) as usize;
        let time_to_deadline = 300.0 + self.random.below(2500) as f64;
        let request = TrackedRequest::new(class, self.gateway.now + time_to_deadline);
        self.checker.requests.insert(id, request);
        random_arrival(&mut self.random, id, time_to_deadline, class)
    }

    fn draw_counter_reply(&mut self) -> Event {
        let index = self.random.below(self.checker.calls.len() as u64) as usize;
        let key = self.checker.calls.remove(index);
        let result = match self.random.below(6) {
            0 => CounterResult::Unknown,
            1 => CounterResult::NotAdded,
            _ => CounterResult::Total(self.random.below(25) as f64),
        };
        Event::CounterReply { key, result, latency: 5.0 }
    }

    fn draw_endpoint_change(&mut self) -> Event {
        let name: Name = ENDPOINTS[self.random.below(6) as usize].into();
        let drains = self.random.below(2) == 0;
        self.checker.draining.insert(name.clone(), drains);
        let state = if drains { EndpointState::Draining } else { EndpointState::Ready };
        Event::EndpointDelta(vec![endpoint(&name, state, None)])
    }

    /// Disconnects the client of the first request without an answer.
    fn disconnect_first_client(&mut self) -> Option<Event> {
        let (id, request) = self.checker.requests.iter_mut().find(|(_, request)| !request.answered)?;
        request.answered = true;
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

/// Plays a stream of so many events, and returns how many requests were answered.
fn play(seed: u64, settings: Settings, events: u64) -> usize {
    let mut stream = EventStream::new(seed, settings);
    for id in 1..=events {
        stream.gateway.now += stream.random.below(12) as f64;
        stream.expire_timers();
        stream.end_attempts();
        let Some(event) = stream.draw_event(id) else { continue };
        stream.handle(event);
        assert_eq!(stream.checker.overdue(stream.gateway.now), None, "a request has no answer");
    }
    stream.checker.answers
}

/// Ends some of the attempts in flight: at random, and all whose deadline has passed.
fn attempt_ends(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<AttemptEnd> {
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
            request_finished: outcome == Outcome::Served || request.answered,
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

#[test]
fn invariants_hold_through_long_random_event_streams() {
    for seed in 1..=6 {
        let answers = play(seed, settings(), 6000);
        assert!(answers > 1000, "the stream must reach the answers it checks: {answers}");
    }
}

#[test]
fn invariants_hold_where_settings_are_short_absent_or_zero() {
    type SettingsChange = (&'static str, fn(&mut Settings));
    let changes: [SettingsChange; 15] = [
        ("a dedup window and a connect timeout", |s| {
            (s.classes[1].dedup_window, s.connect_timeout) = (600.0, 250.0)
        }),
        ("a window shorter than the connect timeout", |s| {
            (s.classes[1].dedup_window, s.connect_timeout) = (200.0, 250.0)
        }),
        ("a window shorter than a tick", |s| s.classes[1].dedup_window = 3.0),
        ("a window of little more than a tick", |s| s.classes[1].dedup_window = 9.0),
        ("no window", |s| s.classes[1].dedup_window = 0.0),
        ("no window, and a dedup scope of all endpoints", |s| {
            (s.classes[1].dedup_window, s.classes[1].dedup_scope) = (0.0, DedupScope::All)
        }),
        ("no tick", |s| s.tick = 0.0),
        ("no retries", |s| s.max_attempts = 0),
        ("no Retry-After", |s| s.max_retry_after = 0.0),
        ("no counter timeout", |s| s.counter_timeout = 0.0),
        ("no latency objective", |s| s.classes.iter_mut().for_each(|c| c.latency_objective = 0.0)),
        ("no quota", |s| s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.0, 0.0))),
        ("a burst under one request", |s| s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.3, 0.6))),
        ("a quota that refills quickly", |s| s.plans.iter_mut().for_each(|p| p.burst = 0.6)),
        ("many gateways", |s| s.gateway_count = 3100),
    ];
    for (what, change) in changes {
        let mut settings = settings();
        change(&mut settings);
        let answers = play(7, settings, 1500);
        assert!(answers > 250, "{what}: the stream must reach the answers it checks: {answers}");
    }
}

#[test]
fn invariants_hold_with_random_settings() {
    for seed in [18, 68, 77, 84, 98, 101, 102, 103] {
        let mut random = Random(seed * 7919 + 13);
        let mut draw = |list: &[f64]| list[random.below(list.len() as u64) as usize];
        let mut settings = settings();
        settings.gateway_count = draw(&[1.0, 2.0, 30.0, 300.0, 3100.0]) as u32;
        settings.tick = draw(&[0.0, 4.0, 50.0]);
        settings.has_counter = draw(&[1.0, 1.0, 0.0]) > 0.0;
        settings.counter_timeout = draw(&[0.0, 50.0, 500.0]);
        settings.connect_timeout = draw(&[0.0, 250.0]);
        settings.max_attempts = draw(&[0.0, 1.0, 4.0, 9.0]) as u32;
        settings.slow_start_duration = draw(&[0.0, 18_000.0]);
        settings.settles_usage = draw(&[0.0, 1.0]) > 0.0;
        settings.gossip = draw(&[0.0, 1.0]) > 0.0;
        for class in &mut settings.classes {
            class.latency_objective = draw(&[0.0, 50.0, 800.0, 5000.0]);
            class.dedup_window = draw(&[0.0, 3.0, 260.0, 600.0, 4000.0]);
            class.priority_weight = draw(&[0.0, 1.0, 8.0]);
        }
        settings.classes[1].dedup_scope =
            if draw(&[0.0, 1.0]) > 0.0 { DedupScope::All } else { DedupScope::Cell };
        for plan in &mut settings.plans {
            plan.rate = draw(&[0.0, 0.5, 5.0, 50.0]);
            plan.burst = draw(&[5.0, 10.0, 100.0]);
        }
        let answers = play(seed, settings, 2500);
        assert!(answers > 400, "seed {seed}: the stream must reach the answers it checks: {answers}");
    }
}
