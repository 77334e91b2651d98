//! Cold engines: which of them items may go to.

use super::{Batches, OwnedBatch};
use hibiscusroad::{catalog::Route, cold_start::Admission};
use std::{collections::BTreeSet, rc::Rc, time::Instant};

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

    /// Passes on the number of processes that own open batches, this one included.
    pub(super) fn update_owners(&self) {
        if !self.context.cold.is_needed() {
            return;
        }
        let heads = self.heads.borrow();
        let open = heads.values().filter(|row| !row.head.ended);
        let mut owners: BTreeSet<&str> = open.map(|row| row.head.owner.as_str()).collect();
        owners.insert(&self.incarnation);
        self.context.cold.set_owners(owners.len());
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
