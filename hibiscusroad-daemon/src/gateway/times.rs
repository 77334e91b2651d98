//! The time of day that usage windows are based on.

use super::store::Store;
use hibiscusroad::usage::{Offset, agreed_time};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, SystemTime},
};

/// This host's time of day, corrected by the offsets that other gateways report.
#[derive(Clone)]
pub(super) struct Times {
    store: Rc<Store>,
    others: Rc<RefCell<Vec<Offset>>>,
}

impl Times {
    pub(super) fn new(store: Rc<Store>) -> Self {
        Self {
            store,
            others: Rc::default(),
        }
    }

    /// Returns the agreed time of day since the Unix epoch.
    pub(super) fn now(&self) -> Duration {
        let own = host_time();
        let store = self.store.now();
        store.map_or(own, |store| agreed_time(own, store, &self.others.borrow()))
    }

    /// Returns the offset of this host's time of day from the store's clock, if the
    /// latter is known.
    pub(super) fn offset(&self) -> Option<Offset> {
        let store = self.store.now()?;
        Some(Offset::between(host_time(), store))
    }

    /// Sets the offsets that other gateways report.
    pub(super) fn set_offsets(&self, others: Vec<Offset>) {
        self.others.replace(others);
    }
}

fn host_time() -> Duration {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default()
}
