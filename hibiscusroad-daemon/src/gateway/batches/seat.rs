//! A place at an engine, and the item that takes it.

use super::Batches;
use hibiscusroad::{
    rollout::{engines::EngineKey, waits::WaitTimes},
    roster::Endpoint,
};
use std::{rc::Rc, time::Duration};

/// An item's place at an engine, given up when it is dropped.
pub(super) struct Seat {
    batches: Rc<Batches>,
    pub(super) key: EngineKey,
}

impl Seat {
    /// Takes a place at an engine.
    pub(super) fn take(batches: &Rc<Batches>, key: EngineKey) -> Self {
        batches.engines.borrow_mut().add_item(key);
        Self {
            batches: Rc::clone(batches),
            key,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.batches.engines.borrow_mut().remove_item(self.key);
        self.batches.work.notify_one();
    }
}

/// An item that is to run.
pub(super) struct Start {
    pub(super) n: usize,
    pub(super) seat: Seat,
    pub(super) endpoint: Endpoint,
    /// The rank of its route.
    pub(super) priority: u8,
    /// The last event of its text, which it goes on behind.
    pub(super) before: Option<u64>,
    /// The only weight version that will do.
    pub(super) exact: Option<u64>,
    /// For how long it has waited, and of that for what.
    pub(super) waited: (Duration, WaitTimes),
}
