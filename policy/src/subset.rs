//! Deterministic subsetting: which endpoints one of many gateways works with.
//!
//! The problem: if each of many gateways used each endpoint, connections, handshakes and cold starts would
//! cost the fleet gateways times endpoints; if each drew its own by chance, some endpoints would be many
//! gateways' and others nobody's. So the subset is computed, from the gateway's number and the list alone,
//! and needs no talk.
//!
//! Gateways are dealt into `GATEWAYS_EACH` groups. Each group has its own ring: a hash puts every endpoint
//! into one of as many bins as the group has gateways, and a bin is one gateway's. That is rendezvous
//! hashing with bounded loads: a bin that has more than its even part, and some slack, passes the rest on
//! to the next. So each endpoint is in the subset of one gateway of each group, subsets are about alike in
//! size, and an endpoint that comes or goes changes only its own bins and those that a passed-on endpoint
//! reaches. Zones have rings of their own, so every subset holds an even part of each zone and none depends
//! on one of them.

use crate::Name;
use crate::hash::{hash, mix, unit};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// So many gateways send to each endpoint, at least: the more, the less the traffic of one gateway weighs at
/// an endpoint; the fewer, the fewer connections each endpoint holds, and the more requests share one.
const GATEWAYS_EACH: u32 = 8;
/// A subset has so many endpoints at least, if there are as many: what one or two of them cannot bear the
/// others can. Where gateways are so many that bins are smaller, several bins in a row make one subset.
const LEAST: f64 = 4.0;
/// Bins take so much more than an even part: little, or sizes differ; some, or a change is passed on far.
/// With this much, subsets of 5 are of 3 to 6, and a replaced endpoint is a new entry of 51 of 300 subsets
/// where 8 would be the least.
const SLACK: f64 = 0.02;
/// So many further endpoints stand by for those of the subset.
const RESERVE: usize = 16;

/// The place of an endpoint in the tables of its owner.
pub(crate) type Slot = usize;

/// The endpoints of one zone that may be sent something new, in bins by their hash.
struct Ring {
    bins: Vec<Vec<(u64, Slot)>>,
    size: usize,
    /// From 0 to 1: where bins that take one more begin, as an even part is no whole number.
    shift: f64,
}

impl Ring {
    fn bin(&self, position: u64) -> usize {
        ((u128::from(position) * self.bins.len() as u128) >> 64) as usize
    }

    fn insert(&mut self, position: u64, slot: Slot) {
        let bin = self.bin(position);
        let bin = &mut self.bins[bin];
        bin.insert(bin.partition_point(|entry| *entry < (position, slot)), (position, slot));
        self.size += 1;
    }

    fn remove(&mut self, position: u64, slot: Slot) {
        let bin = self.bin(position);
        let before = self.bins[bin].len();
        self.bins[bin].retain(|entry| *entry != (position, slot));
        self.size -= before - self.bins[bin].len();
    }

    /// What falls to `joined` bins from `first` on, once each has passed on what it has too much.
    fn dealt(&self, first: usize, joined: usize, to: &mut Vec<(u64, Slot)>) {
        let count = self.bins.len();
        let even = self.size as f64 / count as f64 * (1.0 + SLACK);
        let up_to = |bin: usize| (bin as f64 * even + self.shift) as usize;
        let most = |bin: usize| up_to(bin + 1) - up_to(bin);
        // Back from the first bin: what reaches it comes from as far as bins hold more than they take in all.
        let (mut excess, mut largest, mut before) = (0, 0, 0);
        for (step, bin) in (0..first).rev().chain((first..count).rev()).enumerate() {
            excess += self.bins[bin].len() as i64 - most(bin) as i64;
            if excess > largest {
                (largest, before) = (excess, step + 1);
            }
        }
        let mut carried = VecDeque::new();
        for step in 0..before + joined {
            let bin = (first + count - before + step) % count;
            let (own, most) = (&self.bins[bin], most(bin));
            let (kept, rest) = own.split_at(own.len().min(most));
            let taken: Vec<_> = carried.drain(..carried.len().min(most - kept.len())).collect();
            carried.extend(rest);
            if step >= before {
                to.extend(kept.iter().copied().chain(taken));
            }
        }
    }

    /// The endpoints of the bins from `first` on, all the way round.
    fn from(&self, first: usize) -> impl Iterator<Item = Slot> {
        let (before, after) = self.bins.split_at(first % self.bins.len());
        after.iter().chain(before).flatten().map(|(_, slot)| *slot)
    }
}

/// The subset of one gateway. It follows the list: what is told of one endpoint touches its bin alone, and
/// what that leads to is worked out once for all that one list tells (`refresh`).
#[derive(Default)]
pub(crate) struct Subset {
    /// The group's number, the gateway's bin and how many bins there are.
    group: u64,
    bin: usize,
    bins: usize,
    rings: BTreeMap<Name, Ring>,
    cells: FxHashMap<u64, Vec<Slot>>,
    ready: usize,
    stale: bool,
    chosen: Vec<Slot>,
    reserve: Vec<Slot>,
}

impl Subset {
    /// The subset of a gateway, by its number among all; where `whole` is set it is the whole fleet.
    pub(crate) fn new(number: u32, gateways: u32, whole: bool) -> Self {
        let groups = if whole { gateways.max(1) } else { GATEWAYS_EACH.min(gateways.max(1)) };
        let group = number % groups;
        let bins = gateways.saturating_sub(group).div_ceil(groups).max(1) as usize;
        Self { group: group.into(), bin: (number / groups) as usize % bins, bins, ..Self::default() }
    }

    /// Where something with this hash stands on the group's ring.
    fn position(&self, salt: u64) -> u64 {
        mix(salt ^ mix(self.group + 1))
    }

    /// An endpoint may be sent something new from now on; its salt is a hash of its name.
    pub(crate) fn insert(&mut self, slot: Slot, salt: u64, zone: &Name, cell: u64) {
        let (position, bins) = (self.position(salt), self.bins);
        if !self.rings.contains_key(zone) {
            let shift = unit(self.position(hash(zone)));
            self.rings.insert(zone.clone(), Ring { bins: vec![Vec::new(); bins], size: 0, shift });
        }
        if let Some(ring) = self.rings.get_mut(zone) {
            ring.insert(position, slot);
        }
        self.cells.entry(cell).or_default().push(slot);
        self.ready += 1;
        self.stale = true;
    }

    /// An endpoint that was inserted so may be sent nothing new any more.
    pub(crate) fn remove(&mut self, slot: Slot, salt: u64, zone: &Name, cell: u64) {
        let position = self.position(salt);
        if let Some(ring) = self.rings.get_mut(zone) {
            ring.remove(position, slot);
            if ring.size == 0 {
                self.rings.remove(zone);
            }
        }
        if let Some(slots) = self.cells.get_mut(&cell) {
            slots.retain(|s| *s != slot);
            if slots.is_empty() {
                self.cells.remove(&cell);
            }
        }
        self.ready -= 1;
        self.stale = true;
    }

    /// Brings the subset up to what has been told.
    pub(crate) fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let (bin, bins) = (self.bin, self.bins);
        let joined = (LEAST * bins as f64 / self.ready.max(1) as f64).ceil() as usize;
        let joined = joined.clamp(1, bins);
        let mut dealt = Vec::new();
        self.rings.values().for_each(|ring| ring.dealt(bin, joined, &mut dealt));
        // By hash, so that neighbours here are of different zones.
        dealt.sort_unstable();
        self.chosen = dealt.into_iter().map(|(_, slot)| slot).collect();
        self.reserve.clear();
        if self.chosen.len() < self.ready {
            let (mut chosen, each) = (self.chosen.clone(), RESERVE.div_ceil(self.rings.len()));
            chosen.sort_unstable();
            for ring in self.rings.values() {
                let others = ring.from(bin).filter(|slot| chosen.binary_search(slot).is_err());
                self.reserve.extend(others.take(each));
            }
        }
    }

    /// How many endpoints of the whole fleet may be sent something new.
    pub(crate) fn ready(&self) -> usize {
        self.ready
    }

    /// This gateway's own endpoints.
    pub(crate) fn chosen(&self) -> &[Slot] {
        &self.chosen
    }

    /// Those that stand by for them.
    pub(crate) fn reserve(&self) -> &[Slot] {
        &self.reserve
    }

    /// Endpoints of a zone, the gateway's own first: as many as stand by at most.
    pub(crate) fn of_zone(&self, zone: &Name) -> impl Iterator<Item = Slot> {
        self.rings.get(zone).into_iter().flat_map(|ring| ring.from(self.bin)).take(RESERVE)
    }

    /// The endpoints of a cell.
    pub(crate) fn of_cell(&self, cell: u64) -> &[Slot] {
        self.cells.get(&cell).map_or(&[], Vec::as_slice)
    }
}
