//! Requests in evacuated data centres: none is sent, and those that run are counted.
//!
//! The roster says which data centres are evacuated. A request may wait between the choice of its
//! endpoint and its sending, for example for a connection. So each sender of requests to
//! endpoints asks [`DataCentres::enter`] right before a request is written.

use super::sync::EndpointRoster;
use crate::logs::HOSTS;
use hibiscusroad::{
    evacuation::{EvacuationChange, EvacuationPhase, EvacuationRow},
    roster::{Endpoint, EvacuationUpdate},
    table::{Changes, Row, RowId},
};
use hibiscusroad_platform::table;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// A data centre in which requests run, or that is evacuated.
#[derive(Debug, Default)]
struct DataCentre {
    is_evacuated: bool,
    running: usize,
}

/// The data centres as senders of requests see them.
#[derive(Debug, Default)]
pub(super) struct DataCentres {
    states: RefCell<BTreeMap<Rc<str>, DataCentre>>,
}

/// A request that runs in a data centre; it ends on drop.
#[derive(Debug)]
pub(super) struct RunningRequest {
    data_centres: Rc<DataCentres>,
    data_centre: Rc<str>,
}

impl DataCentres {
    pub(super) fn new() -> Self {
        Self::default()
    }

    /// Returns whether a data centre is evacuated.
    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        let states = self.states.borrow();
        let state = states.get(data_centre);
        state.is_some_and(|state| state.is_evacuated)
    }

    /// Starts a request in a data centre; `None` if it must not be sent, since the data centre is
    /// evacuated.
    pub(super) fn enter(self: &Rc<Self>, data_centre: &Rc<str>) -> Option<RunningRequest> {
        let mut states = self.states.borrow_mut();
        let state = states.entry(Rc::clone(data_centre)).or_default();
        if state.is_evacuated {
            return None;
        }
        state.running += 1;
        Some(RunningRequest {
            data_centres: Rc::clone(self),
            data_centre: Rc::clone(data_centre),
        })
    }

    /// Returns the evacuated data centres by name, with the numbers of requests that still run
    /// there.
    pub(super) fn evacuated(&self) -> Vec<(Rc<str>, usize)> {
        let states = self.states.borrow();
        let evacuated = states.iter().filter(|(_, state)| state.is_evacuated);
        evacuated
            .map(|(name, state)| (Rc::clone(name), state.running))
            .collect()
    }

    /// Applies a change and returns how many requests run in the data centre.
    fn apply(&self, change: &EvacuationChange) -> usize {
        let mut states = self.states.borrow_mut();
        let state = states
            .entry(change.data_centre.as_str().into())
            .or_default();
        state.is_evacuated = change.phase != EvacuationPhase::Ended;
        let running = state.running;
        if running == 0 && !state.is_evacuated {
            states.remove(change.data_centre.as_str());
        }
        running
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut states = self.data_centres.states.borrow_mut();
        let Some(state) = states.get_mut(&self.data_centre) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        if state.running > 0 {
            return;
        }
        if state.is_evacuated {
            log::info!(target: HOSTS, place = &*self.data_centre;
                "Nothing of this process runs any more in an evacuated data centre.");
        } else {
            states.remove(&self.data_centre);
        }
    }
}

impl EndpointRoster {
    /// Applies a read of the whole operator's table as of a version.
    pub(super) fn replace_evacuations(&self, version: u64, rows: &[Row]) {
        let rows = self.decode_evacuations(rows);
        let is_first = !self.roster_mut().knows_evacuations();
        let update = self.roster_mut().replace_evacuations(version, rows);
        self.apply_evacuations(&update, is_first);
    }

    /// Applies changes of the operator's table.
    pub(super) fn update_evacuations(&self, changes: &Changes) {
        let rows = self.decode_evacuations(&changes.rows);
        let removed = changes.removed.iter().filter_map(evacuated_by);
        let update = self
            .roster_mut()
            .update_evacuations(changes.version, rows, removed);
        self.apply_evacuations(&update, false);
    }

    /// Returns the rows that evacuate a data centre. One without a name is logged once.
    fn decode_evacuations(&self, rows: &[Row]) -> Vec<EvacuationRow> {
        let rows = rows.iter().filter_map(|row| {
            let data_centre = evacuated_by(&row.id)?;
            if data_centre.is_empty() {
                if self.is_new_broken(&row.id.key, row.version) {
                    log::warn!(target: HOSTS, row = row.version;
                        "The row of an evacuation names no data centre; it is ignored.");
                }
                return None;
            }
            Some(EvacuationRow {
                data_centre: data_centre.to_owned(),
                version: row.version,
            })
        });
        rows.collect()
    }

    /// Stops new requests to evacuated data centres, then publishes the changed endpoints, which
    /// are new to this process if `is_first` is set.
    fn apply_evacuations(&self, update: &EvacuationUpdate, is_first: bool) {
        for change in &update.evacuations {
            let running = self.data_centres().apply(change);
            self.log_evacuation(change, running);
        }
        if is_first {
            self.publish(&update.endpoints);
        } else {
            self.publish_marked(&update.endpoints);
        }
    }

    fn log_evacuation(&self, change: &EvacuationChange, running: usize) {
        let place = change.data_centre.as_str();
        let endpoints = self.count(|endpoint: &Endpoint| endpoint.data_centre == place);
        let text = match change.phase {
            EvacuationPhase::Began => "A data centre is evacuated; nothing more is sent there.",
            EvacuationPhase::Renewed => "The row of an evacuation has changed.",
            EvacuationPhase::Ended => "The evacuation of a data centre has ended.",
        };
        log::info!(target: HOSTS, place = place, row = change.version, endpoints = endpoints,
            running = running; "{text}");
    }
}

/// Returns the data centre that a row of the operator's table evacuates.
fn evacuated_by(id: &RowId) -> Option<&str> {
    table::evacuated_data_centre(&id.key)
}
