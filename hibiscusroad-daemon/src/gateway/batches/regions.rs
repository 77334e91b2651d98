//! The regions in which a batch may be run and held.
//!
//! Items are bound by the lists at the acceptance, which the head keeps, and by those of the
//! present configuration. The head also tells which processes may own the batch.

use super::{Batches, HeadRow, OwnedBatch};
use crate::logs::BATCHES;
use hibiscusroad::{
    account::Account,
    catalog::Route,
    rollout::row::Head,
    topology::{RegionSet, common_names},
};
use std::time::Duration;
use tokio::time::sleep;

/// Time between two tries to hand on a batch that this process may not hold. Members are read
/// more rarely.
const GIVE_AWAY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the names of the regions that a route and an account allow; `None` for all.
pub(super) fn allowed_names(route: &Route, account: Option<&Account>) -> Option<Vec<String>> {
    let by_account = account.map_or(&[][..], |account| &account.allowed_regions);
    common_names(&route.allowed_regions, by_account)
}

impl Batches {
    /// Returns the regions in which items of a batch may run.
    pub(super) fn regions(&self, owned: &OwnedBatch, route: &Route) -> RegionSet {
        let by_route = self.topology().allowed(&route.allowed_regions);
        let accepted = owned.regions.intersection(by_route);
        accepted.intersection(self.account_regions(owned))
    }

    /// Returns the regions that are allowed for the account of a batch.
    pub(super) fn account_regions(&self, owned: &OwnedBatch) -> RegionSet {
        let Some((name, catalog)) = owned.account.as_deref().zip(self.known.catalog()) else {
            return RegionSet::ALL;
        };
        if let Some((version, regions)) = owned.account_regions.get()
            && version == catalog.version
        {
            return regions;
        }
        // An account that was removed may have been limited.
        let regions = catalog.account(name).map_or(owned.regions, |account| {
            self.topology().allowed(&account.allowed_regions)
        });
        owned.account_regions.set(Some((catalog.version, regions)));
        regions
    }

    /// Returns whether a list of allowed regions has no data centre.
    pub(super) fn is_nowhere(&self, allowed: Option<&[String]>) -> bool {
        allowed.is_some_and(|names| self.topology().named(names).is_empty())
    }

    /// Returns whether this process may own a batch and hold its data.
    pub(super) fn may_hold(&self, head: &Head) -> bool {
        head.may_be_held_in(Some(self.topology().own_region_name()))
    }

    /// Hands on a batch that names this process as its owner although it may not hold it, as a
    /// process that doesn't know the regions of batches may do.
    pub(super) async fn give_away(&self, id: &str) {
        log::warn!(target: BATCHES, batch = id, region = self.topology().own_region_name();
            "A batch was given to this process, in a region that may not hold it.");
        let is_own = |row: &HeadRow| row.head.owner == self.incarnation && !row.head.ended;
        while self.head(id).is_some_and(|row| is_own(&row)) {
            self.ensure_members().await;
            self.hand_over(id).await;
            sleep(GIVE_AWAY_INTERVAL).await;
        }
    }
}
