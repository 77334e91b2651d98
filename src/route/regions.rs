//! Sums of a service by region, and calls that may not use all regions.
//!
//! The calls of a class wait in one queue, so that accounts and deadlines decide their order
//! wherever they may run. A call whose regions have no free slot is passed over, so that no slot
//! stays free behind it. Its wait is estimated from the calls that compete for its regions: the
//! work of each waiting call is spread evenly over the slots of the regions that the call may
//! use, and a call waits in the region with the least work for each slot.
//!
//! A queue for each set of regions would need a rule for the order between the queues.

use crate::{
    route::decay::DecayingSum,
    topology::{Region, RegionSet, Topology},
};
use std::time::Duration;

/// Sums of one region's endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegionRow {
    pub(super) region: Region,
    pub(super) is_far: bool,
    /// Sum of the limits of usable endpoints.
    pub(super) capacity: u32,
    /// Sum of the free slots of usable endpoints.
    pub(super) free_slots: u32,
    /// Endpoints that accept calls and have a limit above 0.
    pub(super) usable: u32,
    /// Endpoints that would be usable, but admit no call now because they are or were cold.
    pub(super) held: u32,
    /// Recently placed work.
    pub(super) recent_work: DecayingSum,
}

impl RegionRow {
    /// Returns the rows of all regions of a topology, that of unknown ones last; `work_decay` is the
    /// time constant of the recent work.
    pub(super) fn all(topology: &Topology, work_decay: Duration) -> Vec<Self> {
        let rows = topology.all_regions().map(|region| Self {
            region,
            is_far: topology.is_far(region),
            capacity: 0,
            free_slots: 0,
            usable: 0,
            held: 0,
            recent_work: DecayingSum::new(work_decay),
        });
        rows.collect()
    }
}

/// What a set of regions has for calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Room {
    pub(super) capacity: u32,
    pub(super) free_slots: u32,
    pub(super) usable: u32,
    pub(super) held: u32,
}

/// Queued calls that may use the same regions.
#[derive(Clone, Copy, Debug)]
pub(super) struct SetLoad {
    pub(super) regions: RegionSet,
    calls: usize,
    /// Their work in seconds.
    pub(super) work: f64,
}

/// Queued calls of one class that may not use all regions, by their sets.
#[derive(Clone, Debug, Default)]
pub(super) struct RestrictedCalls {
    loads: Vec<SetLoad>,
}

impl RestrictedCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    pub(super) fn add(&mut self, regions: RegionSet, work: f64) {
        if regions.is_all() {
            return;
        }
        let found = self.loads.iter_mut().find(|load| load.regions == regions);
        if let Some(load) = found {
            load.calls += 1;
            load.work += work;
        } else {
            let calls = 1;
            self.loads.push(SetLoad {
                regions,
                calls,
                work,
            });
        }
    }

    pub(super) fn remove(&mut self, regions: RegionSet, work: f64) {
        if regions.is_all() {
            return;
        }
        for load in self.loads.iter_mut().filter(|load| load.regions == regions) {
            load.calls -= 1;
            load.work = (load.work - work).max(0.0);
        }
        self.loads.retain(|load| load.calls > 0);
    }

    pub(super) fn calls(&self) -> usize {
        self.loads.iter().map(|load| load.calls).sum()
    }

    pub(super) fn work(&self) -> f64 {
        self.loads.iter().map(|load| load.work).sum()
    }

    pub(super) fn compete_for(&self, region: Region) -> impl Iterator<Item = &SetLoad> {
        let loads = self.loads.iter();
        loads.filter(move |load| load.regions.contains(region))
    }
}
