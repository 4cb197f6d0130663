//! The table of endpoints: what the list says of each, and what is out there. It is kept in slots, so that a request
//! costs what its gateway's subset costs, and a change of the list what it names. Nothing is decided here.

use crate::endpoint::{Endpoint, StartClock};
use crate::hash::hash;
use crate::subset::{Slot, Subset};
use crate::*;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// All endpoints that one gateway knows, and its subset of them.
#[derive(Default)]
pub(crate) struct EndpointTable {
    slots: Vec<Endpoint>,
    free: Vec<Slot>,
    /// Only ever asked for one name: its order says nothing.
    names: FxHashMap<Name, Slot>,
    gone: BTreeSet<Slot>,
    subset: Subset,
    starts: StartClock,
    /// How many attempts are out in all.
    out: u32,
    gateways: u32,
}

impl EndpointTable {
    /// No endpoints yet; where `whole` is set the subset is the whole fleet.
    pub(crate) fn new(number: u32, gateways: u32, whole: bool) -> Self {
        Self { subset: Subset::new(number, gateways, whole), gateways, ..Self::default() }
    }

    /// How many are remembered.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Takes in a list, or changes to it: what a whole list does not name is gone.
    pub(crate) fn update(&mut self, list: Vec<EndpointEntry>, whole: bool, now: Millis) {
        let new = if whole { list.len().saturating_sub(self.names.len()) } else { 0 };
        self.names.reserve(new);
        self.slots.reserve(new);
        for entry in list {
            self.tell(entry, whole, now);
        }
        if whole {
            for slot in 0..self.slots.len() {
                let unlisted = !std::mem::take(&mut self.slots[slot].listed);
                if unlisted && !self.slots[slot].gone {
                    self.set(slot, false, true);
                }
            }
        }
        self.subset.refresh();
    }

    fn tell(&mut self, entry: EndpointEntry, listed: bool, now: Millis) {
        let (ready, gone) = (entry.state == EndpointState::Ready, entry.state == EndpointState::Removed);
        let EndpointEntry { name, zone, cell, started_at: started, .. } = entry;
        let known = self.names.get(&name).copied();
        let slot = known.unwrap_or_else(|| {
            let slot = self.free.pop().unwrap_or(self.slots.len());
            if slot == self.slots.len() {
                self.slots.push(Endpoint::default());
            }
            self.names.insert(name.clone(), slot);
            slot
        });
        if known.is_none() || self.slots[slot].started != started {
            // Another process, of which nothing is known; what is out at the old one still ends.
            self.set(slot, false, false);
            let (out, salt, room) = (self.slots[slot].out, hash(&name), Endpoint::first_room(self.gateways));
            self.slots[slot] =
                Endpoint { name, zone, cell, salt, started, heard_at: now, out, room, ..Default::default() };
            if let Some(started) = started {
                self.starts.hear(started, now);
            }
        } else if (&self.slots[slot].zone, self.slots[slot].cell) != (&zone, cell) {
            // The same process elsewhere: a keyed repeat must not look for it in its old group.
            self.set(slot, false, false);
            (self.slots[slot].zone, self.slots[slot].cell) = (zone, cell);
        }
        self.slots[slot].listed = listed;
        self.set(slot, ready, gone);
    }

    /// Notes whether an endpoint may be sent something new, and whether it is gone.
    fn set(&mut self, slot: Slot, ready: bool, gone: bool) {
        let Some(endpoint) = self.slots.get_mut(slot) else { return };
        let was = std::mem::replace(&mut endpoint.ready, ready);
        endpoint.gone = gone;
        match (was, ready) {
            (false, true) => self.subset.insert(slot, endpoint.salt, &endpoint.zone, endpoint.cell),
            (true, false) => self.subset.remove(slot, endpoint.salt, &endpoint.zone, endpoint.cell),
            _ => {}
        }
        if gone {
            self.gone.insert(slot);
        } else {
            self.gone.remove(&slot);
        }
    }

    /// Forgets who is gone and has nothing out. Guards the memory against a fleet that is replaced all day.
    pub(crate) fn forget_gone(&mut self) {
        let (slots, names, free) = (&mut self.slots, &mut self.names, &mut self.free);
        self.gone.retain(|slot| {
            let idle = slots[*slot].out == 0;
            if idle {
                names.remove(&slots[*slot].name);
                slots[*slot] = Endpoint { gone: true, ..Endpoint::default() };
                free.push(*slot);
            }
            !idle
        });
    }

    /// The subset of the list as it is now.
    pub(crate) fn subset(&self) -> &Subset {
        &self.subset
    }

    /// The clock by which endpoints' starts are told.
    pub(crate) fn starts(&self) -> &StartClock {
        &self.starts
    }

    /// The endpoint in a slot.
    pub(crate) fn get(&self, slot: Slot) -> &Endpoint {
        &self.slots[slot]
    }

    /// The endpoint of a name.
    pub(crate) fn named(&self, name: &str) -> Option<&Endpoint> {
        self.names.get(name).map(|slot| &self.slots[*slot])
    }

    /// Notes that an attempt goes out to an endpoint; tells its name.
    pub(crate) fn sent(&mut self, slot: Slot) -> Name {
        self.out += 1;
        self.slots[slot].out += 1;
        self.slots[slot].name.clone()
    }

    /// Notes that an attempt at an endpoint has ended.
    pub(crate) fn ended(&mut self, name: &str) -> Option<&mut Endpoint> {
        let slot = self.names.get(name)?;
        let endpoint = &mut self.slots[*slot];
        if endpoint.out > 0 {
            (endpoint.out, self.out) = (endpoint.out - 1, self.out - 1);
        }
        Some(endpoint)
    }

    /// How many attempts are out in all.
    pub(crate) fn out(&self) -> f64 {
        f64::from(self.out)
    }
}
