//! Hundreds of gateways, fed by hand: what they permit together is added up.

mod helper;
use helper::*;
use ryefront_policy::*;
use std::collections::{BTreeMap, BTreeSet};

const GATEWAYS: u32 = 500;

/// All gateways of a fleet with these endpoints; the last one starts cold now where `cold` is set.
fn fleet(gateways: u32, endpoints: &[String], cold: bool, peers: bool) -> Vec<Door> {
    let names: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    (0..gateways)
        .map(|number| {
            let settings =
                Settings { gateway_count: gateways, gateway_index: number, gossip: peers, ..settings() };
            let mut door = Door::seeded(settings, 1000 + u64::from(number), &names);
            if cold {
                let born = Some(door.now);
                let last = endpoints.last().expect("an endpoint");
                door.tell(Event::EndpointDelta(vec![endpoint(last, EndpointState::Ready, born)]));
            }
            door
        })
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("a{n}")).collect()
}

/// A request of a tenant spread over all gateways.
fn spread(door: &mut Door, id: RequestId, tenant: &str, repeat: bool) -> Vec<Action> {
    door.ask_of(id, tenant, "plain", "safe", repeat, GATEWAYS)
}

#[test]
fn a_thin_tenant_s_quota_holds_over_all_gateways() {
    // Burst 10, rate 5, asked 66 times as much: a burst at once, then the share that fits, which reads the
    // demand as it grows. Three bursts are the bound of that; the quota itself grants 17 of 500.
    let mut doors = fleet(GATEWAYS, &names(20), false, false);
    let (mut gone_on, mut totals) = (0, BTreeMap::<u64, f64>::new());
    let start = doors[0].now;
    for (id, door) in (1..).zip(&mut doors) {
        door.now = start + 3.0 * id as f64;
        let mut did = spread(door, id, "c", false);
        if let Some((name, amount)) = count(&did) {
            let total = totals.entry(name).or_default();
            *total += amount;
            did.extend(door.total(name, *total));
        }
        gone_on += sends(&did);
    }
    assert!((5..=30).contains(&gone_on), "{gone_on} of {GATEWAYS} tries went on");
}

#[test]
fn each_of_many_gateways_keeps_to_few_endpoints_and_all_are_used_alike() {
    let mut doors = fleet(GATEWAYS, &names(50), false, false);
    let (mut per_endpoint, mut most) = (BTreeMap::<Name, u32>::new(), 0);
    for door in &mut doors {
        let mut own = BTreeSet::new();
        for id in 1..=20 {
            let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
            door.end(id, 0, &at, Outcome::Served);
            *per_endpoint.entry(at.clone()).or_default() += 1;
            own.insert(at);
        }
        most = most.max(own.len());
    }
    assert!(most <= 15, "a gateway used {most} endpoints");
    let busiest = per_endpoint.values().max().copied().unwrap_or_default();
    assert_eq!(per_endpoint.len(), 50);
    assert!(f64::from(busiest) < 1.6 * f64::from(GATEWAYS * 20 / 50), "{busiest}");
}

#[test]
fn two_or_five_hundred_gateways_send_a_cold_endpoint_its_share_from_the_first_ms() {
    for gateways in [2, GATEWAYS] {
        let endpoints = names(10);
        let mut doors = fleet(gateways, &endpoints, true, false);
        let (mut to_cold, rounds) = (0, 5000 / gateways as u64);
        for id in 1..=rounds {
            for door in &mut doors {
                let at = door.served(id, &format!("c{id}"), "plain", "safe");
                to_cold += u32::from(&*at == "a9");
                door.end(id, 0, &at, Outcome::Served);
            }
        }
        // An even part is 500 of 5000; at 0.2 of its capacity a fifth of that, less the part kept back.
        assert!((40..=120).contains(&to_cold), "{gateways} gateways: {to_cold}");
    }
}

#[test]
fn an_endpoint_that_is_nearly_warm_gets_nearly_an_even_part_also_while_answers_are_late() {
    let mut doors = fleet(GATEWAYS, &names(10), true, false);
    let (mut to_cold, mut all, mut id) = (0, 0, 0);
    for door in &mut doors {
        door.now += 0.9 * settings().slow_start_duration;
        for round in 0..20 {
            id += 1;
            let did = spread(door, id, &format!("c{id}"), false);
            let name = count(&did).map(|(name, _)| door.total(name, 1.0)).unwrap_or(did);
            let Some((id, at)) = sent(&name) else { continue };
            // The first rounds' answers are late, so that fewer fresh requests are taken.
            let latency = if round < 4 { 790.0 } else { 100.0 };
            all += u32::from(round >= 10);
            to_cold += u32::from(round >= 10 && &*at == "a9");
            door.end_after(latency, id, 0, &at, Outcome::Served);
        }
    }
    // An even part is a tenth.
    let share = f64::from(to_cold) / f64::from(all);
    assert!(all > 1000 && (0.08..=0.12).contains(&share), "{to_cold} of {all}");
}

#[test]
fn with_no_warm_endpoint_left_cold_ones_get_their_share() {
    let mut doors = fleet(GATEWAYS, &names(1), true, false);
    let mut gone_on = 0;
    for door in &mut doors {
        let mut did = spread(door, 1, "c", false);
        if let Some((name, _)) = count(&did) {
            did.extend(door.total(name, 1.0));
        }
        gone_on += sends(&did);
    }
    assert!((40..=130).contains(&gone_on), "about a sixth of {GATEWAYS}: {gone_on}");
}

#[test]
fn gateways_that_may_talk_tell_of_a_tenant_beyond_its_quota_and_heed_it() {
    let mut doors = fleet(GATEWAYS, &names(5), false, true);
    let (name, amount) = count(&spread(&mut doors[0], 1, "c", false)).expect("a call");
    let did = doors[0].total(name, 1000.0 + amount);
    let told =
        did.iter().find_map(|a| if let Action::Gossip { bytes } = a { Some(bytes.clone()) } else { None });
    assert!(refused(&did, 1));
    doors[1].tell(Event::GossipReceived { from: 0, bytes: told.expect("a word to the others") });
    for junk in [vec![], vec![1; 7], vec![255; 300]] {
        doors[1].tell(Event::GossipReceived { from: 0, bytes: junk });
    }
    // The counter turns all calls away: what is left is what the other gateway said.
    let mut gone_on = 0;
    for id in 1..=40 {
        let mut did = spread(&mut doors[1], id, "c", false);
        if let Some((name, _)) = count(&did) {
            let (outcome, latency) = (CounterResult::NotAdded, 1.0);
            did.extend(doors[1].tell(Event::CounterReply { key: name, result: outcome, latency }));
        }
        gone_on += sends(&did);
    }
    assert!(gone_on <= 4, "{gone_on} of 40 went on for a tenant a hundred times beyond its quota");
}

#[test]
fn a_client_s_repeat_reads_the_count_and_adds_nothing() {
    let mut doors = fleet(GATEWAYS, &names(5), false, false);
    let mut seen = Vec::new();
    for id in 1..=60 {
        // Quick answers put the counter at ease: repeats are asked about then.
        let did = spread(&mut doors[0], id, &format!("c{id}"), id > 30);
        if let Some((name, amount)) = count(&did) {
            doors[0].total(name, 1.0);
            seen.push((id > 30, amount));
        }
    }
    assert!(seen.iter().any(|(repeat, _)| *repeat), "some repeats are asked about");
    // A first try weighs more the later in its window it is told; a repeat is no new demand.
    assert!(
        seen.iter().all(|(repeat, amount)| if *repeat { *amount == 0.0 } else { *amount >= 1.0 }),
        "{seen:?}"
    );
}

#[test]
fn late_answers_shed_fresh_requests_and_the_fleet_recovers() {
    let mut doors = fleet(GATEWAYS, &names(5), false, false);
    let mut id = 0;
    let mut round = |door: &mut Door, latency: Millis, tries: u64| {
        let mut gone_on = 0;
        for _ in 0..tries {
            id += 1;
            let mut did = spread(door, id, &format!("c{id}"), false);
            if let Some((name, amount)) = count(&did) {
                did.extend(door.total(name, amount));
            }
            for (id, endpoint) in did.iter().filter_map(|a| sent(std::slice::from_ref(a))) {
                gone_on += 1;
                door.end_after(latency, id, 0, &endpoint, Outcome::Served);
            }
        }
        gone_on
    };
    assert_eq!(round(&mut doors[0], 100.0, 40), 40, "all are taken while answers come in time");
    round(&mut doors[0], 790.0, 40);
    assert!(round(&mut doors[0], 790.0, 40) < 30, "late answers shed");
    round(&mut doors[0], 100.0, 300);
    assert!(round(&mut doors[0], 100.0, 40) > 36, "and it recovers");
}

#[test]
fn gateways_whose_seeds_differ_in_the_last_bit_choose_apart() {
    let endpoints = names(10);
    let endpoints: Vec<&str> = endpoints.iter().map(String::as_str).collect();
    let chosen = |seed| {
        let mut door = Door::seeded(Settings { gateway_count: GATEWAYS, ..settings() }, seed, &endpoints);
        let mut choose = |id| {
            let at = door.served(id, &format!("c{id}"), "plain", "unsafe");
            door.end(id, 0, &at, Outcome::Served);
            at
        };
        (1..=10).map(&mut choose).collect::<Vec<_>>()
    };
    assert!(chosen(1000) != chosen(1001), "{:?}", chosen(1000));
}
