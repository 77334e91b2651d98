//! What the regions that a call may use have for it: room, pools, waits and refusals.

use crate::{
    class::Class,
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        regions::{RegionRow, Room},
        router::Router,
        table::{FAR_COLD_TIER, FAR_TIER, REMOTE_TIER, ServiceRow},
    },
    topology::{Region, RegionSet},
};
use std::time::Instant;

impl ServiceRow {
    /// Returns the rows of a set of regions.
    pub(super) fn regions_in(&self, regions: RegionSet) -> impl Iterator<Item = &RegionRow> {
        let rows = self.regions.iter();
        rows.filter(move |row| regions.contains(row.region))
    }

    /// Returns what a set of regions has for calls.
    pub(super) fn room(&self, regions: RegionSet) -> Room {
        if regions.is_all() {
            return Room {
                capacity: self.capacity,
                free_slots: self.free_slots,
                usable: self.usable,
                held: self.held,
            };
        }
        let rows = self.regions_in(regions);
        rows.fold(Room::default(), |room, row| Room {
            capacity: room.capacity + row.capacity,
            free_slots: room.free_slots + row.free_slots,
            usable: room.usable + row.usable,
            held: room.held + row.held,
        })
    }

    /// Returns the pools of a tier that hold endpoints of a set of regions.
    pub(super) fn pools_of(
        &self,
        tier: usize,
        regions: RegionSet,
    ) -> impl Iterator<Item = &[EndpointKey]> + Clone {
        let first_cold = REMOTE_TIER + self.regions.len();
        let (first, last) = match tier {
            0..REMOTE_TIER => (tier, tier + 1),
            REMOTE_TIER | FAR_TIER => (REMOTE_TIER, first_cold),
            _ => (first_cold, self.pools.len()),
        };
        let is_far = matches!(tier, FAR_TIER | FAR_COLD_TIER);
        let pools = self.pools[first..last].iter().enumerate();
        let is_open = move |index: usize| {
            // The pools of the first tiers hold endpoints of the own region, which is the first.
            let row = &self.regions[if tier < REMOTE_TIER { 0 } else { index }];
            row.is_far == is_far && regions.contains(row.region)
        };
        let open = pools.filter(move |(index, pool)| !pool.is_empty() && is_open(*index));
        open.map(|(_, pool)| pool.as_slice())
    }

    /// Returns whether regions make a difference for a call of a class: it may not use all, or
    /// one that waits may not.
    fn is_regional(&self, class: Class, regions: RegionSet) -> bool {
        !regions.is_all() || !self.restricted[class.index()].is_empty()
    }

    /// Returns whether a call starts at once: one of its regions has a free slot for which no
    /// queued call competes.
    pub(super) fn starts_at_once(&self, class: Class, regions: RegionSet) -> bool {
        let restricted = &self.restricted[class.index()];
        self.is_regional(class, regions)
            && self.queue(class).len() == restricted.calls()
            && self.regions_in(regions).any(|row| {
                row.free_slots > 0 && restricted.compete_for(row.region).next().is_none()
            })
    }

    /// Returns the part of a class's queued work that competes with a call for its regions, as
    /// a factor on work that is spread over the slots of all regions.
    pub(super) fn competing_share(&self, class: Class, regions: RegionSet) -> f64 {
        let queue_work = self.queue(class).work();
        if !self.is_regional(class, regions) || queue_work <= 0.0 {
            return 1.0;
        }
        let restricted = &self.restricted[class.index()];
        let capacity = f64::from(self.capacity.max(1));
        let unrestricted = (queue_work - restricted.work()).max(0.0) / capacity;
        let work_per_slot = |row: &RegionRow| {
            let loads = restricted.compete_for(row.region);
            let restricted: f64 = loads
                .map(|load| load.work / f64::from(self.room(load.regions).capacity.max(1)))
                .sum();
            unrestricted + restricted
        };
        let usable = self.regions_in(regions).filter(|row| row.usable > 0);
        let least = usable.map(work_per_slot).min_by(f64::total_cmp);
        least.map_or(1.0, |least| least * capacity / queue_work)
    }

    /// Returns the work that a call waits for a slot, in seconds spread over the slots of all
    /// regions, if all slots of its regions are in use.
    pub(super) fn slot_wait(&self, regions: RegionSet, mean: f64) -> f64 {
        let room = self.room(regions);
        if room.free_slots == 0 {
            mean * (f64::from(self.capacity.max(1)) / f64::from(room.capacity.max(1)))
        } else {
            0.0
        }
    }
}

/// The endpoints of the own region, as seen by a call that leaves it.
///
/// Ordered by how close they are to getting the call; the state of several endpoints is the
/// highest of theirs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NearState {
    /// The call may not use the region.
    NotAllowed,
    /// There are none.
    None,
    /// All are evacuated or stopping.
    Evacuated,
    /// Those that are open are ejected.
    Ejected,
    /// Those that get calls have no free slot.
    Full,
    /// They have free slots but are slow or busy.
    Slow,
}

impl NearState {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotAllowed => "not-allowed",
            Self::None => "none",
            Self::Evacuated => "evacuated",
            Self::Ejected => "ejected",
            Self::Full => "full",
            Self::Slow => "slow",
        }
    }
}

impl Router {
    /// Returns the state of the own region's endpoints for a call that leaves the region.
    #[must_use]
    pub fn near_state(&self, service: ServiceKey, regions: RegionSet) -> NearState {
        let Some(row) = self.services.get(service) else {
            return NearState::None;
        };
        if !regions.contains(Region::OWN) {
            return NearState::NotAllowed;
        }
        let endpoints = row.endpoints.iter().map(|key| &self.endpoints[*key]);
        let near = endpoints.filter(|endpoint| endpoint.tier < FAR_TIER);
        let states = near.map(|endpoint| match endpoint.pool_index {
            Some(_) => NearState::Slow,
            None if endpoint.is_usable() || endpoint.counted.is_held => NearState::Full,
            None if endpoint.accepting => NearState::Ejected,
            None => NearState::Evacuated,
        });
        states.max().unwrap_or(NearState::None)
    }

    /// Returns whether an endpoint is in a set of regions.
    pub(super) fn is_allowed(&self, endpoint: EndpointKey, regions: RegionSet) -> bool {
        let row = self.endpoints.get(endpoint);
        regions.is_all() || row.is_some_and(|row| regions.contains(row.region))
    }

    /// Returns whether a call with these regions has an endpoint that admits it now or after a
    /// trial.
    pub(super) fn has_open_endpoint(&self, service: ServiceKey, regions: RegionSet) -> bool {
        let row = &self.services[service];
        let mut awaiting = row.awaiting_trial.iter();
        row.room(regions).usable > 0 || awaiting.any(|key| self.is_allowed(*key, regions))
    }

    /// Checks that a call with these regions has an endpoint that may get it, now, after a trial,
    /// or once a cold one admits it.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if there is none.
    pub(super) fn check_endpoints(
        &self,
        service: ServiceKey,
        regions: RegionSet,
    ) -> Result<(), ErrorKind> {
        let row = &self.services[service];
        if row.room(regions).held > 0 || self.has_open_endpoint(service, regions) {
            Ok(())
        } else if row.usable == 0 && row.held == 0 && row.awaiting_trial.is_empty() {
            Err(ErrorKind::NoEndpoint)
        } else {
            Err(ErrorKind::NoEndpointInRegion)
        }
    }

    /// Takes an endpoint that awaits a trial by a call with these regions. One in another region
    /// is only tried where none near gets calls.
    pub(super) fn take_trial(
        &mut self,
        service: ServiceKey,
        regions: RegionSet,
    ) -> Option<EndpointKey> {
        let row = &self.services[service];
        let has_near = || {
            let mut near = row.regions_in(regions).filter(|row| !row.is_far);
            near.any(|row| row.usable > 0)
        };
        let fits = |key: &EndpointKey| {
            let is_near = self.endpoints[*key].tier < FAR_TIER;
            let row = &self.endpoints[*key];
            !row.is_held() && self.is_allowed(*key, regions) && (is_near || !has_near())
        };
        let position = row.awaiting_trial.iter().rposition(fits)?;
        Some(self.services[service].awaiting_trial.remove(position))
    }

    /// Returns the mean recent work of the usable endpoints among which a prefix is placed.
    pub(super) fn mean_work(
        &self,
        now: Instant,
        service: ServiceKey,
        regions: RegionSet,
        is_far: bool,
    ) -> f64 {
        let row = &self.services[service];
        if !self.topology.is_divided() {
            return row.recent_work.value(now) / f64::from(row.usable.max(1));
        }
        let rows = row.regions_in(regions).filter(|row| row.is_far == is_far);
        let (work, usable) = rows.fold((0.0, 0), |(work, usable), row| {
            (work + row.recent_work.value(now), usable + row.usable)
        });
        work / f64::from(usable.max(1))
    }
}
