//! Deterministic subsetting: which endpoints each gateway of a large fleet sends requests to.
//!
//! If every gateway sent to every endpoint, the number of connections, handshakes and cold starts would be
//! the number of gateways times the number of endpoints. If each gateway drew its subset at random, some
//! endpoints would be in many subsets and others in none. Therefore the subset is computed from the gateway's
//! index and the endpoint list alone, without coordination.
//!
//! The gateways are split into [`GATEWAYS_PER_ENDPOINT`] groups, each with a hash ring of its own. The ring
//! has one bin for each gateway of the group, and an endpoint's hash selects its bin. This is consistent
//! hashing with bounded loads: endpoints beyond the capacity of a bin, which is an even share and some slack,
//! overflow to the next bin. So each endpoint is in the subset of one gateway of each group, and subsets are
//! of similar size. Adding or removing an endpoint affects only its own bin in each group and the bins that
//! the overflow reaches. Each zone has rings of its own, so that every subset holds an even share of each
//! zone and does not depend on a single one.

use crate::Name;
use crate::hash::{hash, mix, uniform};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// The minimum number of gateways that send to each endpoint. With more, the traffic of a single gateway
/// matters less to an endpoint; with fewer, an endpoint has fewer connections with more requests on each.
const GATEWAYS_PER_ENDPOINT: u32 = 8;
/// The minimum size of a subset, if there are that many endpoints. If bins are smaller, a subset consists of
/// several consecutive bins.
const MIN_SUBSET_SIZE: f64 = 4.0;
/// The capacity of a bin beyond an even share, as a fraction. With less slack, subset sizes are more even;
/// with more, the overflow of a change reaches fewer bins.
const BIN_SLACK: f64 = 0.02;
/// The number of standby endpoints outside the subset.
const STANDBY_SIZE: usize = 16;

/// The index of an endpoint in the endpoint table.
pub(crate) type Slot = usize;

/// An endpoint on a ring. Entries are ordered by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingEntry {
    position: u64,
    slot: Slot,
}

/// The hash ring of one zone: its ready endpoints, in bins by their position.
struct Ring {
    bins: Vec<Vec<RingEntry>>,
    /// The number of endpoints in all bins.
    size: usize,
    /// From 0 to 1: selects the bins whose capacity is rounded up, as an even share is not a whole number.
    rounding_offset: f64,
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

    /// Returns the maximum number of endpoints that are assigned to a bin.
    fn capacity(&self, bin: usize) -> usize {
        let mean_capacity = self.size as f64 / self.bins.len() as f64 * (1.0 + BIN_SLACK);
        let capacity_before = |bin: usize| (bin as f64 * mean_capacity + self.rounding_offset) as usize;
        capacity_before(bin + 1) - capacity_before(bin)
    }

    /// Returns how many consecutive bins before `first` contribute to the overflow into it.
    fn bins_overflowing_into(&self, first: usize) -> usize {
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

    /// Appends the endpoints assigned to `bin_count` consecutive bins from `first` on, after the overflow of
    /// all bins.
    fn assign(&self, first: usize, bin_count: usize, assigned: &mut Vec<RingEntry>) {
        let count = self.bins.len();
        let before = self.bins_overflowing_into(first);
        let mut overflow = VecDeque::new();
        for step in 0..before + bin_count {
            let bin = (first + count - before + step) % count;
            let capacity = self.capacity(bin);
            let entries = &self.bins[bin];
            let (kept, excess) = entries.split_at(entries.len().min(capacity));
            let free = capacity - kept.len();
            let received: Vec<_> = overflow.drain(..overflow.len().min(free)).collect();
            overflow.extend(excess);
            if step >= before {
                assigned.extend(kept.iter().copied().chain(received));
            }
        }
    }

    /// Iterates over the endpoints of all bins, starting with bin `first`.
    fn iter_from(&self, first: usize) -> impl Iterator<Item = Slot> {
        let (before, after) = self.bins.split_at(first % self.bins.len());
        after.iter().chain(before).flatten().map(|entry| entry.slot)
    }
}

/// The subset of one gateway.
///
/// It is updated from the endpoint list: each added or removed endpoint changes only its bin, and
/// [`Subset::refresh`] recomputes the result once for all changes of a list.
#[derive(Default)]
pub(crate) struct Subset {
    /// The gateway's group.
    group: u64,
    /// The gateway's bin on the rings of its group.
    bin: usize,
    /// The number of bins of each ring.
    bin_count: usize,
    ring_by_zone: BTreeMap<Name, Ring>,
    slots_by_cell: FxHashMap<u64, Vec<Slot>>,
    /// The number of ready endpoints, in the subset or not.
    ready_count: usize,
    /// Whether endpoints were inserted or removed since the last [`Subset::refresh`].
    stale: bool,
    members: Vec<Slot>,
    standby: Vec<Slot>,
}

impl Subset {
    /// Returns an empty subset for a gateway of a large fleet: each endpoint is in
    /// [`GATEWAYS_PER_ENDPOINT`] subsets.
    pub(crate) fn new(gateway_index: u32, gateway_count: u32) -> Self {
        Self::with_groups(gateway_index, gateway_count, GATEWAYS_PER_ENDPOINT.min(gateway_count.max(1)))
    }

    /// Returns an empty subset for a gateway of a small fleet: it holds every endpoint that is inserted.
    pub(crate) fn of_all_endpoints(gateway_index: u32, gateway_count: u32) -> Self {
        Self::with_groups(gateway_index, gateway_count, gateway_count.max(1))
    }

    fn with_groups(gateway_index: u32, gateway_count: u32, groups: u32) -> Self {
        let group = gateway_index % groups;
        let bin_count = gateway_count.saturating_sub(group).div_ceil(groups).max(1) as usize;
        let bin = (gateway_index / groups) as usize % bin_count;
        Self { group: group.into(), bin, bin_count, ..Self::default() }
    }

    /// Returns the position of a hashed name on the group's rings.
    fn position(&self, name_hash: u64) -> u64 {
        mix(name_hash ^ mix(self.group + 1))
    }

    /// Inserts a ready endpoint.
    pub(crate) fn insert(&mut self, slot: Slot, name_hash: u64, zone: &Name, cell: u64) {
        let position = self.position(name_hash);
        if !self.ring_by_zone.contains_key(zone) {
            let rounding_offset = uniform(self.position(hash(zone)));
            let ring = Ring { bins: vec![Vec::new(); self.bin_count], size: 0, rounding_offset };
            self.ring_by_zone.insert(zone.clone(), ring);
        }
        if let Some(ring) = self.ring_by_zone.get_mut(zone) {
            ring.insert(position, slot);
        }
        self.slots_by_cell.entry(cell).or_default().push(slot);
        self.ready_count += 1;
        self.stale = true;
    }

    /// Removes an endpoint that was inserted with the same name hash, zone and cell.
    pub(crate) fn remove(&mut self, slot: Slot, name_hash: u64, zone: &Name, cell: u64) {
        let position = self.position(name_hash);
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
        self.ready_count -= 1;
        self.stale = true;
    }

    /// Recomputes members and standby endpoints if endpoints were inserted or removed.
    pub(crate) fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let bins_for_min_size = MIN_SUBSET_SIZE * self.bin_count as f64 / self.ready_count.max(1) as f64;
        let subset_bins = (bins_for_min_size.ceil() as usize).clamp(1, self.bin_count);
        let mut assigned = Vec::new();
        for ring in self.ring_by_zone.values() {
            ring.assign(self.bin, subset_bins, &mut assigned);
        }
        // Ordered by ring position, so that consecutive members are from different zones.
        assigned.sort_unstable();
        self.members = assigned.into_iter().map(|entry| entry.slot).collect();
        self.refresh_standby();
    }

    fn refresh_standby(&mut self) {
        self.standby.clear();
        if self.members.len() >= self.ready_count {
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

    /// Returns the number of ready endpoints, in the subset or not.
    pub(crate) fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Returns the endpoints of the subset.
    pub(crate) fn members(&self) -> &[Slot] {
        &self.members
    }

    /// Returns the endpoints that are used when the subset has no capacity.
    pub(crate) fn standby(&self) -> &[Slot] {
        &self.standby
    }

    /// Iterates over at most [`STANDBY_SIZE`] endpoints of a zone, starting with the gateway's bin.
    pub(crate) fn in_zone(&self, zone: &Name) -> impl Iterator<Item = Slot> {
        let ring = self.ring_by_zone.get(zone).into_iter();
        ring.flat_map(|ring| ring.iter_from(self.bin)).take(STANDBY_SIZE)
    }

    /// Returns the endpoints of a cell.
    pub(crate) fn in_cell(&self, cell: u64) -> &[Slot] {
        self.slots_by_cell.get(&cell).map_or(&[], Vec::as_slice)
    }
}
