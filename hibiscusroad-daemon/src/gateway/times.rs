//! The time of day by which usage is counted.

use super::store::Store;
use hibiscusroad::usage::{Offset, agreed_time};
use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, SystemTime},
};

/// This host's time of day beside what other gateways tell of theirs.
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

    /// Returns the time of day, counted from the start of 1970.
    pub(super) fn now(&self) -> Duration {
        let own = host_time();
        let store = self.store.now();
        store.map_or(own, |store| agreed_time(own, store, &self.others.borrow()))
    }

    /// Returns how far this host's time of day is from the store's clock, if that is
    /// known.
    pub(super) fn offset(&self) -> Option<Offset> {
        let store = self.store.now()?;
        Some(Offset::between(host_time(), store))
    }

    /// Takes in what the other gateways tell.
    pub(super) fn hear(&self, others: Vec<Offset>) {
        self.others.replace(others);
    }
}

fn host_time() -> Duration {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.unwrap_or_default()
}
