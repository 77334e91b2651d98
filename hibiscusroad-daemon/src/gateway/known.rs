//! What this process knows of the operator's wishes, and since when.
//!
//! Only a newer version replaces what is known, so nothing that is read late or
//! twice takes this process back. How long ago the store last confirmed it
//! tells whether a missing route is surely missing: without that a process that
//! was cut off would answer "not found" to a caller whose route was just added.

use hibiscusroad::catalog::Catalog;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// The store confirms what is known at least this often while it is reached:
/// the longest wait for changes, and the time limit of the answer.
const CONFIRMED: Duration = Duration::from_millis(2_900);

/// The configuration and the named weight versions.
#[derive(Debug, Default)]
pub(super) struct Known {
    catalog: RefCell<Option<Rc<Catalog>>>,
    confirmed: Cell<Option<Instant>>,
    /// How long keys are taken without a word of the store, if there is a limit.
    trust: Option<Duration>,
    named: RefCell<BTreeMap<String, u64>>,
}

impl Known {
    pub(super) fn new(trust: Option<Duration>) -> Self {
        Self {
            trust,
            ..Self::default()
        }
    }

    /// Returns the configuration in force.
    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Takes a configuration; `true` if it is newer and now in force.
    pub(super) fn offer(&self, catalog: Catalog) -> bool {
        let mut known = self.catalog.borrow_mut();
        let newer = known
            .as_ref()
            .is_none_or(|old| old.version < catalog.version);
        if newer {
            *known = Some(Rc::new(catalog));
        }
        newer
    }

    /// Notes that the store has told all there is.
    pub(super) fn confirm(&self, now: Instant) {
        self.confirmed.set(Some(now));
    }

    /// Says whether nothing newer can have been accepted long ago.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        let confirmed = self.confirmed.get();
        confirmed.is_some_and(|at| now.saturating_duration_since(at) < CONFIRMED)
    }

    /// Says whether the configuration was confirmed so long ago that no key may be
    /// taken on its word: it may have been taken away since.
    ///
    /// Where the operator sets no limit a process that the store has left goes on
    /// serving callers by what it knows last.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let Some(trust) = self.trust else {
            return false;
        };
        let confirmed = self.confirmed.get();
        confirmed.is_none_or(|at| now.saturating_duration_since(at) >= trust)
    }

    /// Takes a model's named version; `true` if it is newer.
    pub(super) fn name(&self, model: &str, version: u64) -> bool {
        let mut named = self.named.borrow_mut();
        let known = named.entry(model.to_owned()).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Returns all named versions.
    pub(super) fn named(&self) -> BTreeMap<String, u64> {
        self.named.borrow().clone()
    }
}
