//! The endpoint table: draining, removal, slow start, ejection, and limits on attempts in flight.

mod common;
use common::*;
use ryefront_policy::*;

#[test]
fn draining_or_removed_endpoint_gets_no_new_request() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
        gateway.handle(Event::EndpointDelta(vec![endpoint("a1", state, None)]));

        for id in 1..=4 {
            assert_eq!(&*gateway.forward_request(id, "c", "plain", "idempotent"), "a2");
            gateway.end_attempt(id, 0, &"a2".into(), Outcome::Served);
        }
    }
}

#[test]
fn endpoint_missing_from_a_snapshot_is_removed() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    gateway.handle(Event::EndpointSnapshot(vec![endpoint("a2", EndpointState::Ready, None)]));

    assert_eq!(&*gateway.forward_request(1, "c", "plain", "idempotent"), "a2");
}

#[test]
fn endpoint_in_slow_start_gets_less_than_an_even_share_of_requests() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let started_at = Some(gateway.now);

    gateway.handle(Event::EndpointDelta(vec![endpoint("a3", EndpointState::Ready, started_at)]));
    let mut to_slow_start = 0;
    for id in 1..=100 {
        let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "idempotent");
        to_slow_start += usize::from(&*chosen == "a3");
        gateway.now += 5.0;
        gateway.end_attempt(id, 0, &chosen, Outcome::Served);
    }

    // The two other endpoints share the rest: 10 requests are about a fifth of what each gets.
    assert!((1..=10).contains(&to_slow_start), "{to_slow_start} of 100");
}

#[test]
fn consecutive_failures_eject_an_endpoint_until_it_responds() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);
    let mut id = 0;
    let mut logs = Vec::new();
    let mut timeouts = 0;

    while timeouts < 2 {
        id += 1;
        let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "non_idempotent");
        let outcome = if &*chosen == "a1" { Outcome::TimedOut } else { Outcome::Served };
        timeouts += usize::from(&*chosen == "a1");
        logs = gateway.end_attempt(id, 0, &chosen, outcome);
        if outcome == Outcome::TimedOut && timeouts == 1 {
            let next = gateway.forward_request(1000, "other", "plain", "non_idempotent");
            assert_eq!(&*next, "a2", "one timeout ejects the endpoint for as long as the attempt took");
            gateway.end_attempt(1000, 0, &next, Outcome::Served);
        }
        gateway.now += 150.0;
        assert!(id < 50);
    }

    assert!(logs.iter().any(|action| matches!(action, Action::Log(line) if line.contains("a1 ejected"))));

    for id in 101..=105 {
        assert_eq!(&*gateway.forward_request(id, &format!("c{id}"), "plain", "idempotent"), "a2");
        gateway.end_attempt(id, 0, &"a2".into(), Outcome::Served);
    }
    gateway.now += 1000.0;
    let retried = (201..=210).any(|id| {
        let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "idempotent");
        gateway.end_attempt(id, 0, &chosen, Outcome::Served);
        &*chosen == "a1"
    });

    assert!(retried, "the endpoint gets requests again after its ejection");
}

// Guards against a client that has all endpoints ejected for everybody, with deadlines that no endpoint can meet.
#[test]
fn timeouts_of_deadlines_that_are_too_short_eject_no_endpoint() {
    const USUAL_LATENCY: Millis = 100.0;
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let a1: Name = "a1".into();
    let mut end_attempt = |id, class, latency, outcome| {
        gateway.forward_request(id, &format!("c{id}"), "plain", class);
        gateway.end_attempt_after(latency, id, 0, &a1, outcome)
    };
    end_attempt(1, "idempotent", USUAL_LATENCY, Outcome::Served);

    // At first there are responses of the other class only.
    let mut logs = Vec::new();
    logs.extend(end_attempt(2, "non_idempotent", 1.0, Outcome::TimedOut));
    logs.extend(end_attempt(3, "non_idempotent", 1.0, Outcome::TimedOut));
    end_attempt(4, "non_idempotent", USUAL_LATENCY, Outcome::Served);
    logs.extend(end_attempt(5, "non_idempotent", 1.0, Outcome::TimedOut));
    logs.extend(end_attempt(6, "non_idempotent", 1.0, Outcome::TimedOut));

    assert!(!logs.iter().any(|action| matches!(action, Action::Log(_))), "{logs:?}");
    end_attempt(7, "non_idempotent", USUAL_LATENCY, Outcome::TimedOut);
    let actions = gateway.request(8, "c7", "plain", "non_idempotent");
    assert_eq!(forward_count(&actions), 0, "a timeout after the usual latency ejects the endpoint");
}

// Guards against an endpoint that is ejected as soon as it has started again, for an attempt at the process before.
#[test]
fn failure_at_the_previous_process_does_not_eject_the_new_one() {
    const ATTEMPT_LATENCY: Millis = 60_000.0;
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let a1 = gateway.forward_request(1, "c", "plain", "non_idempotent");

    gateway.now += 1.0;
    gateway.handle(Event::EndpointDelta(vec![endpoint("a1", EndpointState::Ready, Some(gateway.now))]));
    // Until the end of its slow start.
    gateway.now += ATTEMPT_LATENCY;
    gateway.end_attempt_after(ATTEMPT_LATENCY, 1, 0, &a1, Outcome::TimedOut);

    assert_eq!(gateway.forward_request(2, "c2", "plain", "idempotent"), a1);
}

#[test]
fn endpoint_is_ejected_after_three_consecutive_connection_resets() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let a1: Name = "a1".into();

    for (round, outcomes) in [
        (0, [Outcome::ConnectionReset, Outcome::ConnectionReset, Outcome::Served]),
        (1, [Outcome::ConnectionReset; 3]),
    ] {
        for (index, outcome) in outcomes.into_iter().enumerate() {
            let id = round * 10 + index as u64 + 1;
            gateway.forward_request(id, &format!("c{id}"), "plain", "non_idempotent");
            gateway.end_attempt_after(1.0, id, 0, &a1, outcome);
        }
    }
    let actions = gateway.request(50, "c50", "plain", "non_idempotent");
    let CounterCall { key, amount } = counter_call(&actions).expect("a counter call");

    assert_eq!(
        forward_count(&gateway.reply_total(key, amount)),
        0,
        "the third consecutive connection reset ejects the endpoint"
    );
}

#[test]
fn attempts_in_flight_are_bounded_and_excess_requests_rejected_early() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);
    let mut forwarded_count = 0;
    let mut rejected = 0;

    for id in 1..=40 {
        let mut actions = gateway.request(id, &format!("c{id}"), "plain", "idempotent");
        let CounterCall { key, amount } = counter_call(&actions).expect("a counter call");
        actions.extend(gateway.reply_total(key, amount));
        forwarded_count += forward_count(&actions);
        rejected += usize::from(is_rejected(&actions, id));
    }

    assert!(
        (1..=3).contains(&forwarded_count),
        "forwarded {forwarded_count} of 40, with a limit of 3.5 shared by two gateways"
    );
    assert!(rejected > 30, "rejected {rejected} of 40");
}

#[test]
fn in_flight_limit_is_shared_by_the_tenant_s_gateways() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    let chosen = gateway.forward_request(1, "c", "capped", "idempotent");

    assert_eq!(
        forward_count(&gateway.request(2, "c", "capped", "idempotent")),
        0,
        "a limit of two in flight, shared by two gateways, leaves one for each"
    );
    assert_eq!(forwarded(&gateway.end_attempt(1, 0, &chosen, Outcome::Served)).map(|(id, _)| id), Some(2));
}

#[test]
fn removed_endpoints_are_freed_once_nothing_is_in_flight() {
    let mut gateway = TestGateway::new(settings(), &["a0"]);

    let chosen = gateway.forward_request(1, "c", "plain", "idempotent");
    for number in 1..=500 {
        let old = format!("a{}", number - 1);
        let new = format!("a{number}");
        let changes =
            vec![endpoint(&old, EndpointState::Removed, None), endpoint(&new, EndpointState::Ready, None)];
        // Deltas and snapshots in turn.
        let snapshot = vec![endpoint(&new, EndpointState::Ready, None)];
        gateway.handle(if number % 2 == 0 {
            Event::EndpointDelta(changes)
        } else {
            Event::EndpointSnapshot(snapshot)
        });
        gateway.now += 25.0;
        gateway.handle(Event::Timer { token: 1 });
    }

    assert_eq!(
        gateway.engine.endpoint_count(),
        2,
        "the listed endpoint, and the first one, which still has an attempt in flight"
    );

    gateway.end_attempt(1, 0, &chosen, Outcome::Served);
    gateway.handle(Event::Timer { token: 1 });

    assert_eq!(gateway.engine.endpoint_count(), 1);
}

#[test]
fn keyed_retry_stays_in_its_cell_when_its_first_endpoint_is_removed() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    let chosen = gateway.forward_request(1, "c", "plain", "keyed");
    gateway.handle(Event::EndpointSnapshot(vec![endpoint("b1", EndpointState::Ready, None)]));

    assert_eq!(forward_count(&gateway.end_attempt(1, 0, &chosen, Outcome::ConnectionReset)), 0);

    gateway.now += 25.0;

    assert_eq!(
        forward_count(&gateway.handle(Event::Timer { token: 1 })),
        0,
        "endpoints of another cell do not recognize the idempotency key"
    );
    assert_eq!(gateway.engine.endpoint_count(), 1);

    let actions = gateway.handle(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));

    assert_eq!(forwarded(&actions), Some((1, "a2".into())));
}
