//! One answer, in time; repeats only as the class allows; never two attempts out.

mod helper;
use helper::*;
use ryefront_policy::*;

#[test]
fn proof_that_nothing_ran_leads_elsewhere_at_once_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
            let mut door = Door::new(settings(), &["a1", "a2"]);
            let at = door.served(1, "c", "plain", class);
            let did = door.end(1, 0, &at, outcome);
            assert!(sent(&did).is_some_and(|(_, next)| next != at), "{class} {outcome:?}");
        }
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Cancelled] {
        let mut door = Door::new(settings(), &["a1", "a2"]);
        let at = door.served(1, "c", "plain", "unsafe");
        let did = door.pass(900.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })),
            "its hold's timer has outlived the hold"
        );
        let did = door.end(1, 0, &at, outcome);
        assert!(failed(&did, 1) && sends(&did) == 0, "{outcome:?}: {did:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_its_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "b1", "b2", "b3"]);
    let at = door.served(1, "c", "plain", "keyed");
    let mates = if at.starts_with('a') { 'a' } else { 'b' };
    let (_, next) = sent(&door.end(1, 0, &at, Outcome::ConnectionReset)).expect("sent again");
    assert!(next.starts_with(mates));
    door.now += 4000.0;
    let did = door.end(1, 1, &next, Outcome::ConnectionReset);
    assert!(sends(&did) == 0 && failed(&did, 1), "no longer dropped as a repeat: {did:?}");
}

#[test]
fn a_keyed_repeat_follows_an_endpoint_to_its_new_cell() {
    let mut door = Door::new(settings(), &["a1", "b1", "b2"]);
    // The same process, told of in the other cell from now on.
    let moved = EndpointEntry { cell: 0, ..endpoint("b2", EndpointState::Ready, None) };
    door.tell(Event::EndpointDelta(vec![moved]));
    let mut met = std::collections::BTreeSet::new();
    for id in 1..60 {
        let at = door.served(id, &format!("c{id}"), "plain", "keyed");
        let (_, next) = sent(&door.end(id, 0, &at, Outcome::Error)).expect("sent again");
        assert_eq!(&*at == "b1", &*next == "b1", "from {at} to {next}");
        door.end(id, 1, &next, Outcome::Served);
        met.insert(at);
    }
    assert_eq!(met.len(), 3, "{met:?}");
}

#[test]
fn an_attempt_is_left_to_run_until_its_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    for _ in 0..4 {
        let did = door.pass(450.0, &[1]);
        assert!(
            !did.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::ForwardAttempt { .. })),
            "{did:?}"
        );
    }
    let did = door.end(1, 0, &at, Outcome::ConnectionReset);
    assert!(sent(&did).is_some_and(|(_, next)| next != at), "{did:?}");
}

#[test]
fn the_last_answer_comes_at_the_deadline_whatever_the_outcome() {
    let mut door = Door::new(settings(), &["a1", "a2"]);
    let at = door.served(1, "c", "plain", "safe");
    door.now += 2000.0;
    let did = door.end(1, 0, &at, Outcome::TimedOut);
    assert!(failed(&did, 1) && sends(&did) == 0);
    assert!(door.end(1, 0, &at, Outcome::TimedOut).iter().all(|a| !matches!(a, Action::Fail { .. })));
}

#[test]
fn with_no_endpoint_a_request_waits_its_hold_and_is_refused_once() {
    let mut door = Door::new(settings(), &[]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "unsafe")).expect("call");
    let did = door.total(name, amount);
    assert!(!refused(&did, 1));
    assert!(refused(&door.pass(300.0, &[1]), 1));
    assert!(!refused(&door.pass(300.0, &[1]), 1));
}

#[test]
fn a_client_that_leaves_gets_no_answer() {
    let mut door = Door::new(settings(), &["a1"]);
    let (name, amount) = count(&door.ask(1, "c", "plain", "safe")).expect("call");
    door.tell(Event::ClientDisconnected { id: 1 });
    let did = door.total(name, amount);
    assert!(sends(&did) == 0 && !refused(&did, 1) && !failed(&did, 1));
    let at = door.served(2, "c", "plain", "safe");
    door.tell(Event::ClientDisconnected { id: 2 });
    assert_eq!(sends(&door.end(2, 0, &at, Outcome::ConnectionReset)), 0);
}

#[test]
fn events_about_unknown_things_are_harmless() {
    let mut door = Door::new(settings(), &["a1"]);
    door.end(9, 3, &"nowhere".into(), Outcome::Served);
    door.total(77, 5.0);
    door.tell(Event::Timer { token: 999 });
    door.tell(Event::ClientDisconnected { id: 8 });
    assert!(refused(&door.ask(5, "c", "no such plan", "safe"), 5));
    assert!(refused(&door.ask(6, "c", "plain", "no such class"), 6));
    for (id, spread) in [(7, 0), (8, u32::MAX)] {
        let did = door.tell(Event::RequestArrived(Arrival {
            id,
            tenant: format!("c{id}").as_str().into(),
            plan: "plain".into(),
            class: "safe".into(),
            units: f64::NAN,
            client_retry: false,
            time_to_deadline: -5.0,
            first_gateway: 99,
            gateways_per_tenant: spread,
        }));
        assert!(count(&did).is_some());
    }
}

#[test]
fn a_safe_request_that_two_endpoints_left_unanswered_is_not_sent_a_third_time() {
    let mut door = Door::new(settings(), &["a1", "a2", "a3"]);
    let at = door.served(1, "c", "plain", "safe");
    let (_, next) = sent(&door.end(1, 0, &at, Outcome::Cancelled)).expect("one repeat");
    let did = door.pass(900.0, &[1]);
    assert!(!did.iter().any(|a| matches!(a, Action::CancelAttempt { .. })), "the repeat is left to finish");
    let did = door.end(1, 1, &next, Outcome::ConnectionReset);
    assert!(sends(&did) == 0 && refused(&did, 1), "{did:?}");
}

#[test]
fn a_keyed_repeat_that_waits_is_given_up_before_it_would_be_taken_for_new() {
    let mut settings = settings();
    // Dropped as a repeat for 1 s, of which a connection may take a quarter; held for up to 3 s.
    (settings.classes[1].dedup_window, settings.classes[1].latency_objective, settings.connect_timeout) =
        (1000.0, 10_000.0, 250.0);
    let mut door = Door::new(settings, &["a1"]);
    let at = door.served(1, "c", "plain", "keyed");
    door.now += 700.0;
    // Nobody of its group is free: the only one has just failed.
    let did = door.end(1, 0, &at, Outcome::Error);
    let did = if sends(&did) == 1 { door.end(1, 1, &at, Outcome::TimedOut) } else { did };
    assert!(sends(&did) == 0 && !failed(&did, 1), "it waits: {did:?}");
    let did = door.pass(60.0, &[1]);
    assert!(failed(&did, 1) && sends(&did) == 0, "not refused, and not sent to run twice: {did:?}");
    door.tell(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));
    assert!(!door.did.iter().any(|a| matches!(a, Action::ForwardAttempt { .. })), "{:?}", door.did);
}

#[test]
fn a_request_that_waits_past_its_tenant_s_idle_time_gets_its_answer_all_the_same() {
    // Two turns are 2 s. The first attempt takes nearly as long; then the only endpoint is left alone for a while.
    let mut settings = settings();
    (settings.plans[0].rate, settings.plans[0].burst) = (5.0, 5.0);
    let mut door = Door::new(settings, &["a1"]);
    let ask = Arrival {
        id: 1,
        tenant: "c".into(),
        plan: "plain".into(),
        class: "safe".into(),
        units: 1.0,
        client_retry: false,
        time_to_deadline: 4000.0,
        first_gateway: 0,
        gateways_per_tenant: 1,
    };
    let (name, amount) = count(&door.tell(Event::RequestArrived(ask))).expect("call");
    let at = sent(&door.total(name, amount)).expect("sent on").1;
    door.now += 1900.0;
    let did = door.end_after(1900.0, 1, 0, &at, Outcome::ConnectFailed);
    assert!(sends(&did) == 0 && !refused(&did, 1) && !failed(&did, 1), "it waits: {did:?}");
    door.pass(150.0, &[]);
    let did = door.tell(Event::EndpointDelta(vec![endpoint("a2", EndpointState::Ready, None)]));
    let at = sent(&did).expect("sent on").1;
    let did = door.end(1, 1, &at, Outcome::Rejected);
    let later = door.pass(300.0, &[1]);
    let did = [did, later].concat();
    assert!(sends(&did) == 1 || refused(&did, 1) || failed(&did, 1), "no answer: {did:?}");
}
