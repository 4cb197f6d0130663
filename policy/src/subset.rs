//! Deterministic subsetting: which endpoints one of many gateways works with.
//!
//! If each of many gateways used each endpoint, connections, handshakes and cold starts would cost the fleet
//! gateways times endpoints. If each drew a subset at random, some endpoints would be in many subsets and
//! others in none. So the subset is computed from the gateway's index and the endpoint list alone, without
//! coordination.
//!
//! Gateways are split into [`GATEWAYS_PER_ENDPOINT`] groups. Each group has its own ring: a hash puts every
//! endpoint into one of as many bins as the group has gateways, and each bin belongs to one gateway. This is
//! consistent hashing with bounded loads: a bin that holds more than its even part, and some slack, passes
//! the rest on to the next. So each endpoint is in the subset of one gateway of each group, subsets are about
//! equal in size, and an endpoint that comes or goes changes only its own bins and those that a passed-on
//! endpoint reaches. Zones have rings of their own, so that every subset holds an even part of each zone and
//! none depends on a single one.

use crate::Name;
use crate::hash::{hash, mix, uniform};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// The number of gateways that send to each endpoint, at least. With more, one gateway's traffic matters less
/// at an endpoint; with fewer, each endpoint holds fewer connections and more requests share one.
const GATEWAYS_PER_ENDPOINT: u32 = 8;
/// The smallest subset, if there are as many endpoints. Where bins are smaller, several consecutive ones make
/// up one subset.
const MIN_SUBSET_SIZE: f64 = 4.0;
/// Bins take this fraction more than an even part. With less, sizes are more even; with more, a change is
/// passed on less far.
const BIN_SLACK: f64 = 0.02;
/// The number of standby endpoints beside the subset.
const STANDBY_SIZE: usize = 16;

/// The index of an endpoint in the table of its owner.
pub(crate) type Slot = usize;

/// An endpoint on a ring; entries are ordered by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingEntry {
    position: u64,
    slot: Slot,
}

/// The ready endpoints of one zone, in bins by their hash.
struct Ring {
    bins: Vec<Vec<RingEntry>>,
    size: usize,
    /// From 0 to 1: which bins take one endpoint more, as an even part is not a whole number.
    shift: f64,
}

impl Ring {
    fn bin_of(&self, position: u64) -> usize {
        ((u128::from(position) * self.bins.len() as u128) >> 64) as usize
    }

    fn insert(&mut self, position: u64, slot: Slot) {
        let index = self.bin_of(position);
        let bin = &mut self.bins[index];
        let new = RingEntry { position, slot };
        bin.insert(bin.partition_point(|entry| *entry < new), new);
        self.size += 1;
    }

    fn remove(&mut self, position: u64, slot: Slot) {
        let bin = self.bin_of(position);
        let before = self.bins[bin].len();
        self.bins[bin].retain(|entry| *entry != RingEntry { position, slot });
        self.size -= before - self.bins[bin].len();
    }

    /// Returns how many endpoints a bin keeps at most.
    fn capacity(&self, bin: usize) -> usize {
        let even_part = self.size as f64 / self.bins.len() as f64 * (1.0 + BIN_SLACK);
        let up_to = |bin: usize| (bin as f64 * even_part + self.shift) as usize;
        up_to(bin + 1) - up_to(bin)
    }

    /// Returns how many bins before `first` pass endpoints on to it.
    fn bins_passing_on_to(&self, first: usize) -> usize {
        let count = self.bins.len();
        let mut excess = 0;
        let mut largest_excess = 0;
        let mut bins = 0;
        for (step, bin) in (0..first).rev().chain((first..count).rev()).enumerate() {
            excess += self.bins[bin].len() as i64 - self.capacity(bin) as i64;
            if excess > largest_excess {
                largest_excess = excess;
                bins = step + 1;
            }
        }
        bins
    }

    /// Appends the endpoints of `joined` consecutive bins from `first` on, once each bin has passed on its
    /// excess.
    fn assign(&self, first: usize, joined: usize, assigned: &mut Vec<RingEntry>) {
        let count = self.bins.len();
        let before = self.bins_passing_on_to(first);
        let mut passed_on = VecDeque::new();
        for step in 0..before + joined {
            let bin = (first + count - before + step) % count;
            let capacity = self.capacity(bin);
            let entries = &self.bins[bin];
            let (kept, excess) = entries.split_at(entries.len().min(capacity));
            let free = capacity - kept.len();
            let received: Vec<_> = passed_on.drain(..passed_on.len().min(free)).collect();
            passed_on.extend(excess);
            if step >= before {
                assigned.extend(kept.iter().copied().chain(received));
            }
        }
    }

    /// Iterates over the endpoints of all bins, from `first` on.
    fn iter_from(&self, first: usize) -> impl Iterator<Item = Slot> {
        let (before, after) = self.bins.split_at(first % self.bins.len());
        after.iter().chain(before).flatten().map(|entry| entry.slot)
    }
}

/// The subset of one gateway.
///
/// It follows the endpoint list: a change of one endpoint touches its bin alone, and the consequences are
/// computed once for all changes of a list, by [`Subset::refresh`].
#[derive(Default)]
pub(crate) struct Subset {
    /// The group of the gateway.
    group: u64,
    /// The gateway's bin.
    bin: usize,
    /// The number of bins of its group.
    bins: usize,
    ring_by_zone: BTreeMap<Name, Ring>,
    slots_by_cell: FxHashMap<u64, Vec<Slot>>,
    /// The number of ready endpoints.
    ready: usize,
    /// Whether endpoints were inserted or removed since members and standby endpoints were computed.
    stale: bool,
    members: Vec<Slot>,
    standby: Vec<Slot>,
}

impl Subset {
    /// Returns the subset of the gateway with this index, one of [`GATEWAYS_PER_ENDPOINT`] for each endpoint.
    pub(crate) fn new(gateway_index: u32, gateway_count: u32) -> Self {
        Self::with_groups(gateway_index, gateway_count, GATEWAYS_PER_ENDPOINT.min(gateway_count.max(1)))
    }

    /// Returns a subset that holds all endpoints, for a gateway of a small fleet.
    pub(crate) fn of_all_endpoints(gateway_index: u32, gateway_count: u32) -> Self {
        Self::with_groups(gateway_index, gateway_count, gateway_count.max(1))
    }

    fn with_groups(gateway_index: u32, gateway_count: u32, groups: u32) -> Self {
        let group = gateway_index % groups;
        let bins = gateway_count.saturating_sub(group).div_ceil(groups).max(1) as usize;
        let bin = (gateway_index / groups) as usize % bins;
        Self { group: group.into(), bin, bins, ..Self::default() }
    }

    /// Returns the position of a hash on the group's rings.
    fn position(&self, salt: u64) -> u64 {
        mix(salt ^ mix(self.group + 1))
    }

    /// Adds an endpoint that is ready; its salt is a hash of its name.
    pub(crate) fn insert(&mut self, slot: Slot, salt: u64, zone: &Name, cell: u64) {
        let position = self.position(salt);
        if !self.ring_by_zone.contains_key(zone) {
            let shift = uniform(self.position(hash(zone)));
            let ring = Ring { bins: vec![Vec::new(); self.bins], size: 0, shift };
            self.ring_by_zone.insert(zone.clone(), ring);
        }
        if let Some(ring) = self.ring_by_zone.get_mut(zone) {
            ring.insert(position, slot);
        }
        self.slots_by_cell.entry(cell).or_default().push(slot);
        self.ready += 1;
        self.stale = true;
    }

    /// Removes an endpoint that was inserted with the same salt, zone and cell.
    pub(crate) fn remove(&mut self, slot: Slot, salt: u64, zone: &Name, cell: u64) {
        let position = self.position(salt);
        if let Some(ring) = self.ring_by_zone.get_mut(zone) {
            ring.remove(position, slot);
            if ring.size == 0 {
                self.ring_by_zone.remove(zone);
            }
        }
        if let Some(slots) = self.slots_by_cell.get_mut(&cell) {
            slots.retain(|other| *other != slot);
            if slots.is_empty() {
                self.slots_by_cell.remove(&cell);
            }
        }
        self.ready -= 1;
        self.stale = true;
    }

    /// Computes members and standby endpoints anew, if endpoints were inserted or removed.
    pub(crate) fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let wanted_bins = (MIN_SUBSET_SIZE * self.bins as f64 / self.ready.max(1) as f64).ceil() as usize;
        let joined = wanted_bins.clamp(1, self.bins);
        let mut assigned = Vec::new();
        for ring in self.ring_by_zone.values() {
            ring.assign(self.bin, joined, &mut assigned);
        }
        // Sorted by hash, so that neighbours are of different zones.
        assigned.sort_unstable();
        self.members = assigned.into_iter().map(|entry| entry.slot).collect();
        self.refresh_standby();
    }

    fn refresh_standby(&mut self) {
        self.standby.clear();
        if self.members.len() >= self.ready {
            return;
        }
        let per_zone = STANDBY_SIZE.div_ceil(self.ring_by_zone.len());
        let mut members = self.members.clone();
        members.sort_unstable();
        for ring in self.ring_by_zone.values() {
            let others = ring.iter_from(self.bin).filter(|slot| members.binary_search(slot).is_err());
            self.standby.extend(others.take(per_zone));
        }
    }

    /// Returns how many endpoints are ready, of all that are listed.
    pub(crate) fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the endpoints of the subset.
    pub(crate) fn members(&self) -> &[Slot] {
        &self.members
    }

    /// Returns the endpoints that take over where the members have no capacity.
    pub(crate) fn standby(&self) -> &[Slot] {
        &self.standby
    }

    /// Iterates over endpoints of a zone, from the gateway's bin on, up to the number of standby endpoints.
    pub(crate) fn of_zone(&self, zone: &Name) -> impl Iterator<Item = Slot> {
        let ring = self.ring_by_zone.get(zone).into_iter();
        ring.flat_map(|ring| ring.iter_from(self.bin)).take(STANDBY_SIZE)
    }

    /// Returns the endpoints of a cell.
    pub(crate) fn of_cell(&self, cell: u64) -> &[Slot] {
        self.slots_by_cell.get(&cell).map_or(&[], Vec::as_slice)
    }
}
