//! Deterministic subsetting, over all gateways of a fleet.

mod helper;
use helper::*;
use ryefront_policy::*;
use std::collections::{BTreeMap, BTreeSet};

fn entry(name: &str, zone: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry { name: name.into(), zone: format!("z{zone}").into(), cell: 0, state, started_at: None }
}

fn zone_of(name: &str, zones: usize) -> usize {
    name[1..].parse::<usize>().expect("a number") % zones
}

/// All gateways of a fleet that know endpoints `b0` to `b(count - 1)`, dealt out over the zones.
fn fleet(gateways: u32, count: usize, zones: usize) -> Vec<Door> {
    let list: Vec<_> = (0..count).map(|n| entry(&format!("b{n}"), n % zones, EndpointState::Ready)).collect();
    (0..gateways)
        .map(|number| {
            let settings = Settings { gateway_count: gateways, gateway_index: number, ..settings() };
            let mut door = Door::seeded(settings, 1000 + u64::from(number), &[]);
            door.tell(Event::EndpointSnapshot(list.clone()));
            door
        })
        .collect()
}

fn subsets(doors: &[Door]) -> Vec<BTreeSet<Name>> {
    doors.iter().map(|door| door.gateway.subset().cloned().collect()).collect()
}

/// How many gateways have each endpoint in their subsets.
fn shares(subsets: &[BTreeSet<Name>]) -> BTreeMap<Name, u32> {
    let mut shares = BTreeMap::new();
    subsets.iter().flatten().for_each(|name| *shares.entry(name.clone()).or_default() += 1);
    shares
}

#[test]
fn every_endpoint_is_in_as_many_subsets_as_any_other_and_subsets_are_small_and_alike() {
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
        let shares = shares(&subsets);
        let mean = subsets.iter().map(BTreeSet::len).sum::<usize>() as f64 / count as f64;
        let most = f64::from(*shares.values().max().expect("a share"));
        assert!(shares.len() == count && most / mean <= 1.25, "{gateways} {count} {zones}: {most} of {mean}");
        assert!(mean >= 8.0 || mean == f64::from(gateways), "{gateways} {count} {zones}: {mean}");
        let sizes = || subsets.iter().map(BTreeSet::len);
        let (least, largest) = (sizes().min().expect("one"), sizes().max().expect("one"));
        let even = sizes().sum::<usize>() as f64 / f64::from(gateways);
        assert!(
            least >= 1 && largest as f64 <= 2.2 * even + 1.0,
            "{gateways} {count} {zones}: {least} {largest}"
        );
    }
}

#[test]
fn few_gateways_work_with_all_endpoints() {
    for door in fleet(17, 40, 2) {
        assert_eq!(door.gateway.subset().count(), 40);
    }
}

#[test]
fn a_subset_holds_an_even_part_of_each_zone() {
    let subsets = subsets(&fleet(300, 400, 3));
    for subset in &subsets {
        let mut zones = [0; 3];
        subset.iter().for_each(|name| zones[zone_of(name, 3)] += 1);
        // 10.7 in all, 3.6 of each.
        assert!(zones.iter().all(|n| (1..=7).contains(n)), "{zones:?}");
    }
}

#[test]
fn a_lost_or_replaced_endpoint_changes_few_entries_of_few_subsets() {
    let mut doors = fleet(300, 200, 3);
    let (mut changed, changes) = (0, 20);
    for n in 0..changes {
        let before = subsets(&doors);
        let (old, new) = (format!("b{n}"), format!("b{}", 200 + n));
        let list = vec![entry(&old, n % 3, EndpointState::Removed), entry(&new, n % 3, EndpointState::Ready)];
        doors.iter_mut().for_each(|door| drop(door.tell(Event::EndpointDelta(list.clone()))));
        let entries = |(before, after): (&BTreeSet<Name>, &BTreeSet<Name>)| after.difference(before).count();
        changed += before.iter().zip(&subsets(&doors)).map(entries).sum::<usize>();
    }
    // The new endpoint alone is an entry of 8 subsets. A fifth of an entry of each of 300 is the bound.
    assert!((8 * changes..=60 * changes).contains(&changed), "{changed} entries for {changes} changes");
    // The subset comes from the list alone, however it came to be.
    let list: Vec<_> = (changes..200 + changes)
        .rev()
        .map(|n| entry(&format!("b{n}"), if n < 200 { n % 3 } else { (n - 200) % 3 }, EndpointState::Ready))
        .collect();
    let before = subsets(&doors);
    for (number, before) in (0..).zip(before) {
        let mut fresh =
            Door::seeded(Settings { gateway_count: 300, gateway_index: number, ..settings() }, 7, &[]);
        fresh.tell(Event::EndpointSnapshot(list.clone()));
        assert_eq!(fresh.gateway.subset().cloned().collect::<BTreeSet<_>>(), before);
    }
}

/// Sends one request of a tenant of its own; tells where it went.
fn attempt(door: &mut Door, id: RequestId) -> Option<Name> {
    let mut did = door.ask_of(id, &format!("c{id}"), "plain", "unsafe", false, 300);
    if let Some((name, _)) = count(&did) {
        did.extend(door.total(name, 1.0));
    }
    sent(&did).map(|(_, endpoint)| endpoint)
}

#[test]
fn a_gateway_whose_own_endpoints_fail_drain_or_are_cold_is_served_by_others() {
    let own = |door: &Door| door.gateway.subset().cloned().collect::<BTreeSet<_>>();
    // They take no connection: after one try each they are left alone, and others are tried.
    let mut door = fleet(300, 200, 3).swap_remove(7);
    let (mine, mut id, mut elsewhere) = (own(&door), 0, 0);
    while elsewhere < 20 {
        id += 1;
        assert!(id < 100, "{elsewhere} of {id} went elsewhere");
        let Some(at) = attempt(&mut door, id) else { continue };
        let failed = mine.contains(&at);
        elsewhere += u32::from(!failed);
        let did = door.end_after(400.0, id, 0, &at, if failed { Outcome::TimedOut } else { Outcome::Served });
        assert_eq!(sends(&did), 0);
    }
    // They drain: the subset is another one at once.
    let mut door = fleet(300, 200, 3).swap_remove(7);
    let drained: Vec<_> = mine.iter().map(|n| entry(n, zone_of(n, 3), EndpointState::Draining)).collect();
    door.tell(Event::EndpointDelta(drained));
    assert!(!own(&door).is_empty() && own(&door).is_disjoint(&mine));
    assert!((1..=20).all(|id| attempt(&mut door, id).is_none_or(|at| {
        door.end(id, 0, &at, Outcome::Served);
        !mine.contains(&at)
    })));
    // They start again, cold: they get their share, the warm ones that stand by the rest.
    let mut door = fleet(300, 200, 3).swap_remove(7);
    let born = Some(door.now);
    let cold = mine
        .iter()
        .map(|n| EndpointEntry { started_at: born, ..entry(n, zone_of(n, 3), EndpointState::Ready) });
    door.tell(Event::EndpointDelta(cold.collect()));
    let mut to_cold = 0;
    for id in 1..=400 {
        let at = attempt(&mut door, id).expect("an attempt");
        to_cold += u32::from(mine.contains(&at));
        door.end(id, 0, &at, Outcome::Served);
    }
    // At 0.2 of its capacity a cold one gets about 0.15 of an even part.
    assert!((20..=120).contains(&to_cold), "{to_cold} of 400");
}

#[test]
fn a_keyed_repeat_finds_its_cell_or_zone_outside_the_subset() {
    for group in [DedupScope::Cell, DedupScope::Zone] {
        let mut changed = Settings { gateway_count: 300, ..settings() };
        changed.classes[1].dedup_scope = group;
        let mut door = Door::seeded(changed, 5, &[]);
        // Each endpoint's neighbours are its cell; only two of a zone of their own are left after the first attempt.
        let list = |range: std::ops::Range<usize>| {
            let entry = |n: usize| EndpointEntry {
                cell: n as u64 / 4,
                ..entry(&format!("b{n}"), n / 4, EndpointState::Ready)
            };
            range.map(entry).collect::<Vec<_>>()
        };
        door.tell(Event::EndpointSnapshot(list(0..200)));
        let mut did = door.ask_of(1, "c", "plain", "keyed", false, 300);
        if let Some((name, _)) = count(&did) {
            did.extend(door.total(name, 1.0));
        }
        let (_, at) = sent(&did).expect("an attempt");
        let again = sent(&door.end(1, 0, &at, Outcome::ConnectionReset)).expect("a further attempt").1;
        let cell = |name: &Name| name[1..].parse::<usize>().expect("a number") / 4;
        assert_eq!(cell(&at), cell(&again), "{group:?}");
    }
}
