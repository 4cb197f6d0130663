//! Deterministic subsetting: the subsets of all gateways of a fleet, and the choice of endpoints within them.

mod common;
use common::*;
use ryefront_policy::*;
use std::collections::{BTreeMap, BTreeSet};

fn entry(name: &str, zone: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry { name: name.into(), zone: format!("z{zone}").into(), cell: 0, state, started_at: None }
}

fn zone_of(name: &str, zones: usize) -> usize {
    name[1..].parse::<usize>().expect("a number") % zones
}

/// Returns the gateways of a fleet with endpoints `b0` to `b(count - 1)`, spread evenly over the zones.
fn fleet(gateways: u32, count: usize, zones: usize) -> Vec<TestGateway> {
    let list: Vec<_> = (0..count).map(|n| entry(&format!("b{n}"), n % zones, EndpointState::Ready)).collect();
    (0..gateways)
        .map(|number| {
            let settings = Settings { gateway_count: gateways, gateway_index: number, ..settings() };
            let mut gateway = TestGateway::seeded(settings, 1000 + u64::from(number), &[]);
            gateway.handle(Event::EndpointSnapshot(list.clone()));
            gateway
        })
        .collect()
}

fn subsets(fleet_gateways: &[TestGateway]) -> Vec<BTreeSet<Name>> {
    fleet_gateways.iter().map(|gateway| gateway.engine.subset().cloned().collect()).collect()
}

/// Returns for each endpoint how many gateways have it in their subset.
fn gateways_by_endpoint(subsets: &[BTreeSet<Name>]) -> BTreeMap<Name, u32> {
    let mut counts = BTreeMap::new();
    subsets.iter().flatten().for_each(|name| *counts.entry(name.clone()).or_default() += 1);
    counts
}

#[test]
fn endpoints_are_in_similarly_many_subsets_and_subsets_are_of_similar_size() {
    for (gateways, count, zones) in [
        (18, 10, 2),
        (30, 20, 2),
        (100, 60, 3),
        (300, 200, 1),
        (300, 200, 3),
        (300, 151, 5),
        (301, 37, 2),
        (999, 800, 6),
    ] {
        let subsets = subsets(&fleet(gateways, count, zones));
        let setup = format!("{gateways} gateways, {count} endpoints, {zones} zones");
        let gateway_counts = gateways_by_endpoint(&subsets);
        let mean = subsets.iter().map(BTreeSet::len).sum::<usize>() as f64 / count as f64;
        let most = f64::from(*gateway_counts.values().max().expect("an endpoint"));
        assert!(
            gateway_counts.len() == count && most / mean <= 1.25,
            "{setup}: at most {most} gateways per endpoint, {mean} on average"
        );
        assert!(
            mean >= 8.0 || mean == f64::from(gateways),
            "{setup}: {mean} gateways per endpoint on average"
        );
        let sizes = || subsets.iter().map(BTreeSet::len);
        let smallest = sizes().min().expect("a subset");
        let largest = sizes().max().expect("a subset");
        let mean_size = sizes().sum::<usize>() as f64 / f64::from(gateways);
        assert!(
            smallest >= 1 && largest as f64 <= 2.2 * mean_size + 1.0,
            "{setup}: subsets of {smallest} to {largest} endpoints"
        );
    }
}

#[test]
fn subset_of_a_small_fleet_holds_all_endpoints() {
    for gateway in fleet(17, 40, 2) {
        assert_eq!(gateway.engine.subset().count(), 40);
    }
}

#[test]
fn subset_holds_an_even_share_of_each_zone() {
    let subsets = subsets(&fleet(300, 400, 3));

    for subset in &subsets {
        let mut zones = [0; 3];
        subset.iter().for_each(|name| zones[zone_of(name, 3)] += 1);
        // A subset has 10.7 endpoints on average, 3.6 of each zone.
        assert!(zones.iter().all(|n| (1..=7).contains(n)), "{zones:?}");
    }
}

#[test]
fn replaced_endpoint_changes_few_entries_of_few_subsets() {
    let mut fleet_gateways = fleet(300, 200, 3);

    let replacements = 20;
    let mut changed_entries = 0;
    for n in 0..replacements {
        let before = subsets(&fleet_gateways);
        let (old, new) = (format!("b{n}"), format!("b{}", 200 + n));
        let list = vec![entry(&old, n % 3, EndpointState::Removed), entry(&new, n % 3, EndpointState::Ready)];
        fleet_gateways
            .iter_mut()
            .for_each(|gateway| drop(gateway.handle(Event::EndpointDelta(list.clone()))));
        let entries = |(before, after): (&BTreeSet<Name>, &BTreeSet<Name>)| after.difference(before).count();
        changed_entries += before.iter().zip(&subsets(&fleet_gateways)).map(entries).sum::<usize>();
    }

    // The new endpoint itself is in 8 subsets. The upper bound is a fifth of an entry per gateway, 60 entries
    // for 300 gateways.
    assert!(
        (8 * replacements..=60 * replacements).contains(&changed_entries),
        "{changed_entries} new subset entries after {replacements} replacements"
    );

    // The subset depends on the current endpoint list only, not on the changes that led to it.
    let list: Vec<_> = (replacements..200 + replacements)
        .rev()
        .map(|n| entry(&format!("b{n}"), if n < 200 { n % 3 } else { (n - 200) % 3 }, EndpointState::Ready))
        .collect();
    let before = subsets(&fleet_gateways);
    for (number, before) in (0..).zip(before) {
        let mut fresh =
            TestGateway::seeded(Settings { gateway_count: 300, gateway_index: number, ..settings() }, 7, &[]);
        fresh.handle(Event::EndpointSnapshot(list.clone()));
        assert_eq!(fresh.engine.subset().cloned().collect::<BTreeSet<_>>(), before);
    }
}

/// Makes one request of a tenant with no other requests. Returns the endpoint that it was forwarded to.
fn forward_request(gateway: &mut TestGateway, id: RequestId) -> Option<Name> {
    let arrival = arrival(id, &format!("c{id}"), "plain", "non_idempotent");
    let mut actions = gateway.handle(Event::RequestArrived(Arrival { gateways_per_tenant: 300, ..arrival }));
    if let Some(CounterCall { key, .. }) = counter_call(&actions) {
        actions.extend(gateway.reply_total(key, 1.0));
    }
    forwarded(&actions).map(|(_, endpoint)| endpoint)
}

fn subset_of(gateway: &TestGateway) -> BTreeSet<Name> {
    gateway.engine.subset().cloned().collect()
}

#[test]
fn standby_endpoints_take_over_when_the_subset_fails() {
    let mut gateway = fleet(300, 200, 3).swap_remove(7);
    let members = subset_of(&gateway);
    let mut id = 0;
    let mut outside_subset = 0;

    // Each member of the subset is ejected after one timeout. Then standby endpoints are used.
    while outside_subset < 20 {
        id += 1;
        assert!(id < 100, "only {outside_subset} of {id} requests were forwarded outside the subset");
        let Some(chosen) = forward_request(&mut gateway, id) else { continue };
        let failed = members.contains(&chosen);
        outside_subset += u32::from(!failed);
        let outcome = if failed { Outcome::TimedOut } else { Outcome::Served };
        let actions = gateway.end_attempt_after(400.0, id, 0, &chosen, outcome);
        assert_eq!(forward_count(&actions), 0);
    }
}

#[test]
fn subset_changes_at_once_when_its_endpoints_drain() {
    let mut gateway = fleet(300, 200, 3).swap_remove(7);
    let members = subset_of(&gateway);
    let drained: Vec<_> =
        members.iter().map(|name| entry(name, zone_of(name, 3), EndpointState::Draining)).collect();

    gateway.handle(Event::EndpointDelta(drained));

    assert!(!subset_of(&gateway).is_empty() && subset_of(&gateway).is_disjoint(&members));
    assert!((1..=20).all(|id| forward_request(&mut gateway, id).is_none_or(|chosen| {
        gateway.end_attempt(id, 0, &chosen, Outcome::Served);
        !members.contains(&chosen)
    })));
}

#[test]
fn subset_in_slow_start_gets_its_share_and_standby_endpoints_the_rest() {
    let mut gateway = fleet(300, 200, 3).swap_remove(7);
    let members = subset_of(&gateway);
    let started_at = Some(gateway.now);
    let ready = |name: &Name| entry(name, zone_of(name, 3), EndpointState::Ready);
    let restarted = members.iter().map(|name| EndpointEntry { started_at, ..ready(name) });
    gateway.handle(Event::EndpointDelta(restarted.collect()));
    let mut to_slow_start = 0;

    for id in 1..=400 {
        let chosen = forward_request(&mut gateway, id).expect("an attempt");
        to_slow_start += u32::from(members.contains(&chosen));
        gateway.end_attempt(id, 0, &chosen, Outcome::Served);
    }

    // At 0.2 of its capacity an endpoint gets about 0.15 of an even share.
    assert!((20..=120).contains(&to_slow_start), "{to_slow_start} of 400");
}

#[test]
fn keyed_retry_finds_its_cell_or_zone_outside_the_subset() {
    for dedup_scope in [DedupScope::Cell, DedupScope::Zone] {
        let mut settings = Settings { gateway_count: 300, ..settings() };
        settings.classes[1].dedup_scope = dedup_scope;
        let mut gateway = TestGateway::seeded(settings, 5, &[]);
        // Each four consecutive endpoints share a cell and a zone.
        let list = |range: std::ops::Range<usize>| {
            let entry = |n: usize| EndpointEntry {
                cell: n as u64 / 4,
                ..entry(&format!("b{n}"), n / 4, EndpointState::Ready)
            };
            range.map(entry).collect::<Vec<_>>()
        };
        gateway.handle(Event::EndpointSnapshot(list(0..200)));
        let arrival = arrival(1, "c", "plain", "keyed");
        let mut actions =
            gateway.handle(Event::RequestArrived(Arrival { gateways_per_tenant: 300, ..arrival }));
        if let Some(CounterCall { key, .. }) = counter_call(&actions) {
            actions.extend(gateway.reply_total(key, 1.0));
        }
        let (_, chosen) = forwarded(&actions).expect("an attempt");
        let retried =
            forwarded(&gateway.end_attempt(1, 0, &chosen, Outcome::ConnectionReset)).expect("a retry").1;
        let cell = |name: &Name| name[1..].parse::<usize>().expect("a number") / 4;

        assert_eq!(cell(&chosen), cell(&retried), "{dedup_scope:?}");
    }
}
