//! Long seeded streams of legal events in unusual orders, and the invariants that a single gateway has to
//! keep. There is no model of endpoints or fleets here: outcomes and totals are random.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// What the test itself knows of a request.
struct TrackedRequest {
    class: usize,
    deadline: Millis,
    attempts: u32,
    in_flight: Option<(Name, Millis)>,
    /// The endpoint and time of the first attempt that may have run.
    first_ambiguous_attempt: Option<(Name, Millis)>,
    answered: bool,
}

#[derive(Default)]
struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, TrackedRequest>,
    calls: Vec<u64>,
    timers: BTreeMap<(u64, u64), u64>,
    draining: BTreeMap<Name, bool>,
    answers: usize,
}

impl Checker {
    fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, endpoint, .. } => self.forwarded(now, id, endpoint),
                Action::Reject { id, .. } => {
                    let dedup_scope = self.settings.classes[1].dedup_scope;
                    let known = self.answer(now, id);
                    let harmless = [true, dedup_scope == DedupScope::All, false][known.class];
                    assert!(
                        known.first_ambiguous_attempt.is_none() || harmless,
                        "rejected though it may have run"
                    );
                }
                Action::Fail { id } => {
                    self.answer(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    assert!(self.requests[&id].class != 2, "a non-idempotent attempt was cancelled");
                }
                Action::SetTimer { after, token } => {
                    let order = self.timers.len() as u64;
                    self.timers.insert(((now + after).ceil() as u64, token << 8 | order & 0xff), token);
                }
                Action::IncrementCounter { key: name, .. } => {
                    assert!(!self.calls.contains(&name), "two calls in flight for one key");
                    self.calls.push(name);
                    assert!(self.calls.len() <= 64, "calls are bounded");
                }
                Action::HealthCheck { .. }
                | Action::Gossip { .. }
                | Action::WatchEndpoints
                | Action::Log(_) => {}
            }
        }
    }

    fn forwarded(&mut self, now: Millis, id: RequestId, endpoint: Name) {
        assert!(
            !self.draining.get(&endpoint).copied().unwrap_or(true),
            "forwarded to {endpoint} while it drains"
        );
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !known.answered && known.in_flight.is_none(),
            "a second attempt in flight, or one after the answer"
        );
        if let Some((home, at)) = &known.first_ambiguous_attempt {
            assert!(known.class != 2, "a non-idempotent request was retried");
            let keyed = &self.settings.classes[1];
            let in_scope =
                keyed.dedup_scope == DedupScope::All || home.starts_with('a') == endpoint.starts_with('a');
            let in_window = now + self.settings.connect_timeout < at + keyed.dedup_window;
            assert!(
                known.class == 0 || in_scope && in_window,
                "a keyed retry outside its dedup scope or window"
            );
        }
        known.attempts += 1;
        // One attempt is always allowed.
        assert!(known.attempts <= self.settings.max_attempts.max(1), "more attempts than allowed");
        known.in_flight = Some((endpoint, now));
    }

    fn answer(&mut self, now: Millis, id: RequestId) -> &TrackedRequest {
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.answered, "two answers");
        assert!(now <= known.deadline + 16.0, "an answer after the deadline");
        known.answered = true;
        self.answers += 1;
        known
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        let late = |k: &TrackedRequest| !k.answered && k.in_flight.is_none() && now > k.deadline + 16.0;
        self.requests.iter().find(|(_, k)| late(k)).map(|(id, _)| *id)
    }
}

fn arrival(random: &mut Random, id: RequestId, time_to_deadline: Millis, class: usize) -> Event {
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

fn play(seed: u64, settings: Settings, events: u64) -> usize {
    let mut random = Random(seed);
    let mut checker = Checker { settings: settings.clone(), ..Checker::default() };
    let names = ["a1", "a2", "a3", "b1", "b2", "b3"];
    let mut gateway = TestGateway::new(settings, &names);
    checker.draining.extend(names.iter().map(|n| (Name::from(*n), false)));
    let first = std::mem::take(&mut gateway.actions);
    checker.check(gateway.now, first);
    for id in 1..=events {
        gateway.now += random.below(12) as f64;
        while let Some(((at, order), token)) = checker.timers.first_key_value().map(|(k, t)| (*k, *t)) {
            if at as f64 > gateway.now {
                break;
            }
            checker.timers.remove(&(at, order));
            let actions = gateway.handle(Event::Timer { token });
            checker.check(gateway.now, actions);
        }
        for (id, event) in outcomes(&mut random, &mut checker, gateway.now) {
            let finished = matches!(&event, Event::AttemptEnded(end) if end.request_finished);
            if finished && !checker.requests[&id].answered {
                checker.answer(gateway.now, id);
            }
            let actions = gateway.handle(event);
            checker.check(gateway.now, actions);
        }
        let event = match random.below(40) {
            0..20 => {
                let (class, time_to_deadline) = (random.below(3) as usize, 300.0 + random.below(2500) as f64);
                let known = TrackedRequest {
                    class,
                    deadline: gateway.now + time_to_deadline,
                    attempts: 0,
                    in_flight: None,
                    first_ambiguous_attempt: None,
                    answered: false,
                };
                checker.requests.insert(id, known);
                arrival(&mut random, id, time_to_deadline, class)
            }
            20..34 if !checker.calls.is_empty() => {
                let at = random.below(checker.calls.len() as u64) as usize;
                let name = checker.calls.remove(at);
                let outcome = match random.below(6) {
                    0 => CounterResult::Unknown,
                    1 => CounterResult::NotAdded,
                    _ => CounterResult::Total(random.below(25) as f64),
                };
                Event::CounterReply { key: name, result: outcome, latency: 5.0 }
            }
            34 | 35 => {
                let name: Name = names[random.below(6) as usize].into();
                let drains = random.below(2) == 0;
                checker.draining.insert(name.clone(), drains);
                let state = if drains { EndpointState::Draining } else { EndpointState::Ready };
                Event::EndpointDelta(vec![endpoint(&name, state, None)])
            }
            36 => {
                let Some(id) = checker.requests.iter().find(|(_, k)| !k.answered).map(|(id, _)| *id) else {
                    continue;
                };
                checker.requests.get_mut(&id).expect("known").answered = true;
                Event::ClientDisconnected { id }
            }
            _ => Event::ClientDisconnected { id: 900_000_000 },
        };
        let actions = gateway.handle(event);
        checker.check(gateway.now, actions);
        assert_eq!(checker.overdue(gateway.now), None, "a request has no answer");
    }
    checker.answers
}

/// Ends some of the attempts in flight: at random, and all whose deadline has passed.
fn outcomes(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<(RequestId, Event)> {
    let mut events = Vec::new();
    for (id, known) in &mut checker.requests {
        let Some((endpoint, sent_at)) = known.in_flight.clone() else { continue };
        let overdue = now >= known.deadline;
        if !overdue && random.below(12) != 0 {
            continue;
        }
        let outcome = if overdue {
            Outcome::TimedOut
        } else {
            let all = [
                Outcome::Served,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::ConnectFailed,
                Outcome::ConnectionReset,
            ];
            all[random.below(5) as usize]
        };
        known.in_flight = None;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if !never_ran && known.first_ambiguous_attempt.is_none() {
            known.first_ambiguous_attempt = Some((endpoint.clone(), sent_at));
        }
        let finished = outcome == Outcome::Served || known.answered;
        let (attempt, latency) = (known.attempts - 1, now - sent_at);
        let end = AttemptEnd {
            id: *id,
            attempt,
            endpoint,
            outcome,
            latency,
            actual_units: None,
            request_finished: finished,
            load_report: None,
        };
        events.push((*id, Event::AttemptEnded(end)));
    }
    events
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
        let mut set = settings();
        set.gateway_count = draw(&[1.0, 2.0, 30.0, 300.0, 3100.0]) as u32;
        (set.tick, set.has_counter) = (draw(&[0.0, 4.0, 50.0]), draw(&[1.0, 1.0, 0.0]) > 0.0);
        (set.counter_timeout, set.connect_timeout) = (draw(&[0.0, 50.0, 500.0]), draw(&[0.0, 250.0]));
        (set.max_attempts, set.slow_start_duration) =
            (draw(&[0.0, 1.0, 4.0, 9.0]) as u32, draw(&[0.0, 18_000.0]));
        (set.settles_usage, set.gossip) = (draw(&[0.0, 1.0]) > 0.0, draw(&[0.0, 1.0]) > 0.0);
        for class in &mut set.classes {
            (class.latency_objective, class.dedup_window) =
                (draw(&[0.0, 50.0, 800.0, 5000.0]), draw(&[0.0, 3.0, 260.0, 600.0, 4000.0]));
            class.priority_weight = draw(&[0.0, 1.0, 8.0]);
        }
        set.classes[1].dedup_scope = if draw(&[0.0, 1.0]) > 0.0 { DedupScope::All } else { DedupScope::Cell };
        for plan in &mut set.plans {
            (plan.rate, plan.burst) = (draw(&[0.0, 0.5, 5.0, 50.0]), draw(&[5.0, 10.0, 100.0]));
        }
        let answers = play(seed, set, 2500);
        assert!(answers > 400, "seed {seed}: the stream must reach the answers it checks: {answers}");
    }
}
