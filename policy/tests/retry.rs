//! Retries: each request has exactly one final response by its deadline, is retried only as its class allows,
//! and never has two attempts in flight.

mod common;
use common::*;
use ryefront_policy::*;

#[test]
fn attempt_that_never_ran_is_retried_on_another_endpoint_for_every_class() {
    for class in ["idempotent", "keyed", "non_idempotent"] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
            let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

            let first_endpoint = gateway.forward_request(1, "c", "plain", class);
            let actions = gateway.end_attempt(1, 0, &first_endpoint, outcome);

            assert!(
                forwarded(&actions).is_some_and(|(_, second_endpoint)| second_endpoint != first_endpoint),
                "{class} {outcome:?}"
            );
        }
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Cancelled] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

        let first_endpoint = gateway.forward_request(1, "c", "plain", "non_idempotent");
        let actions = gateway.advance(900.0, &[1]);

        assert!(
            !actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })),
            "the timer of an earlier wait must not cancel the attempt"
        );

        let actions = gateway.end_attempt(1, 0, &first_endpoint, outcome);

        assert!(is_failed(&actions, 1) && forward_count(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn keyed_request_is_retried_only_within_its_dedup_scope_and_window() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);

    let first_endpoint = gateway.forward_request(1, "c", "plain", "keyed");
    let cell = if first_endpoint.starts_with('a') { 'a' } else { 'b' };
    let (_, second_endpoint) =
        forwarded(&gateway.end_attempt(1, 0, &first_endpoint, Outcome::ConnectionReset)).expect("a retry");

    assert!(second_endpoint.starts_with(cell));

    gateway.now += 4000.0;
    let actions = gateway.end_attempt(1, 1, &second_endpoint, Outcome::ConnectionReset);

    assert!(
        forward_count(&actions) == 0 && is_failed(&actions, 1),
        "no retry may follow the end of the dedup window: {actions:?}"
    );
}

#[test]
fn keyed_retry_uses_the_current_cell_of_a_moved_endpoint() {
    let mut gateway = TestGateway::new(settings(), &["a1", "b1", "b2"]);
    // The endpoint list moves the running process b2 to the cell of a1.
    let moved = EndpointEntry { cell: 0, ..endpoint("b2", EndpointState::Ready, None) };
    gateway.handle(Event::EndpointDelta(vec![moved]));

    let mut first_endpoints = std::collections::BTreeSet::new();
    for id in 1..60 {
        let first_endpoint = gateway.forward_request(id, &format!("c{id}"), "plain", "keyed");
        let (_, second_endpoint) =
            forwarded(&gateway.end_attempt(id, 0, &first_endpoint, Outcome::Error)).expect("a retry");
        assert_eq!(
            &*first_endpoint == "b1",
            &*second_endpoint == "b1",
            "from {first_endpoint} to {second_endpoint}"
        );
        gateway.end_attempt(id, 1, &second_endpoint, Outcome::Served);
        first_endpoints.insert(first_endpoint);
    }

    assert_eq!(first_endpoints.len(), 3, "{first_endpoints:?}");
}

// Guards against a keyed request that runs twice: its endpoint starts again in another cell while it is in flight,
// and its retry goes to that cell, which does not know its key.
#[test]
fn keyed_retry_stays_in_the_cell_of_the_process_that_may_have_run_it() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "b1", "b2"]);
    for id in 1..20 {
        let first = gateway.forward_request(id, &format!("c{id}"), "plain", "keyed");
        gateway.now += 1.0;
        let entry = endpoint(&first, EndpointState::Ready, Some(gateway.now));
        let original_cell = entry.cell;
        gateway
            .handle(Event::EndpointDelta(vec![EndpointEntry { cell: 1 - original_cell, ..entry.clone() }]));

        let actions = gateway.end_attempt(id, 0, &first, Outcome::ConnectionReset);

        let (_, second) = forwarded(&actions).expect("a retry");
        assert_eq!(endpoint(&second, EndpointState::Ready, None).cell, original_cell, "{first}, {second}");
        assert_ne!(second, first);
        gateway.end_attempt(id, 1, &second, Outcome::Served);
        gateway.handle(Event::EndpointDelta(vec![EndpointEntry { started_at: None, ..entry }]));
    }
}

#[test]
fn attempt_in_flight_is_neither_cancelled_nor_repeated() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let first_endpoint = gateway.forward_request(1, "c", "plain", "idempotent");
    for _ in 0..4 {
        let actions = gateway.advance(450.0, &[1]);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::CancelAttempt { .. } | Action::ForwardAttempt { .. })),
            "{actions:?}"
        );
    }
    let actions = gateway.end_attempt(1, 0, &first_endpoint, Outcome::ConnectionReset);

    assert!(
        forwarded(&actions).is_some_and(|(_, second_endpoint)| second_endpoint != first_endpoint),
        "{actions:?}"
    );
}

#[test]
fn final_response_is_sent_once_at_the_deadline() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let first_endpoint = gateway.forward_request(1, "c", "plain", "idempotent");
    gateway.now += 2000.0;
    let actions = gateway.end_attempt(1, 0, &first_endpoint, Outcome::TimedOut);

    assert!(is_failed(&actions, 1) && forward_count(&actions) == 0);
    assert!(
        gateway
            .end_attempt(1, 0, &first_endpoint, Outcome::TimedOut)
            .iter()
            .all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn request_without_an_available_endpoint_is_rejected_once_after_waiting() {
    let mut gateway = TestGateway::new(settings(), &[]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "non_idempotent")).expect("a counter call");
    let actions = gateway.reply_total(key, amount);

    assert!(!is_rejected(&actions, 1));
    assert!(is_rejected(&gateway.advance(300.0, &[1]), 1));
    assert!(!is_rejected(&gateway.advance(300.0, &[1]), 1));
}

#[test]
fn request_of_a_disconnected_client_has_no_final_response() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.handle(Event::ClientDisconnected { id: 1 });
    let actions = gateway.reply_total(key, amount);

    assert!(forward_count(&actions) == 0 && !is_rejected(&actions, 1) && !is_failed(&actions, 1));

    let first_endpoint = gateway.forward_request(2, "c", "plain", "idempotent");
    gateway.handle(Event::ClientDisconnected { id: 2 });

    assert_eq!(forward_count(&gateway.end_attempt(2, 0, &first_endpoint, Outcome::ConnectionReset)), 0);
}

#[test]
fn unknown_ids_are_ignored_and_invalid_arrivals_are_handled() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    gateway.end_attempt(9, 3, &"nowhere".into(), Outcome::Served);
    gateway.reply_total(77, 5.0);
    gateway.handle(Event::Timer { token: 999 });
    gateway.handle(Event::ClientDisconnected { id: 8 });

    assert!(is_rejected(&gateway.request(5, "c", "no such plan", "idempotent"), 5));
    assert!(is_rejected(&gateway.request(6, "c", "plain", "no such class"), 6));

    for (id, gateways_per_tenant) in [(7, 0), (8, u32::MAX)] {
        let actions = gateway.handle(Event::RequestArrived(Arrival {
            units: f64::NAN,
            time_to_deadline: -5.0,
            first_gateway: 99,
            gateways_per_tenant,
            ..arrival(id, &format!("c{id}"), "plain", "idempotent")
        }));
        assert!(counter_call(&actions).is_some());
    }
}

#[test]
fn idempotent_request_is_rejected_after_two_attempts_that_may_have_run() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    let first_endpoint = gateway.forward_request(1, "c", "plain", "idempotent");
    let (_, second_endpoint) =
        forwarded(&gateway.end_attempt(1, 0, &first_endpoint, Outcome::Cancelled)).expect("one retry");
    let actions = gateway.advance(900.0, &[1]);

    assert!(
        !actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })),
        "the retry must not be cancelled"
    );

    let actions = gateway.end_attempt(1, 1, &second_endpoint, Outcome::ConnectionReset);

    assert!(forward_count(&actions) == 0 && is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn queued_keyed_retry_fails_before_its_dedup_window_ends() {
    let mut settings = settings();
    // The dedup window is 1 s, of which connecting may take 250 ms. The latency objective of 10 s would let
    // the request wait for an endpoint for 3 s.
    (settings.classes[1].dedup_window, settings.classes[1].latency_objective, settings.connect_timeout) =
        (1000.0, 10_000.0, 250.0);
    let mut gateway = TestGateway::new(settings, &["a1"]);

    let first_endpoint = gateway.forward_request(1, "c", "plain", "keyed");
    gateway.now += 700.0;
    // The only endpoint in the dedup scope has just failed, so none has capacity.
    let actions = gateway.end_attempt(1, 0, &first_endpoint, Outcome::Error);
    let actions = if forward_count(&actions) == 1 {
        gateway.end_attempt(1, 1, &first_endpoint, Outcome::TimedOut)
    } else {
        actions
    };

    assert!(forward_count(&actions) == 0 && !is_failed(&actions, 1), "it waits: {actions:?}");

    let actions = gateway.advance(60.0, &[1]);

    assert!(
        is_failed(&actions, 1) && forward_count(&actions) == 0,
        "a rejection or another attempt could make it run twice: {actions:?}"
    );

    gateway.handle(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));

    assert!(
        !gateway.actions.iter().any(|action| matches!(action, Action::ForwardAttempt { .. })),
        "{:?}",
        gateway.actions
    );
}

#[test]
fn request_that_waits_longer_than_its_tenant_s_idle_time_is_not_lost() {
    // An idle tenant is dropped after two refill periods, 2 s here. The first attempt takes 1.9 s, and the
    // wait while the only endpoint is ejected takes the request past 2 s.
    let mut settings = settings();
    (settings.plans[0].rate, settings.plans[0].burst) = (5.0, 5.0);
    let mut gateway = TestGateway::new(settings, &["a1"]);
    let arrival = Arrival {
        time_to_deadline: 4000.0,
        gateways_per_tenant: 1,
        ..arrival(1, "c", "plain", "idempotent")
    };

    let CounterCall { key, amount } =
        counter_call(&gateway.handle(Event::RequestArrived(arrival))).expect("a counter call");
    let first_endpoint = forwarded(&gateway.reply_total(key, amount)).expect("forwarded").1;
    gateway.now += 1900.0;
    let actions = gateway.end_attempt_after(1900.0, 1, 0, &first_endpoint, Outcome::ConnectFailed);

    assert!(
        forward_count(&actions) == 0 && !is_rejected(&actions, 1) && !is_failed(&actions, 1),
        "it waits: {actions:?}"
    );

    gateway.advance(150.0, &[]);
    let actions = gateway.handle(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));
    let second_endpoint = forwarded(&actions).expect("forwarded").1;
    let actions = gateway.end_attempt(1, 1, &second_endpoint, Outcome::Rejected);
    let later = gateway.advance(300.0, &[1]);
    let actions = [actions, later].concat();

    assert!(
        forward_count(&actions) == 1 || is_rejected(&actions, 1) || is_failed(&actions, 1),
        "no final response and no retry: {actions:?}"
    );
}
