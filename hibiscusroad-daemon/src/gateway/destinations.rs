//! The endpoints that requests may be sent to.
//!
//! A request may wait between the choice of its endpoint and its sending, for example for a
//! connection. So each sender of requests to endpoints asks [`Destinations::enter`] right before a
//! request is written.

use super::{
    data_centres::{DataCentres, RunningRequest},
    http::Fault,
};
use hibiscusroad::roster::EndpointChange;
use std::{cell::RefCell, collections::HashSet, rc::Rc};

/// The endpoints that are in service, and their data centres.
#[derive(Debug)]
pub(super) struct Destinations {
    data_centres: Rc<DataCentres>,
    /// The ids of the known endpoints that are not leaving.
    staying: RefCell<HashSet<String>>,
}

impl Destinations {
    pub(super) fn new(data_centres: Rc<DataCentres>) -> Self {
        Self {
            data_centres,
            staying: RefCell::default(),
        }
    }

    /// Returns the data centres.
    pub(super) const fn data_centres(&self) -> &Rc<DataCentres> {
        &self.data_centres
    }

    /// Applies changes of the roster.
    pub(super) fn apply_roster(&self, changes: &[EndpointChange]) {
        let mut staying = self.staying.borrow_mut();
        for change in changes {
            match change {
                EndpointChange::Updated(endpoint) if !endpoint.leaving => {
                    staying.insert(endpoint.id.clone());
                }
                EndpointChange::Updated(endpoint) => {
                    staying.remove(&endpoint.id);
                }
                EndpointChange::Removed(id) => {
                    staying.remove(id);
                }
            }
        }
    }

    /// Returns whether a request may be sent to an endpoint.
    pub(super) fn is_open(&self, endpoint: &str, data_centre: &str) -> bool {
        self.is_staying(endpoint) && !self.data_centres.is_evacuated(data_centre)
    }

    fn is_staying(&self, endpoint: &str) -> bool {
        self.staying.borrow().contains(endpoint)
    }

    /// Starts a request at an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the request must not be sent, since the data centre is evacuated
    /// or the endpoint is leaving or gone.
    pub(super) fn enter(
        &self,
        endpoint: &str,
        data_centre: &Rc<str>,
    ) -> Result<RunningRequest, Fault> {
        let running = self.data_centres.enter(data_centre);
        let running = running.ok_or(Fault::Evacuated)?;
        self.is_staying(endpoint)
            .then_some(running)
            .ok_or(Fault::Left)
    }
}
