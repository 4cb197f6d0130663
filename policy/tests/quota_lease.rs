//! Leases while the counter is available: block sizes, rejection, returned units, and windows.

mod common;
use common::*;
use ryefront_policy::*;

#[test]
fn first_block_is_burst_divided_by_gateways_and_is_spent_locally() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3", "a4", "a5", "a6"]);

    let actions = gateway.request(1, "c", "plain", "idempotent");
    let CounterCall { key, amount } = counter_call(&actions).expect("a block is requested");

    assert_eq!(amount, 5.0);
    assert_eq!(forward_count(&actions), 0, "the request waits for its block");
    assert_eq!(forward_count(&gateway.reply_total(key, 5.0)), 1);

    for id in 2..=5 {
        let actions = gateway.request(id, "c", "plain", "idempotent");
        assert_eq!(forward_count(&actions), 1, "request {id} is admitted from leased units");
    }
}

#[test]
fn request_is_rejected_and_its_block_returned_when_the_quota_is_spent() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    // Other gateways have leased more than the full burst and what it has refilled in this window.
    let actions = gateway.reply_total(key, amount + 40.0);
    let retry_after = actions.iter().find_map(|action| match action {
        Action::Reject { id: 1, retry_after } => Some(*retry_after),
        _ => None,
    });

    assert!(retry_after.is_some_and(|ms| ms > 0.0), "{actions:?}");

    let call = counter_call(&actions).expect("units that exceed the quota are returned");

    assert_eq!(call.amount, -amount);
}

#[test]
fn all_gateways_derive_the_same_counter_key_for_a_window() {
    let requested_key = |gateway: &mut TestGateway| {
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call").key
    };
    let mut first = TestGateway::new(settings(), &["a1"]);
    let mut second = TestGateway::new(Settings { gateway_index: 1, ..settings() }, &["a1"]);
    let mut later = TestGateway::new(settings(), &["a1"]);
    later.now += 20_000.0;

    let key = requested_key(&mut first);

    assert_eq!(key, requested_key(&mut second));
    assert_ne!(key, requested_key(&mut later), "another window");
}

#[test]
fn lease_expires_with_its_window() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.reply_total(key, amount);
    gateway.now += 4_001.0;
    let actions = gateway.request(2, "c", "plain", "idempotent");

    assert_eq!(forward_count(&actions), 0, "the old block has expired");
    assert!(counter_call(&actions).is_some_and(|next| next.key != key));
}

#[test]
fn request_that_is_not_forwarded_returns_its_units() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.handle(Event::EndpointSnapshot(Vec::new()));
    let actions = gateway.reply_total(key, amount);

    assert_eq!(forward_count(&actions), 0);

    gateway.advance(300.0, &[1]);
    gateway.handle(Event::EndpointSnapshot(vec![endpoint("a1", EndpointState::Ready, None)]));
    for id in 2..=3 {
        let actions = gateway.request(id, "c", "plain", "idempotent");
        assert!(counter_call(&actions).is_none(), "all five units are still leased");
        gateway.end_attempt(id, 0, &"a1".into(), Outcome::Served);
    }
}

#[test]
fn settled_units_are_added_with_a_later_call() {
    let settings = Settings { settles_usage: true, max_units: 4.0, ..settings() };
    let mut gateway = TestGateway::new(settings, &["a1", "a2"]);

    let endpoint = gateway.forward_request(1, "c", "plain", "idempotent");
    let end = AttemptEnd {
        id: 1,
        attempt: 0,
        endpoint,
        outcome: Outcome::Served,
        latency: 90.0,
        actual_units: Some(4.0),
        request_finished: true,
        load_report: None,
    };
    gateway.handle(Event::AttemptEnded(end));
    let actions = gateway.advance(30.0, &[]);

    assert!(counter_call(&actions).is_some_and(|call| call.amount >= 3.0), "{actions:?}");
}

#[test]
fn idle_tenants_are_dropped() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let endpoint = gateway.forward_request(1, "c", "plain", "idempotent");
    gateway.end_attempt(1, 0, &endpoint, Outcome::Served);
    gateway.advance(60_000.0, &[]);
    let actions = gateway.request(2, "c", "plain", "idempotent");

    assert_eq!(
        counter_call(&actions).expect("a counter call").amount,
        5.0,
        "a dropped tenant starts with a first block again"
    );
}

// Guards against memory and time that grow with every new tenant for which a client sends a request.
#[test]
fn idle_tenants_are_evicted_when_there_are_too_many() {
    const MAX_TENANTS: usize = 16;
    let mut gateway = TestGateway::new(Settings { max_tenants: MAX_TENANTS, ..settings() }, &["a1", "a2"]);
    let mut id = 0;
    let mut has_lease = |gateway: &mut TestGateway, tenant: &str| {
        id += 1;
        gateway.now += 1.0;
        let mut actions = gateway.request(id, tenant, "plain", "idempotent");
        let is_forwarded_at_once = forwarded(&actions).is_some();
        if let Some(CounterCall { key, amount }) = counter_call(&actions) {
            actions.extend(gateway.reply_total(key, amount));
        }
        let endpoint = forwarded(&actions).expect("request is forwarded").1;
        gateway.end_attempt(id, 0, &endpoint, Outcome::Served);
        is_forwarded_at_once
    };

    assert!(!has_lease(&mut gateway, "first"));
    assert!(!has_lease(&mut gateway, "active"));
    for number in 0..3 * MAX_TENANTS {
        assert!(!has_lease(&mut gateway, &format!("c{number}")));
        // More often than it would be evicted, but seldom enough for its lease to last.
        if number % 12 == 0 {
            assert!(has_lease(&mut gateway, "active"), "{number}");
        }
    }

    assert!(!has_lease(&mut gateway, "first"), "an evicted tenant starts with a first block again");
}

#[test]
fn request_that_waits_too_long_for_a_block_uses_the_fallback() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    assert_eq!(forward_count(&gateway.request(1, "c", "plain", "idempotent")), 0);
    assert_eq!(forward_count(&gateway.advance(100.0, &[1])), 1);
}

#[test]
fn draining_gateway_returns_leases_and_leases_only_what_requests_need() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.reply_total(key, amount);
    gateway.handle(Event::DrainStarted);
    gateway.now += 25.0;
    let actions = gateway.handle(Event::Timer { token: 1 });

    assert_eq!(
        counter_call(&actions),
        Some(CounterCall { key, amount: 1.0 - amount }),
        "all units except the spent one are returned"
    );

    gateway.reply_total(key, 1.0);

    assert_eq!(counter_call(&gateway.handle(Event::Timer { token: 1 })), None);
    // A request during the drain leases only the units it needs.
    assert_eq!(
        counter_call(&gateway.request(2, "c", "plain", "idempotent")),
        Some(CounterCall { key, amount: 1.0 })
    );
}

#[test]
fn units_admitted_by_the_fallback_during_a_call_are_covered_by_its_block() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3", "a4"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    // The reply is late, so the fallback admits the request after its maximum wait.
    gateway.now += 100.0;

    assert_eq!(forward_count(&gateway.handle(Event::Timer { token: 2 })), 1);

    let actions = gateway.reply_total(key, amount);

    assert_eq!(counter_call(&actions), None, "nothing is left to report");

    let forwarded: usize =
        (2..=6).map(|id| forward_count(&gateway.request(id, "c", "plain", "idempotent"))).sum();
    assert_eq!(forwarded, 4, "the block of five units covers the first request");
}
