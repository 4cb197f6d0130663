//! The endpoint table: the state of every listed endpoint, and the attempts in flight.
//!
//! There may be many thousands of endpoints. They are kept in slots, so that the cost of a request depends on
//! the size of the gateway's subset only, and the cost of a delta on the number of endpoints in it.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoint::Endpoint;
use crate::slow_start::DiscoveryClock;
use crate::subset::{Slot, Subset};
use crate::{EndpointEntry, EndpointState, Millis, Name};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Whether an endpoint list contains all endpoints or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

/// The endpoints that one gateway knows, and its subset of them.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    free_slots: Vec<Slot>,
    /// Never iterated over, as the iteration order is unspecified.
    slot_by_name: FxHashMap<Name, Slot>,
    /// The slots of endpoints that the list has removed and that are not freed yet.
    removed_slots: BTreeSet<Slot>,
    subset: Subset,
    discovery_clock: DiscoveryClock,
    /// The number of attempts in flight at all endpoints together.
    in_flight: u32,
    gateway_count: u32,
}

impl EndpointTable {
    /// Returns an empty table.
    pub(crate) fn new(gateway_count: u32, subset: Subset) -> Self {
        Self { subset, gateway_count, ..Self::default() }
    }

    /// Returns the number of endpoints in the table.
    pub(crate) fn len(&self) -> usize {
        self.slot_by_name.len()
    }

    /// Applies an endpoint list. A snapshot removes the endpoints that it does not contain.
    pub(crate) fn apply(&mut self, entries: Vec<EndpointEntry>, kind: ListKind, now: Millis) {
        let snapshot = kind == ListKind::Snapshot;
        if snapshot {
            let additional = entries.len().saturating_sub(self.slot_by_name.len());
            self.slot_by_name.reserve(additional);
            self.slots.reserve(additional);
        }
        for entry in entries {
            let slot = self.apply_entry(entry, now);
            self.slots[slot].in_snapshot = snapshot;
        }
        if snapshot {
            self.remove_missing_from_snapshot();
        }
        self.subset.refresh();
    }

    fn remove_missing_from_snapshot(&mut self) {
        for slot in 0..self.slots.len() {
            let missing = !std::mem::take(&mut self.slots[slot].in_snapshot);
            if missing && !self.slots[slot].removed {
                self.set_state(slot, EndpointState::Removed);
            }
        }
    }

    fn apply_entry(&mut self, entry: EndpointEntry, now: Millis) -> Slot {
        let state = entry.state;
        let known = self.slot_by_name.get(&entry.name).copied();
        let slot = known.unwrap_or_else(|| self.allocate_slot(&entry.name));
        let endpoint = &mut self.slots[slot];
        if known.is_none() || endpoint.start.started_at != entry.started_at {
            self.replace_process(slot, entry, now);
        } else if (&endpoint.zone, endpoint.cell) != (&entry.zone, entry.cell) {
            // The same process has a new zone or cell: it leaves the old dedup scope, so that keyed retries
            // there no longer go to it.
            self.set_state(slot, EndpointState::Draining);
            self.slots[slot].zone = entry.zone;
            self.slots[slot].cell = entry.cell;
        }
        self.set_state(slot, state);
        slot
    }

    fn allocate_slot(&mut self, name: &Name) -> Slot {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(Endpoint::default());
        }
        self.slot_by_name.insert(name.clone(), slot);
        slot
    }

    /// Resets a slot for a new process. Attempts in flight at the previous process count until they end.
    fn replace_process(&mut self, slot: Slot, entry: EndpointEntry, now: Millis) {
        self.set_state(slot, EndpointState::Draining);
        if let Some(started_at) = entry.started_at {
            self.discovery_clock.record(started_at, now);
        }
        let in_flight = self.slots[slot].in_flight;
        self.slots[slot] = Endpoint::new(entry, now, in_flight, self.gateway_count);
    }

    /// Sets whether an endpoint is ready and whether it is removed, and updates the subset.
    fn set_state(&mut self, slot: Slot, state: EndpointState) {
        let Some(endpoint) = self.slots.get_mut(slot) else { return };
        let ready = state == EndpointState::Ready;
        let was_ready = std::mem::replace(&mut endpoint.ready, ready);
        endpoint.removed = state == EndpointState::Removed;
        match (was_ready, ready) {
            (false, true) => self.subset.insert(slot, endpoint.name_hash, &endpoint.zone, endpoint.cell),
            (true, false) => self.subset.remove(slot, endpoint.name_hash, &endpoint.zone, endpoint.cell),
            _ => {}
        }
        if endpoint.removed {
            self.removed_slots.insert(slot);
        } else {
            self.removed_slots.remove(&slot);
        }
    }

    /// Frees the slots of removed endpoints without attempts in flight, so that memory does not grow each
    /// time the endpoints are replaced.
    pub(crate) fn free_removed(&mut self) {
        let Self { slots, slot_by_name, free_slots, removed_slots, .. } = self;
        removed_slots.retain(|slot| {
            let idle = slots[*slot].in_flight == 0;
            if idle {
                slot_by_name.remove(&slots[*slot].name);
                slots[*slot] = Endpoint::vacant();
                free_slots.push(*slot);
            }
            !idle
        });
    }

    /// Returns this gateway's subset, as of the last endpoint list applied.
    pub(crate) fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Returns the clock that start times are reported by.
    pub(crate) fn discovery_clock(&self) -> &DiscoveryClock {
        &self.discovery_clock
    }

    pub(crate) fn get(&self, slot: Slot) -> &Endpoint {
        &self.slots[slot]
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&Endpoint> {
        self.slot_by_name.get(name).map(|slot| &self.slots[*slot])
    }

    /// Records that an attempt is forwarded to an endpoint, and returns the endpoint's name.
    pub(crate) fn attempt_forwarded(&mut self, slot: Slot) -> Name {
        self.in_flight += 1;
        self.slots[slot].in_flight += 1;
        self.slots[slot].name.clone()
    }

    /// Records that an attempt at an endpoint has ended, and returns the endpoint.
    pub(crate) fn attempt_ended(&mut self, name: &str) -> Option<&mut Endpoint> {
        let slot = self.slot_by_name.get(name)?;
        let endpoint = &mut self.slots[*slot];
        if endpoint.in_flight > 0 {
            endpoint.in_flight -= 1;
            self.in_flight -= 1;
        }
        Some(endpoint)
    }

    /// Returns whether the attempts in flight at all endpoints together are below their limit.
    pub(crate) fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.total_limit()
    }

    /// Returns how many attempts this gateway may have in flight at all endpoints together: the sum of the
    /// concurrency limits in its subset and of the initial limits of all other ready endpoints, but at least
    /// one.
    pub(crate) fn total_limit(&self) -> f64 {
        let members = self.subset.members();
        let others = self.subset.ready_count() - members.len();
        let limits = members.iter().map(|slot| self.slots[*slot].concurrency_limit().value());
        let members_limit = limits.sum::<f64>();
        let limit = members_limit + others as f64 * ConcurrencyLimit::initial(self.gateway_count).value();
        limit.max(1.0)
    }
}
