//! The table of endpoints: the state of each by the endpoint list, and the attempts in flight.
//!
//! There may be many thousand endpoints. They are kept in slots, so that the cost of a request grows with the
//! gateway's subset alone, and that of a change of the list with the endpoints that it names.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoint::Endpoint;
use crate::slow_start::StartClock;
use crate::subset::{Slot, Subset};
use crate::{EndpointEntry, EndpointState, Millis, Name};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Whether a list names all endpoints or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

/// All endpoints that one gateway knows, and its subset of them.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    /// The slots without an endpoint.
    free: Vec<Slot>,
    /// Used for single look-ups only, as its order is unspecified.
    slot_by_name: FxHashMap<Name, Slot>,
    /// The slots of endpoints that are removed and not dropped yet.
    removed: BTreeSet<Slot>,
    subset: Subset,
    start_clock: StartClock,
    /// Attempts in flight at all endpoints together.
    in_flight: u32,
    gateway_count: u32,
}

impl EndpointTable {
    /// Returns a table without endpoints.
    pub(crate) fn new(gateway_count: u32, subset: Subset) -> Self {
        Self { subset, gateway_count, ..Self::default() }
    }

    /// Returns the number of endpoints in the table.
    pub(crate) fn len(&self) -> usize {
        self.slot_by_name.len()
    }

    /// Applies an endpoint list. Endpoints that a snapshot does not name are removed.
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
            self.remove_missing();
        }
        self.subset.refresh();
    }

    fn remove_missing(&mut self) {
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
            self.replace(slot, entry, now);
        } else if (&endpoint.zone, endpoint.cell) != (&entry.zone, entry.cell) {
            // The same process moved: a keyed retry must not look for it in its old dedup scope.
            self.set_state(slot, EndpointState::Draining);
            self.slots[slot].zone = entry.zone;
            self.slots[slot].cell = entry.cell;
        }
        self.set_state(slot, state);
        slot
    }

    fn allocate_slot(&mut self, name: &Name) -> Slot {
        let slot = self.free.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(Endpoint::default());
        }
        self.slot_by_name.insert(name.clone(), slot);
        slot
    }

    /// Puts a new process into a slot. Attempts in flight at the old one still end.
    fn replace(&mut self, slot: Slot, entry: EndpointEntry, now: Millis) {
        self.set_state(slot, EndpointState::Draining);
        if let Some(started_at) = entry.started_at {
            self.start_clock.record(started_at, now);
        }
        let in_flight = self.slots[slot].in_flight;
        self.slots[slot] = Endpoint::new(entry, now, in_flight, self.gateway_count);
    }

    /// Sets whether an endpoint may be sent new requests and whether it is removed, and updates the subset.
    fn set_state(&mut self, slot: Slot, state: EndpointState) {
        let Some(endpoint) = self.slots.get_mut(slot) else { return };
        let ready = state == EndpointState::Ready;
        let was_ready = std::mem::replace(&mut endpoint.ready, ready);
        endpoint.removed = state == EndpointState::Removed;
        match (was_ready, ready) {
            (false, true) => self.subset.insert(slot, endpoint.salt, &endpoint.zone, endpoint.cell),
            (true, false) => self.subset.remove(slot, endpoint.salt, &endpoint.zone, endpoint.cell),
            _ => {}
        }
        if endpoint.removed {
            self.removed.insert(slot);
        } else {
            self.removed.remove(&slot);
        }
    }

    /// Drops endpoints that are removed and have nothing in flight, so that a fleet that is replaced again
    /// and again does not fill the memory.
    pub(crate) fn drop_removed(&mut self) {
        let Self { slots, slot_by_name, free, removed, .. } = self;
        removed.retain(|slot| {
            let idle = slots[*slot].in_flight == 0;
            if idle {
                slot_by_name.remove(&slots[*slot].name);
                slots[*slot] = Endpoint::vacant();
                free.push(*slot);
            }
            !idle
        });
    }

    /// Returns the subset by the present list.
    pub(crate) fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Returns the clock by which endpoints' starts are reported.
    pub(crate) fn start_clock(&self) -> &StartClock {
        &self.start_clock
    }

    /// Returns the endpoint in a slot.
    pub(crate) fn get(&self, slot: Slot) -> &Endpoint {
        &self.slots[slot]
    }

    /// Returns the endpoint of a name.
    pub(crate) fn by_name(&self, name: &str) -> Option<&Endpoint> {
        self.slot_by_name.get(name).map(|slot| &self.slots[*slot])
    }

    /// Notes that an attempt is forwarded to an endpoint, and returns the endpoint's name.
    pub(crate) fn attempt_forwarded(&mut self, slot: Slot) -> Name {
        self.in_flight += 1;
        self.slots[slot].in_flight += 1;
        self.slots[slot].name.clone()
    }

    /// Notes that an attempt at an endpoint has ended, and returns the endpoint.
    pub(crate) fn attempt_ended(&mut self, name: &str) -> Option<&mut Endpoint> {
        let slot = self.slot_by_name.get(name)?;
        let endpoint = &mut self.slots[*slot];
        if endpoint.in_flight > 0 {
            endpoint.in_flight -= 1;
            self.in_flight -= 1;
        }
        Some(endpoint)
    }

    /// Returns whether another attempt fits beside those in flight at all endpoints together.
    pub(crate) fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.total_limit()
    }

    /// Returns the most attempts that this gateway keeps in flight at all endpoints together: the limits of
    /// its subset, and the initial limit of every other endpoint. At least one attempt is always allowed.
    pub(crate) fn total_limit(&self) -> f64 {
        let members = self.subset.members();
        let others = self.subset.ready() - members.len();
        let member_limits = members.iter().map(|slot| self.slots[*slot].limit().value()).sum::<f64>();
        let limit = member_limits + others as f64 * ConcurrencyLimit::initial(self.gateway_count).value();
        limit.max(1.0)
    }
}
