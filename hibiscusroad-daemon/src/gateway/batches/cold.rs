//! Cold engines: which of them items may go to.

use super::{Batches, OwnedBatch};
use hibiscusroad::{catalog::Route, cold_start::Admission};
use std::{rc::Rc, time::Instant};

impl Batches {
    /// Sets what engines admit, and starts the items that waited for that.
    pub(in crate::gateway) fn set_admissions(&self, admissions: &[(String, Admission)]) {
        let mut engines = self.engines.borrow_mut();
        for (id, admission) in admissions {
            engines.set_admission(id, *admission);
        }
        drop(engines);
        let opens = |admission: &Admission| admission.items != Some(0);
        if admissions.iter().any(|(_, admission)| opens(admission)) {
            self.wake_dispatcher();
        }
    }

    /// Passes on how many of the open items are those of this process.
    pub(super) fn update_owners(&self) {
        if !self.context.cold.is_needed() {
            return;
        }
        let loads = self.known_loads();
        let own = loads.get(&self.incarnation);
        let all = loads.values().map(|load| load.open_items).sum();
        let own = own.map_or(0, |load| load.open_items);
        self.context.cold.set_open_items(own, all);
    }

    /// Requests the permits of services for which items wait.
    pub(super) fn request_permits(&self, batches: &[Rc<OwnedBatch>]) {
        if !self.context.cold.is_needed() {
            return;
        }
        for owned in batches {
            let is_waiting = owned.batch.borrow().waiting_count() > 0 && !owned.is_stopped.get();
            let Some(route) = is_waiting.then(|| self.route(owned)).flatten() else {
                continue;
            };
            for share in &route.shares {
                self.context.cold.request_permit(&share.service);
            }
        }
    }

    /// Counts an item that waits only because of the limits of cold engines.
    pub(super) fn record_held_back(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        route: &Route,
        index: usize,
    ) {
        let cold = &self.context.cold;
        let Some(requirements) = self
            .requirements(owned, route, index)
            .filter(|_| cold.is_needed())
        else {
            return;
        };
        let is_held_back = self.engines.borrow().is_held_back(now, &requirements);
        if is_held_back && owned.held_back.replace(Some(index)) != Some(index) {
            cold.record_held_back(requirements.service);
        }
    }
}
