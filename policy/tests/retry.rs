//! Retries: one final answer in time, retries only as the class allows, never two attempts in flight.

mod common;
use common::*;
use ryefront_policy::*;

#[test]
fn attempt_that_surely_never_ran_is_retried_elsewhere_for_every_class() {
    for class in ["idempotent", "keyed", "non_idempotent"] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
            let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

            let chosen = gateway.forward_request(1, "c", "plain", class);
            let actions = gateway.end_attempt(1, 0, &chosen, outcome);

            assert!(forwarded(&actions).is_some_and(|(_, next)| next != chosen), "{class} {outcome:?}");
        }
    }
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Cancelled] {
        let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

        let chosen = gateway.forward_request(1, "c", "plain", "non_idempotent");
        let actions = gateway.advance(900.0, &[1]);

        assert!(
            !actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })),
            "the timer of an earlier wait changes nothing"
        );

        let actions = gateway.end_attempt(1, 0, &chosen, outcome);

        assert!(is_failed(&actions, 1) && forward_count(&actions) == 0, "{outcome:?}: {actions:?}");
    }
}

#[test]
fn keyed_retry_stays_in_its_dedup_scope_and_window() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);

    let chosen = gateway.forward_request(1, "c", "plain", "keyed");
    let cell = if chosen.starts_with('a') { 'a' } else { 'b' };
    let (_, next) =
        forwarded(&gateway.end_attempt(1, 0, &chosen, Outcome::ConnectionReset)).expect("a retry");

    assert!(next.starts_with(cell));

    gateway.now += 4000.0;
    let actions = gateway.end_attempt(1, 1, &next, Outcome::ConnectionReset);

    assert!(
        forward_count(&actions) == 0 && is_failed(&actions, 1),
        "the dedup window has ended: {actions:?}"
    );
}

#[test]
fn keyed_retry_follows_an_endpoint_to_its_new_cell() {
    let mut gateway = TestGateway::new(settings(), &["a1", "b1", "b2"]);
    // The same process, listed in the other cell from now on.
    let moved = EndpointEntry { cell: 0, ..endpoint("b2", EndpointState::Ready, None) };
    gateway.handle(Event::EndpointDelta(vec![moved]));

    let mut used = std::collections::BTreeSet::new();
    for id in 1..60 {
        let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "keyed");
        let (_, next) = forwarded(&gateway.end_attempt(id, 0, &chosen, Outcome::Error)).expect("a retry");
        assert_eq!(&*chosen == "b1", &*next == "b1", "from {chosen} to {next}");
        gateway.end_attempt(id, 1, &next, Outcome::Served);
        used.insert(chosen);
    }

    assert_eq!(used.len(), 3, "{used:?}");
}

#[test]
fn attempt_is_not_cancelled_before_its_outcome() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let chosen = gateway.forward_request(1, "c", "plain", "idempotent");
    for _ in 0..4 {
        let actions = gateway.advance(450.0, &[1]);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::CancelAttempt { .. } | Action::ForwardAttempt { .. })),
            "{actions:?}"
        );
    }
    let actions = gateway.end_attempt(1, 0, &chosen, Outcome::ConnectionReset);

    assert!(forwarded(&actions).is_some_and(|(_, next)| next != chosen), "{actions:?}");
}

#[test]
fn final_answer_is_given_at_the_deadline_once() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let chosen = gateway.forward_request(1, "c", "plain", "idempotent");
    gateway.now += 2000.0;
    let actions = gateway.end_attempt(1, 0, &chosen, Outcome::TimedOut);

    assert!(is_failed(&actions, 1) && forward_count(&actions) == 0);
    assert!(
        gateway
            .end_attempt(1, 0, &chosen, Outcome::TimedOut)
            .iter()
            .all(|a| !matches!(a, Action::Fail { .. }))
    );
}

#[test]
fn request_without_an_endpoint_waits_and_is_rejected_once() {
    let mut gateway = TestGateway::new(settings(), &[]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "non_idempotent")).expect("a counter call");
    let actions = gateway.reply_total(key, amount);

    assert!(!is_rejected(&actions, 1));
    assert!(is_rejected(&gateway.advance(300.0, &[1]), 1));
    assert!(!is_rejected(&gateway.advance(300.0, &[1]), 1));
}

#[test]
fn disconnected_client_gets_no_answer() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.handle(Event::ClientDisconnected { id: 1 });
    let actions = gateway.reply_total(key, amount);

    assert!(forward_count(&actions) == 0 && !is_rejected(&actions, 1) && !is_failed(&actions, 1));

    let chosen = gateway.forward_request(2, "c", "plain", "idempotent");
    gateway.handle(Event::ClientDisconnected { id: 2 });

    assert_eq!(forward_count(&gateway.end_attempt(2, 0, &chosen, Outcome::ConnectionReset)), 0);
}

#[test]
fn events_about_unknown_names_are_harmless() {
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
fn idempotent_request_is_not_forwarded_a_third_time_after_two_ambiguous_attempts() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    let chosen = gateway.forward_request(1, "c", "plain", "idempotent");
    let (_, next) = forwarded(&gateway.end_attempt(1, 0, &chosen, Outcome::Cancelled)).expect("one retry");
    let actions = gateway.advance(900.0, &[1]);

    assert!(
        !actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })),
        "the retry is not cancelled"
    );

    let actions = gateway.end_attempt(1, 1, &next, Outcome::ConnectionReset);

    assert!(forward_count(&actions) == 0 && is_rejected(&actions, 1), "{actions:?}");
}

#[test]
fn waiting_keyed_retry_is_abandoned_before_its_dedup_window_ends() {
    let mut settings = settings();
    // A dedup window of 1 s, of which a connection may take a quarter; the request waits for up to 3 s.
    (settings.classes[1].dedup_window, settings.classes[1].latency_objective, settings.connect_timeout) =
        (1000.0, 10_000.0, 250.0);
    let mut gateway = TestGateway::new(settings, &["a1"]);

    let chosen = gateway.forward_request(1, "c", "plain", "keyed");
    gateway.now += 700.0;
    // No endpoint of its dedup scope has capacity: the only one has just failed.
    let actions = gateway.end_attempt(1, 0, &chosen, Outcome::Error);
    let actions = if forward_count(&actions) == 1 {
        gateway.end_attempt(1, 1, &chosen, Outcome::TimedOut)
    } else {
        actions
    };

    assert!(forward_count(&actions) == 0 && !is_failed(&actions, 1), "it waits: {actions:?}");

    let actions = gateway.advance(60.0, &[1]);

    assert!(
        is_failed(&actions, 1) && forward_count(&actions) == 0,
        "neither rejected nor forwarded to run twice: {actions:?}"
    );

    gateway.handle(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));

    assert!(
        !gateway.actions.iter().any(|action| matches!(action, Action::ForwardAttempt { .. })),
        "{:?}",
        gateway.actions
    );
}

#[test]
fn request_that_waits_past_its_tenant_s_idle_time_is_answered() {
    // Two refill periods are 2 s. The first attempt takes nearly as long; then the only endpoint is ejected
    // for a while.
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
    let chosen = forwarded(&gateway.reply_total(key, amount)).expect("forwarded").1;
    gateway.now += 1900.0;
    let actions = gateway.end_attempt_after(1900.0, 1, 0, &chosen, Outcome::ConnectFailed);

    assert!(
        forward_count(&actions) == 0 && !is_rejected(&actions, 1) && !is_failed(&actions, 1),
        "it waits: {actions:?}"
    );

    gateway.advance(150.0, &[]);
    let actions = gateway.handle(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));
    let chosen = forwarded(&actions).expect("forwarded").1;
    let actions = gateway.end_attempt(1, 1, &chosen, Outcome::Rejected);
    let later = gateway.advance(300.0, &[1]);
    let actions = [actions, later].concat();

    assert!(
        forward_count(&actions) == 1 || is_rejected(&actions, 1) || is_failed(&actions, 1),
        "no answer: {actions:?}"
    );
}
