//! The request IDs that a new request must not have.
//!
//! An ID is taken while its request is in progress, as a second request could get the response to the first. It
//! stays taken if an attempt may have run and its response did not reach the client: the endpoint may still run
//! it, so that a request with the same ID would run twice. Clients give each request a new ID, retries included.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The maximum number of IDs that stay taken after their requests have ended. The oldest is freed first.
pub const MAX_RETAINED_IDS: usize = 8192;

/// Why an ID is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakenId {
    /// A request with this ID has no final response, or an attempt of it has not ended.
    InProgress,
    /// A request with this ID has ended. It may have run, and its client did not get the response.
    MayHaveRun,
}

/// The request IDs that are taken.
#[derive(Default)]
pub struct RequestIds {
    taken: RefCell<HashMap<Rc<[u8]>, TakenId>>,
    /// The IDs that are [`TakenId::MayHaveRun`], in the order in which their requests ended.
    retained: RefCell<VecDeque<Rc<[u8]>>>,
}

impl RequestIds {
    /// Reserves an ID for a request.
    ///
    /// # Errors
    /// If the ID is taken.
    pub fn reserve(self: &Rc<Self>, id: &[u8]) -> Result<IdReservation, TakenId> {
        let mut taken = self.taken.borrow_mut();
        if let Some(reason) = taken.get(id) {
            return Err(*reason);
        }
        // Copied, as the bytes of a header keep the HTTP library's read buffer alive.
        let id = Rc::<[u8]>::from(id);
        taken.insert(id.clone(), TakenId::InProgress);
        let execution = Cell::new(Execution::Resolved);
        Ok(IdReservation { reserved: Rc::new(ReservedId { ids: self.clone(), id, execution }) })
    }

    fn free(&self, id: &Rc<[u8]>) {
        self.taken.borrow_mut().remove(id);
    }

    fn retain(&self, id: &Rc<[u8]>) {
        let mut retained = self.retained.borrow_mut();
        if retained.len() >= MAX_RETAINED_IDS
            && let Some(oldest) = retained.pop_front()
        {
            self.free(&oldest);
        }
        retained.push_back(id.clone());
        self.taken.borrow_mut().insert(id.clone(), TakenId::MayHaveRun);
    }
}

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Execution {
    /// No attempt has run, or the response of the one that has is sent to the client.
    Resolved,
    /// An attempt has run, and its response is on its way to the client.
    Served,
    /// An attempt may have run or may still be running, and its response will not reach the client.
    MayHaveRun,
}

/// Reserves the ID of a request. The request and its attempts hold clones; once the last one is dropped, the ID
/// is free unless the request may have run.
#[derive(Clone)]
pub struct IdReservation {
    reserved: Rc<ReservedId>,
}

impl IdReservation {
    /// Records that an attempt was served, and its response passed on to the task that serves the client.
    pub fn record_served(&self) {
        if self.reserved.execution.get() == Execution::Resolved {
            self.reserved.execution.set(Execution::Served);
        }
    }

    /// Records that the response of the attempt that was served is sent to the client.
    pub fn record_response(&self) {
        if self.reserved.execution.get() == Execution::Served {
            self.reserved.execution.set(Execution::Resolved);
        }
    }

    /// Records that an attempt may have run, and that its response will not reach the client.
    pub fn record_may_have_run(&self) {
        self.reserved.execution.set(Execution::MayHaveRun);
    }
}

struct ReservedId {
    ids: Rc<RequestIds>,
    id: Rc<[u8]>,
    execution: Cell<Execution>,
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        match self.execution.get() {
            Execution::Resolved => self.ids.free(&self.id),
            Execution::Served | Execution::MayHaveRun => self.ids.retain(&self.id),
        }
    }
}
