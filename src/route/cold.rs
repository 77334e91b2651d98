//! Cold endpoints: what they admit, and when.
//!
//! [`crate::cold_start`] decides that, for all senders of the process. The router counts its own
//! starts down until the next update.

use crate::{
    cold_start::Admission,
    route::{EndpointKey, ServiceKey, retry_after::seconds, router::Router, spec::Call},
    topology::RegionSet,
};
use std::time::Instant;

impl Router {
    /// Sets what an endpoint admits; `opens_at` is on the clock of the router.
    pub fn set_admission(&mut self, now: Instant, endpoint: EndpointKey, admission: Admission) {
        let Some(row) = self.endpoints.get(endpoint) else {
            return;
        };
        let service = row.service;
        let relevant = |it: Admission| (it.is_cold, it.calls, it.opens_at);
        if relevant(row.admission) == relevant(admission) {
            return;
        }
        // A change of its pool has to remove it from the old one.
        if row.admission.is_cold != admission.is_cold {
            self.remove_from_sums(now, endpoint);
        }
        let row = &mut self.endpoints[endpoint];
        row.admission = admission;
        let is_held = row.is_held();
        self.refresh(now, endpoint);
        let regions = RegionSet::ALL;
        let may_be_last = self.topology.is_divided() || !self.has_open_endpoint(service, regions);
        if is_held && may_be_last {
            self.refuse_unanswerable(now, service);
        }
        self.dispatch(now, service);
    }

    /// Returns the services with calls that wait for a cold endpoint, each once.
    pub fn take_permit_requests(&mut self) -> Vec<ServiceKey> {
        std::mem::take(&mut self.permit_requests)
    }

    /// Returns the name of a service.
    #[must_use]
    pub fn service_name(&self, service: ServiceKey) -> Option<&str> {
        let mut names = self.service_keys.iter();
        names
            .find(|(_, key)| **key == service)
            .map(|(name, _)| name.as_str())
    }

    /// Records that calls wait which a cold endpoint could take.
    pub(super) fn request_permit(&mut self, service: ServiceKey) {
        if self.services[service].held > 0 && !self.permit_requests.contains(&service) {
            self.permit_requests.push(service);
        }
    }

    /// Returns when the first endpoint of a service that a call with these regions may use admits
    /// a call, if none does now.
    pub(super) fn opens_at(
        &self,
        now: Instant,
        service: ServiceKey,
        regions: RegionSet,
    ) -> Option<Instant> {
        let row = &self.services[service];
        if row.room(regions).held == 0 || self.has_open_endpoint(service, regions) {
            return None;
        }
        let keys = row.endpoints.iter();
        let allowed = keys.filter(|key| self.is_allowed(**key, regions));
        let rows = allowed.map(|key| &self.endpoints[*key]);
        let held = rows.filter(|row| row.counted.is_held);
        let opens_at = held.filter_map(|row| row.admission.opens_at).min();
        Some(opens_at.unwrap_or(now).max(now))
    }

    /// Returns whether an endpoint admits the call early enough to answer it in time, if none
    /// does now.
    pub(super) fn opens_in_time(&self, now: Instant, call: &Call) -> bool {
        let median = self.estimate(call).map_or(0.0, |e| e.known_median());
        let opens_at = self
            .opens_at(now, call.service, call.regions)
            .unwrap_or(now);
        opens_at + seconds(median) < call.deadline
    }
}
