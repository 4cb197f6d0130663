//! Fleets of hundreds of gateways: quota, load balancing, slow start and load shedding without coordination.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// Returns the gateways of a fleet with these settings and endpoints, each with its own index and seed.
fn fleet_with(settings: &Settings, endpoints: &[String]) -> Vec<TestGateway> {
    let names: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    (0..settings.gateway_count)
        .map(|number| {
            let settings = Settings { gateway_index: number, ..settings.clone() };
            TestGateway::seeded(settings, 1000 + u64::from(number), &names)
        })
        .collect()
}

fn fleet(gateways: u32, endpoints: &[String]) -> Vec<TestGateway> {
    fleet_with(&Settings { gateway_count: gateways, ..settings() }, endpoints)
}

/// Returns the gateways of a fleet whose last endpoint starts now.
fn fleet_with_slow_start(gateways: u32, endpoints: &[String]) -> Vec<TestGateway> {
    let last = endpoints.last().expect("an endpoint");
    let mut fleet_gateways = fleet(gateways, endpoints);
    for gateway in &mut fleet_gateways {
        let started_at = Some(gateway.now);
        gateway.handle(Event::EndpointDelta(vec![endpoint(last, EndpointState::Ready, started_at)]));
    }
    fleet_gateways
}

fn endpoint_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("a{index}")).collect()
}

/// Returns a request of a tenant that is served by all gateways.
fn arrival_at_all(id: RequestId, tenant: &str) -> Arrival {
    Arrival { gateways_per_tenant: GATEWAYS, ..arrival(id, tenant, "plain", "idempotent") }
}

/// Handles the arrival of such a request, made for the first time.
fn request(gateway: &mut TestGateway, id: RequestId, tenant: &str) -> Vec<Action> {
    gateway.handle(Event::RequestArrived(arrival_at_all(id, tenant)))
}

#[test]
fn low_quota_holds_over_all_gateways() {
    // The plan has a burst of 10 and a rate of 5 per second; demand is 66 times the rate. A burst is admitted
    // at once, then a fraction of the requests: the admit ratio, which follows demand as it grows. The upper
    // bound is three bursts; the quota itself grants 17 of 500.
    let mut fleet_gateways = fleet(GATEWAYS, &endpoint_names(20));
    let mut admitted = 0;
    let mut totals = BTreeMap::<u64, f64>::new();
    let start = fleet_gateways[0].now;

    for (id, gateway) in (1..).zip(&mut fleet_gateways) {
        gateway.now = start + 3.0 * id as f64;
        let mut actions = request(gateway, id, "c");
        if let Some(CounterCall { key, amount }) = counter_call(&actions) {
            let total = totals.entry(key).or_default();
            *total += amount;
            actions.extend(gateway.reply_total(key, *total));
        }
        admitted += forward_count(&actions);
    }

    assert!((5..=30).contains(&admitted), "{admitted} of {GATEWAYS} requests admitted");
}

#[test]
fn each_gateway_of_a_large_fleet_uses_few_endpoints_and_all_are_used_evenly() {
    let mut fleet_gateways = fleet(GATEWAYS, &endpoint_names(50));

    let mut requests_by_endpoint = BTreeMap::<Name, u32>::new();
    let mut most_used = 0;
    for gateway in &mut fleet_gateways {
        let mut used = BTreeSet::new();
        for id in 1..=20 {
            let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "non_idempotent");
            gateway.end_attempt(id, 0, &chosen, Outcome::Served);
            *requests_by_endpoint.entry(chosen.clone()).or_default() += 1;
            used.insert(chosen);
        }
        most_used = most_used.max(used.len());
    }

    assert!(most_used <= 15, "a gateway used {most_used} endpoints");

    let busiest = requests_by_endpoint.values().max().copied().unwrap_or_default();

    assert_eq!(requests_by_endpoint.len(), 50);
    assert!(
        f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50),
        "{busiest} requests at the busiest endpoint"
    );
}

#[test]
fn endpoint_in_slow_start_gets_its_share_from_the_first_millisecond_in_fleets_of_any_size() {
    for gateways in [2, GATEWAYS] {
        let endpoints = endpoint_names(10);
        let mut fleet_gateways = fleet_with_slow_start(gateways, &endpoints);
        let rounds = 5000 / u64::from(gateways);
        let mut to_slow_start = 0;

        for id in 1..=rounds {
            for gateway in &mut fleet_gateways {
                let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "idempotent");
                to_slow_start += u32::from(&*chosen == "a9");
                gateway.end_attempt(id, 0, &chosen, Outcome::Served);
            }
        }

        // An even share is 500 of 5000. At 0.2 of its capacity the endpoint gets at most a fifth of that,
        // less the safety margin of slow start.
        assert!((40..=120).contains(&to_slow_start), "{gateways} gateways: {to_slow_start}");
    }
}

#[test]
fn endpoint_near_the_end_of_slow_start_gets_nearly_an_even_share_while_responses_are_late() {
    let mut fleet_gateways = fleet_with_slow_start(GATEWAYS, &endpoint_names(10));
    let mut to_slow_start = 0;
    let mut total = 0;
    let mut id = 0;

    for gateway in &mut fleet_gateways {
        gateway.now += 0.9 * settings().slow_start_duration;
        for round in 0..20 {
            id += 1;
            let actions = request(gateway, id, &format!("c{id}"));
            let actions =
                counter_call(&actions).map(|call| gateway.reply_total(call.key, 1.0)).unwrap_or(actions);
            let Some((id, chosen)) = forwarded(&actions) else { continue };
            // The responses of the first rounds are late, so that load shedding admits fewer first attempts.
            let latency = if round < 4 { 790.0 } else { 100.0 };
            total += u32::from(round >= 10);
            to_slow_start += u32::from(round >= 10 && &*chosen == "a9");
            gateway.end_attempt_after(latency, id, 0, &chosen, Outcome::Served);
        }
    }
    // An even share is a tenth.
    let share = f64::from(to_slow_start) / f64::from(total);

    assert!(total > 1000 && (0.08..=0.12).contains(&share), "{to_slow_start} of {total}");
}

#[test]
fn endpoint_in_slow_start_gets_only_its_share_when_there_is_no_other() {
    let mut fleet_gateways = fleet_with_slow_start(GATEWAYS, &endpoint_names(1));
    let mut admitted = 0;

    for gateway in &mut fleet_gateways {
        let mut actions = request(gateway, 1, "c");
        if let Some(CounterCall { key, .. }) = counter_call(&actions) {
            actions.extend(gateway.reply_total(key, 1.0));
        }
        admitted += forward_count(&actions);
    }

    assert!((40..=130).contains(&admitted), "about a sixth of {GATEWAYS}: {admitted}");
}

#[test]
fn gateway_applies_gossip_of_a_tenant_over_its_quota_and_ignores_malformed_messages() {
    let settings = Settings { gateway_count: GATEWAYS, gossip: true, ..settings() };
    let mut fleet_gateways = fleet_with(&settings, &endpoint_names(5));

    let CounterCall { key, amount } =
        counter_call(&request(&mut fleet_gateways[0], 1, "c")).expect("a counter call");
    let actions = fleet_gateways[0].reply_total(key, 1000.0 + amount);
    let message = actions
        .iter()
        .find_map(|action| if let Action::Gossip { bytes } = action { Some(bytes.clone()) } else { None });
    assert!(is_rejected(&actions, 1));
    fleet_gateways[1].handle(Event::GossipReceived { from: 0, bytes: message.expect("a gossip message") });
    for malformed in [vec![], vec![1; 7], vec![255; 300]] {
        fleet_gateways[1].handle(Event::GossipReceived { from: 0, bytes: malformed });
    }
    // The counter refuses all calls, so that the gateway knows of the quota only by the gossip message.
    let mut admitted = 0;
    for id in 1..=40 {
        let mut actions = request(&mut fleet_gateways[1], id, "c");
        if let Some(CounterCall { key, .. }) = counter_call(&actions) {
            let reply = Event::CounterReply { key, result: CounterResult::NotAdded, latency: 1.0 };
            actions.extend(fleet_gateways[1].handle(reply));
        }
        admitted += forward_count(&actions);
    }

    assert!(admitted <= 4, "{admitted} of 40 requests admitted, of a tenant at a hundred times its quota");
}

#[test]
fn client_retry_reads_the_counter_and_adds_nothing() {
    let mut fleet_gateways = fleet(GATEWAYS, &endpoint_names(5));
    let mut increments = Vec::new();

    for id in 1..=60 {
        // Fast replies raise the call ratio, so that retries lead to counter calls too.
        let client_retry = id > 30;
        let arrival = Arrival { client_retry, ..arrival_at_all(id, &format!("c{id}")) };
        let actions = fleet_gateways[0].handle(Event::RequestArrived(arrival));
        if let Some(CounterCall { key, amount }) = counter_call(&actions) {
            fleet_gateways[0].reply_total(key, 1.0);
            increments.push((client_retry, amount));
        }
    }

    assert!(
        increments.iter().any(|(client_retry, _)| *client_retry),
        "no counter call was made for a client retry"
    );
    // The weight of a first attempt grows with the time in its window at which it is reported. A retry is not
    // new demand and adds 0.
    assert!(
        increments.iter().all(|(client_retry, amount)| if *client_retry {
            *amount == 0.0
        } else {
            *amount >= 1.0
        }),
        "{increments:?}"
    );
}

#[test]
fn late_responses_shed_first_attempts_until_responses_are_in_time_again() {
    let mut fleet_gateways = fleet(GATEWAYS, &endpoint_names(5));
    let mut id = 0;

    let mut run_requests = |gateway: &mut TestGateway, latency: Millis, requests: u64| {
        let mut admitted = 0;
        for _ in 0..requests {
            id += 1;
            let mut actions = request(gateway, id, &format!("c{id}"));
            if let Some(CounterCall { key, amount }) = counter_call(&actions) {
                actions.extend(gateway.reply_total(key, amount));
            }
            for (id, endpoint) in actions.iter().filter_map(|action| forwarded(std::slice::from_ref(action)))
            {
                admitted += 1;
                gateway.end_attempt_after(latency, id, 0, &endpoint, Outcome::Served);
            }
        }
        admitted
    };

    assert_eq!(
        run_requests(&mut fleet_gateways[0], 100.0, 40),
        40,
        "all requests are admitted while responses are in time"
    );

    run_requests(&mut fleet_gateways[0], 790.0, 40);

    assert!(run_requests(&mut fleet_gateways[0], 790.0, 40) < 30, "late responses lead to load shedding");

    run_requests(&mut fleet_gateways[0], 100.0, 300);

    assert!(
        run_requests(&mut fleet_gateways[0], 100.0, 40) > 36,
        "nearly all requests are admitted again after responses in time"
    );
}

#[test]
fn gateways_whose_seeds_differ_in_the_last_bit_choose_differently() {
    let endpoints = endpoint_names(10);

    let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    let chosen = |seed| {
        let mut gateway =
            TestGateway::seeded(Settings { gateway_count: GATEWAYS, ..settings() }, seed, &endpoints);
        let mut choose = |id| {
            let chosen = gateway.forward_request(id, &format!("c{id}"), "plain", "non_idempotent");
            gateway.end_attempt(id, 0, &chosen, Outcome::Served);
            chosen
        };
        (1..=10).map(&mut choose).collect::<Vec<_>>()
    };

    assert!(chosen(1000) != chosen(1001), "{:?}", chosen(1000));
}
