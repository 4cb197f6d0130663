//! Long seeded streams of legal events in odd orders, and the rules that one gateway alone can be held to. There is
//! no model of servers or fleets here: outcomes and totals are drawn at random.

mod helper;
use helper::*;
use ryefront_policy::*;
use std::collections::BTreeMap;

/// What the test itself knows of a request.
struct Known {
    class: usize,
    deadline: Millis,
    attempts: u32,
    out: Option<(Name, Millis)>,
    /// The endpoint and time of the first attempt that may have run.
    may_have_run: Option<(Name, Millis)>,
    answered: bool,
}

#[derive(Default)]
struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, Known>,
    calls: Vec<u64>,
    timers: BTreeMap<(u64, u64), u64>,
    draining: BTreeMap<Name, bool>,
    answers: usize,
}

impl Checker {
    fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, endpoint, .. } => self.sent(now, id, endpoint),
                Action::Reject { id, .. } => {
                    let group = self.settings.classes[1].dedup_scope;
                    let known = self.answer(now, id);
                    let harmless = [true, group == DedupScope::All, false][known.class];
                    assert!(known.may_have_run.is_none() || harmless, "refused though it may have run");
                }
                Action::Fail { id } => {
                    self.answer(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    assert!(self.requests[&id].class != 2, "an unsafe attempt called off");
                }
                Action::SetTimer { after, token } => {
                    let order = self.timers.len() as u64;
                    self.timers.insert(((now + after).ceil() as u64, token << 8 | order & 0xff), token);
                }
                Action::IncrementCounter { key: name, .. } => {
                    assert!(!self.calls.contains(&name), "two calls out for one name");
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

    fn sent(&mut self, now: Millis, id: RequestId, endpoint: Name) {
        assert!(!self.draining.get(&endpoint).copied().unwrap_or(true), "sent to {endpoint} after its drain");
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.answered && known.out.is_none(), "a second attempt out, or after the answer");
        if let Some((home, at)) = &known.may_have_run {
            assert!(known.class != 2, "an unsafe request repeated");
            let keyed = &self.settings.classes[1];
            let in_group =
                keyed.dedup_scope == DedupScope::All || home.starts_with('a') == endpoint.starts_with('a');
            let in_time = now + self.settings.connect_timeout < at + keyed.dedup_window;
            assert!(known.class == 0 || in_group && in_time, "a keyed repeat outside group or time");
        }
        known.attempts += 1;
        // The first send that never ran is not held against a request; one is always allowed.
        assert!(known.attempts <= self.settings.max_attempts.max(1), "more attempts than allowed");
        known.out = Some((endpoint, now));
    }

    fn answer(&mut self, now: Millis, id: RequestId) -> &Known {
        let known = self.requests.get_mut(&id).expect("a known request");
        assert!(!known.answered, "two answers");
        assert!(now <= known.deadline + 16.0, "an answer after the client's patience");
        known.answered = true;
        self.answers += 1;
        known
    }

    fn overdue(&self, now: Millis) -> Option<RequestId> {
        let late = |k: &Known| !k.answered && k.out.is_none() && now > k.deadline + 16.0;
        self.requests.iter().find(|(_, k)| late(k)).map(|(id, _)| *id)
    }
}

fn arrival(random: &mut Random, id: RequestId, patience: Millis, class: usize) -> Event {
    let plan = ["plain", "ceiling", "capped"][random.below(3) as usize];
    let tenant = if random.below(5) == 0 { 1000 + id } else { random.below(12) };
    Event::RequestArrived(Arrival {
        id,
        tenant: format!("{plan}-{tenant}").as_str().into(),
        plan: plan.into(),
        class: ["safe", "keyed", "unsafe"][class].into(),
        units: [0.0, 0.5, 1.0, 3.0][random.below(4) as usize],
        client_retry: random.below(4) == 0,
        time_to_deadline: patience,
        first_gateway: random.below(2) as u32,
        gateways_per_tenant: [0, 1, 2, 30, 300, 4000][random.below(6) as usize],
    })
}

fn play(seed: u64, settings: Settings, events: u64) -> usize {
    let mut random = Random(seed);
    let mut checker = Checker { settings: settings.clone(), ..Checker::default() };
    let names = ["a1", "a2", "a3", "b1", "b2", "b3"];
    let mut door = Door::new(settings, &names);
    checker.draining.extend(names.iter().map(|n| (Name::from(*n), false)));
    let first = std::mem::take(&mut door.did);
    checker.check(door.now, first);
    for id in 1..=events {
        door.now += random.below(12) as f64;
        while let Some(((at, order), token)) = checker.timers.first_key_value().map(|(k, t)| (*k, *t)) {
            if at as f64 > door.now {
                break;
            }
            checker.timers.remove(&(at, order));
            let did = door.tell(Event::Timer { token });
            checker.check(door.now, did);
        }
        for (id, event) in outcomes(&mut random, &mut checker, door.now) {
            let finished = matches!(&event, Event::AttemptEnded(end) if end.request_finished);
            if finished && !checker.requests[&id].answered {
                checker.answer(door.now, id);
            }
            let did = door.tell(event);
            checker.check(door.now, did);
        }
        let event = match random.below(40) {
            0..20 => {
                let (class, patience) = (random.below(3) as usize, 300.0 + random.below(2500) as f64);
                let known = Known {
                    class,
                    deadline: door.now + patience,
                    attempts: 0,
                    out: None,
                    may_have_run: None,
                    answered: false,
                };
                checker.requests.insert(id, known);
                arrival(&mut random, id, patience, class)
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
        let did = door.tell(event);
        checker.check(door.now, did);
        assert_eq!(checker.overdue(door.now), None, "a request without its answer");
    }
    checker.answers
}

/// Ends some of the attempts that are out: at random, and all whose client's time is up.
fn outcomes(random: &mut Random, checker: &mut Checker, now: Millis) -> Vec<(RequestId, Event)> {
    let mut events = Vec::new();
    for (id, known) in &mut checker.requests {
        let Some((endpoint, sent_at)) = known.out.clone() else { continue };
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
        known.out = None;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed);
        if !never_ran && known.may_have_run.is_none() {
            known.may_have_run = Some((endpoint.clone(), sent_at));
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
fn rules_hold_through_long_streams_of_odd_events() {
    for seed in 1..=6 {
        let answers = play(seed, settings(), 6000);
        assert!(answers > 1000, "the stream must reach the answers it checks: {answers}");
    }
}

#[test]
fn rules_hold_where_settings_are_short_absent_or_zero() {
    type Odd = (&'static str, fn(&mut Settings));
    let odd: [Odd; 15] = [
        ("window and connections", |s| (s.classes[1].dedup_window, s.connect_timeout) = (600.0, 250.0)),
        ("window shorter than a connection", |s| {
            (s.classes[1].dedup_window, s.connect_timeout) = (200.0, 250.0)
        }),
        ("window shorter than a tick", |s| s.classes[1].dedup_window = 3.0),
        ("window of a tick and a bit", |s| s.classes[1].dedup_window = 9.0),
        ("no window", |s| s.classes[1].dedup_window = 0.0),
        ("no window, and all know the key", |s| {
            (s.classes[1].dedup_window, s.classes[1].dedup_scope) = (0.0, DedupScope::All)
        }),
        ("no tick", |s| s.tick = 0.0),
        ("no further attempts", |s| s.max_attempts = 0),
        ("no advice", |s| s.max_retry_after = 0.0),
        ("no time for the counter", |s| s.counter_timeout = 0.0),
        ("no aim", |s| s.classes.iter_mut().for_each(|c| c.latency_objective = 0.0)),
        ("no quota", |s| s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.0, 0.0))),
        ("a burst under one request", |s| s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.3, 0.6))),
        ("a quota that turns over fast", |s| s.plans.iter_mut().for_each(|p| p.burst = 0.6)),
        ("many gateways", |s| s.gateway_count = 3100),
    ];
    for (what, change) in odd {
        let mut settings = settings();
        change(&mut settings);
        let answers = play(7, settings, 1500);
        assert!(answers > 250, "{what}: the stream must reach the answers it checks: {answers}");
    }
}

#[test]
fn rules_hold_with_settings_drawn_at_random() {
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
