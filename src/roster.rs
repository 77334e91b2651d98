//! The endpoints that are registered in the store.
//!
//! An endpoint whose entry is removed has left and is dropped at once, with one exception.
//! During an outage of the store endpoints can't renew their entries, which then expire
//! although the endpoints serve; live endpoints register again about two seconds after the
//! outage. Dropping them at once would empty whole services. So an entry that goes missing
//! within [`REREGISTRATION_GRACE`] of an outage is kept for the rest of that time.
//!
//! The roster also marks the endpoints of evacuated data centres ([`crate::evacuation`]), and
//! changes of evacuations are changes of their endpoints. It is the one place from which senders
//! of requests learn of both. Until the evacuations are known, it has no endpoint for them.

use crate::evacuation::{EvacuationChange, EvacuationRow, Evacuations};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after an outage for which a missing entry is kept: endpoints register again within
/// two seconds, and the change takes time to arrive.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_300);

/// The weights that an engine runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// The version of the weights.
    pub version: u64,
}

/// A registered endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The id, which a restarted endpoint may keep.
    pub id: String,
    /// The start of this incarnation, in milliseconds since 1970 by the endpoint's clock.
    /// State of an earlier incarnation is void.
    pub started_ms: Option<u64>,
    /// The service to which the endpoint belongs.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: String,
    /// Requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint has announced its shutdown.
    pub leaving: bool,
    /// How much longer the endpoint stays cold, by the time that its entry was written.
    pub cold_remaining: Duration,
    /// Whether its data centre is evacuated. Entries don't tell; the roster sets it.
    pub evacuated: bool,
    /// The weights of a model engine.
    pub weights: Vec<Weights>,
}

impl Endpoint {
    /// Returns whether it may get requests, whatever their kind.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        !self.leaving && !self.evacuated
    }
}

/// A change of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// An endpoint is new or has changed.
    Updated(Endpoint),
    /// The endpoint with this id was removed.
    Removed(String),
}

impl EndpointChange {
    /// Returns the endpoint that is new or has changed.
    #[must_use]
    pub const fn updated(&self) -> Option<&Endpoint> {
        match self {
            Self::Updated(endpoint) => Some(endpoint),
            Self::Removed(_) => None,
        }
    }

    /// Returns the id of the endpoint that was removed.
    #[must_use]
    pub fn removed(&self) -> Option<&str> {
        match self {
            Self::Updated(_) => None,
            Self::Removed(id) => Some(id),
        }
    }
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    /// Set while the entry is missing: when the endpoint is dropped.
    drop_at: Option<Instant>,
}

/// Changes of evacuations, and the endpoints that they concern.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationUpdate {
    /// The data centres whose state has changed.
    pub evacuations: Vec<EvacuationChange>,
    /// The changes of endpoints, those that open first; all endpoints when the evacuations become
    /// known.
    pub endpoints: Vec<EndpointChange>,
}

/// All known endpoints.
#[derive(Debug, Default)]
pub struct Roster {
    rows: HashMap<String, Row>,
    /// The end of the grace period after an outage.
    grace_end: Option<Instant>,
    evacuations: Evacuations,
}

impl Roster {
    /// Creates an empty roster, which reports no endpoint before it knows the evacuations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store answers again after an outage.
    pub fn record_recovery(&mut self, now: Instant) {
        self.grace_end = Some(now + REREGISTRATION_GRACE);
    }

    /// Replaces all entries; endpoints without an entry are missing from now on.
    pub fn replace(&mut self, now: Instant, all: Vec<Endpoint>) -> Vec<EndpointChange> {
        let present: HashSet<&str> = all.iter().map(|endpoint| endpoint.id.as_str()).collect();
        let missing = self.rows.keys().filter(|id| !present.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let mut changes = Vec::new();
        for id in missing {
            changes.extend(self.remove(now, &id));
        }
        let updates = all.into_iter().flat_map(|endpoint| self.update(endpoint));
        changes.extend(updates);
        changes
    }

    /// Adds or updates an entry.
    ///
    /// A restarted endpoint, which has lost its state, is reported as removed and as updated.
    /// A late entry of an earlier incarnation is ignored.
    pub fn update(&mut self, mut endpoint: Endpoint) -> Vec<EndpointChange> {
        endpoint.evacuated = self.evacuations.contains(&endpoint.data_centre);
        let mut changes = Vec::new();
        if let Some(row) = self.rows.get_mut(&endpoint.id) {
            let (old_start, new_start) = (row.endpoint.started_ms, endpoint.started_ms);
            if old_start.zip(new_start).is_some_and(|(old, new)| new < old) {
                return changes;
            }
            row.drop_at = None;
            // A remaining time holds from each entry anew, also if it is the same as before.
            if row.endpoint == endpoint && endpoint.cold_remaining.is_zero() {
                return changes;
            }
            if old_start != new_start {
                changes.push(EndpointChange::Removed(endpoint.id.clone()));
            }
        }
        let row = Row {
            endpoint: endpoint.clone(),
            drop_at: None,
        };
        self.rows.insert(endpoint.id.clone(), row);
        changes.push(EndpointChange::Updated(endpoint));
        if !self.evacuations.is_known() {
            changes.clear();
        }
        changes
    }

    /// Records that an entry is missing.
    pub fn remove(&mut self, now: Instant, id: &str) -> Option<EndpointChange> {
        let row = self.rows.get_mut(id)?;
        if let Some(until) = self.grace_end.filter(|until| now < *until) {
            row.drop_at.get_or_insert(until);
            return None;
        }
        self.rows.remove(id);
        let is_known = self.evacuations.is_known();
        is_known.then(|| EndpointChange::Removed(id.to_owned()))
    }

    /// Drops the endpoints whose entries are still missing after the grace period.
    pub fn expire(&mut self, now: Instant) -> Vec<EndpointChange> {
        let is_due = |row: &Row| row.drop_at.is_some_and(|until| until <= now);
        let rows = self.rows.iter().filter(|(_, row)| is_due(row));
        let ids: Vec<String> = rows.map(|(id, _)| id.clone()).collect();
        let is_known = self.evacuations.is_known();
        ids.into_iter()
            .filter_map(|id| {
                self.rows.remove(&id);
                is_known.then_some(EndpointChange::Removed(id))
            })
            .collect()
    }

    /// Returns whether it reports endpoints, since the evacuations are known.
    #[must_use]
    pub fn is_reporting(&self) -> bool {
        self.evacuations.is_known()
    }

    /// Replaces the evacuations by a read of all their rows as of a version of the store.
    pub fn replace_evacuations(
        &mut self,
        version: u64,
        rows: impl IntoIterator<Item = EvacuationRow>,
    ) -> EvacuationUpdate {
        let is_first = !self.evacuations.is_known();
        let evacuations = self.evacuations.replace(version, rows);
        self.mark_endpoints(evacuations, is_first)
    }

    /// Applies changes of the rows of evacuations up to a version of the store.
    pub fn update_evacuations<'a>(
        &mut self,
        version: u64,
        rows: impl IntoIterator<Item = EvacuationRow>,
        removed: impl IntoIterator<Item = &'a str>,
    ) -> EvacuationUpdate {
        let evacuations = self.evacuations.update(version, rows, removed);
        self.mark_endpoints(evacuations, false)
    }

    /// Marks the endpoints in evacuated data centres, and returns those that have changed, or
    /// all of them.
    fn mark_endpoints(&mut self, changes: Vec<EvacuationChange>, all: bool) -> EvacuationUpdate {
        let mut endpoints = Vec::new();
        if all || !changes.is_empty() {
            for Row { endpoint, .. } in self.rows.values_mut() {
                let evacuated = self.evacuations.contains(&endpoint.data_centre);
                if endpoint.evacuated != evacuated || all {
                    endpoint.evacuated = evacuated;
                    endpoints.push(EndpointChange::Updated(endpoint.clone()));
                }
            }
        }
        if !self.evacuations.is_known() {
            endpoints.clear();
        }
        // Endpoints that open come first: a call that waits must not find all of them closed
        // while one data centre takes the place of another.
        endpoints.sort_by_key(|change| change.updated().is_some_and(|it| it.evacuated));
        EvacuationUpdate {
            evacuations: changes,
            endpoints,
        }
    }

    /// Returns whether the evacuations are known, and with them the endpoints.
    #[must_use]
    pub const fn knows_evacuations(&self) -> bool {
        self.evacuations.is_known()
    }

    /// Returns the evacuated data centres by name.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        self.evacuations.iter()
    }

    /// Returns until when an endpoint is kept whose entry is missing.
    #[must_use]
    pub fn kept_until(&self, id: &str) -> Option<Instant> {
        self.rows.get(id).and_then(|row| row.drop_at)
    }

    /// Returns the number of endpoints that are kept although their entries are missing.
    #[must_use]
    pub fn kept_count(&self) -> usize {
        let kept = self.rows.values().filter(|row| row.drop_at.is_some());
        kept.count()
    }

    /// Returns when [`Roster::expire`] next drops an endpoint.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.rows.values().filter_map(|row| row.drop_at).min()
    }

    /// Returns the endpoint with an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        let row = self.rows.get(id).filter(|_| self.evacuations.is_known());
        row.map(|row| &row.endpoint)
    }

    /// Returns all endpoints, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        let rows = self.rows.values().filter(|_| self.evacuations.is_known());
        rows.map(|row| &row.endpoint)
    }
}
