//! Quota decisions while the counter is unavailable or slow, and after it lost its counts, with and without a
//! ceiling.

mod common;
use common::*;
use ryefront_policy::*;

fn time_out_call(gateway: &mut TestGateway, key: u64) -> Vec<Action> {
    gateway.now += 50.0;
    gateway.handle(Event::CounterReply { key, result: CounterResult::Unknown, latency: 50.0 })
}

/// Sends a request every 20 ms while the counter does not reply. Returns how many were admitted.
fn admitted_without_counter(gateway: &mut TestGateway, plan: &str, span: Millis) -> usize {
    let end = gateway.now + span;
    let mut admitted = 0;
    let mut id = 1_000_000;
    while gateway.now < end {
        id += 1;
        let mut actions = gateway.request(id, "c", plan, "idempotent");
        if let Some(CounterCall { key, .. }) = counter_call(&actions) {
            actions.extend(time_out_call(gateway, key));
        }
        if let Some((id, endpoint)) = forwarded(&actions) {
            admitted += 1;
            gateway.end_attempt(id, 0, &endpoint, Outcome::Served);
        }
        gateway.now += 20.0;
    }
    admitted
}

/// Sends a request of a tenant with a ceiling. Counter calls are answered at once with the running `total`,
/// and attempts are served at once. Returns how many requests were admitted.
fn request_under_ceiling(gateway: &mut TestGateway, id: RequestId, total: &mut f64) -> usize {
    let mut admitted = Vec::new();
    let mut actions = gateway.request(id, "c", "ceiling", "idempotent");
    loop {
        admitted.extend(actions.iter().filter_map(|action| forwarded(std::slice::from_ref(action))));
        let Some(CounterCall { key, amount }) = counter_call(&actions) else { break };
        *total += amount;
        actions = gateway.reply_total(key, *total);
    }
    for (id, endpoint) in &admitted {
        gateway.end_attempt(*id, 0, endpoint, Outcome::Served);
    }
    admitted.len()
}

#[test]
fn without_the_counter_a_gateway_spends_its_fallback_allowance_and_no_more() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    // A burst of 10 and a rate of 5 per second for two gateways allow each of them 5 units at once and 2.5
    // per second, 30 in ten seconds.
    let admitted = admitted_without_counter(&mut gateway, "plain", 10_000.0);

    assert!((26..=30).contains(&admitted), "{admitted}");
}

#[test]
fn ceiling_holds_through_a_spent_burst_a_lost_count_a_restart_and_an_unavailable_counter() {
    // The other gateway has just been granted the full burst of 10. Then the counter loses its count, this
    // gateway restarts and leases what it is granted, and the counter becomes unavailable.
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let start = gateway.now;
    let mut admitted = 0.0;
    let mut total = 0.0;
    let mut id = 0;

    while gateway.now < start + 2000.0 {
        id += 1;
        admitted += request_under_ceiling(&mut gateway, id, &mut total) as f64;
        let ceiling = 16.0 + 8.0 * (gateway.now - start) / 1000.0 + 1.6;
        assert!(10.0 + admitted <= ceiling, "10 + {admitted} exceeds {ceiling} with the counter available");
        gateway.now += 20.0;
    }
    // Without the counter, both gateways may spend the same allowance.
    admitted += 2.0 * admitted_without_counter(&mut gateway, "ceiling", 4000.0) as f64;
    let ceiling = 16.0 + 8.0 * 6.0 + 1.6;

    assert!(10.0 + admitted <= ceiling, "10 + {admitted} exceeds {ceiling}");
}

#[test]
fn units_added_before_are_added_again_when_the_counter_lost_its_count() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.reply_total(key, amount);
    let mut call = None;
    for id in 2..=12 {
        call = counter_call(&gateway.request(id, "c", "plain", "idempotent"));
        if call.is_some() {
            break;
        }
    }
    let CounterCall { key, amount: added } = call.expect("a further block");
    gateway.reply_total(key, added);
    let report = counter_call(&gateway.advance(60.0, &[])).expect("the lost units are added again");

    assert!(report.amount >= amount, "{report:?}");
}

#[test]
fn unavailability_is_logged_once_and_the_counter_is_polled_for_few_requests() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);
    let mut calls = 0;
    let mut log_lines = 0;
    let mut id = 0;
    let end = gateway.now + 5000.0;

    while gateway.now < end {
        id += 1;
        let mut actions = gateway.request(id, &format!("c{id}"), "plain", "idempotent");
        if let Some(CounterCall { key, .. }) = counter_call(&actions) {
            calls += 1;
            actions.extend(time_out_call(&mut gateway, key));
        }
        log_lines += actions
            .iter()
            .filter(|action| matches!(action, Action::Log(line) if line.contains("counter unavailable")))
            .count();
        if let Some((id, endpoint)) = forwarded(&actions) {
            gateway.end_attempt(id, 0, &endpoint, Outcome::Served);
        }
        gateway.now += 10.0;
    }

    assert_eq!(log_lines, 1);
    assert!(calls >= 3, "recovery is detected only by calls: {calls}");
    assert!(f64::from(calls) <= 0.15 * id as f64, "{calls} calls for {id} requests");
}

#[test]
fn late_total_of_an_ended_window_grants_nothing() {
    let mut gateway = TestGateway::new(settings(), &["a1"]);

    let CounterCall { key, amount } =
        counter_call(&gateway.request(1, "c", "plain", "idempotent")).expect("a counter call");
    gateway.advance(100.0, &[1]);
    gateway.now += 5000.0;
    let actions = gateway.reply_total(key, amount);

    assert_eq!(forward_count(&actions), 0);
    assert_eq!(forward_count(&gateway.request(2, "c", "plain", "idempotent")), 0, "no units are leased");
}

#[test]
fn after_unavailability_an_idle_gateway_does_not_assume_a_full_quota_under_a_ceiling() {
    let mut gateway = TestGateway::new(settings(), &["a1", "a2", "a3"]);

    let endpoint = gateway.forward_request(1, "c", "ceiling", "idempotent");
    gateway.end_attempt(1, 0, &endpoint, Outcome::Served);
    gateway.now += 100.0;
    for id in 2..=3 {
        let CounterCall { key, .. } =
            counter_call(&gateway.request(id, &format!("other{id}"), "plain", "idempotent"))
                .expect("a counter call");
        time_out_call(&mut gateway, key);
    }
    // The other gateway may spend the whole quota for three seconds. Then the counter recovers without its
    // counts.
    gateway.now += 3000.0;
    let mut admitted = 0;
    let mut total = 0.0;
    let mut id = 100;
    for _ in 0..40 {
        id += 1;
        admitted += request_under_ceiling(&mut gateway, id, &mut total);
    }

    assert!(
        admitted <= 5 && total <= 5.0,
        "only this gateway's fallback allowance: {admitted} admitted, {total} added"
    );
}
