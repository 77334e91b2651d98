//! Capacity that a running item occupies at an engine.

use super::Batches;
use hibiscusroad::{
    rollout::{engines::EngineKey, waits::WaitTimes},
    roster::Endpoint,
};
use std::{rc::Rc, time::Duration};

/// Capacity of one item at an engine, which is released on drop.
pub(super) struct Slot {
    batches: Rc<Batches>,
    pub(super) key: EngineKey,
}

impl Slot {
    /// Occupies capacity at an engine.
    pub(super) fn occupy(batches: &Rc<Batches>, key: EngineKey) -> Self {
        batches.engines.borrow_mut().add_item(key);
        Self {
            batches: Rc::clone(batches),
            key,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.batches.engines.borrow_mut().remove_item(self.key);
        self.batches.dispatch_needed.notify_one();
    }
}

/// The parameters of a run of an item.
pub(super) struct ItemStart {
    pub(super) index: usize,
    pub(super) slot: Slot,
    pub(super) endpoint: Endpoint,
    /// Its priority in the queue of the engine.
    pub(super) priority: u8,
    /// The last event of its text, behind which the run resumes.
    pub(super) last_event: Option<u64>,
    /// The only weight version that is allowed.
    pub(super) exact_version: Option<u64>,
    /// How long it has waited, and how long for which reason.
    pub(super) wait_times: (Duration, WaitTimes),
}
