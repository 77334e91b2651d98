//! The data centres that requests are sent to: none is sent to an evacuated one, and those that run
//! there are counted.

use crate::logs::HOSTS;
use hibiscusroad::evacuation::{EvacuationChange, EvacuationPhase};
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
    pub(super) fn apply(&self, change: &EvacuationChange) -> usize {
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
