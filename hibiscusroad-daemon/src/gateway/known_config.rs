//! The operator's configuration as this process knows it.
//!
//! Only a newer version replaces the known one, so a late or repeated read never
//! reverts it. The time since the store last confirmed the configuration says
//! whether it may be out of date.

use hibiscusroad::catalog::Catalog;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

/// How long a confirmation by the store counts as current: the longest wait for
/// changes and the timeout of its answer.
const CONFIRMATION_TTL: Duration = Duration::from_millis(2_900);

/// The configuration and the named weight versions.
#[derive(Debug, Default)]
pub(super) struct KnownConfig {
    catalog: RefCell<Option<Rc<Catalog>>>,
    confirmed_at: Cell<Option<Instant>>,
    /// Maximum age of the confirmation with which keys are accepted, if limited.
    max_age: Option<Duration>,
    named_versions: RefCell<BTreeMap<String, u64>>,
}

impl KnownConfig {
    pub(super) fn new(max_age: Option<Duration>) -> Self {
        Self {
            max_age,
            ..Self::default()
        }
    }

    /// Returns the configuration in force.
    pub(super) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Replaces the configuration if the new one is newer; returns whether it is.
    pub(super) fn update_catalog(&self, catalog: Catalog) -> bool {
        let mut known = self.catalog.borrow_mut();
        let newer = known
            .as_ref()
            .is_none_or(|old| old.version < catalog.version);
        if newer {
            *known = Some(Rc::new(catalog));
        }
        newer
    }

    /// Records that the store confirmed the configuration.
    pub(super) fn confirm(&self, now: Instant) {
        self.confirmed_at.set(Some(now));
    }

    /// Returns whether the store has confirmed the configuration since an instant.
    pub(super) fn is_confirmed_since(&self, at: Instant) -> bool {
        let confirmed = self.confirmed_at.get();
        confirmed.is_some_and(|confirmed| confirmed > at)
    }

    /// Returns whether the store confirmed the configuration recently.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        let confirmed = self.confirmed_at.get();
        confirmed.is_some_and(|at| now.saturating_duration_since(at) < CONFIRMATION_TTL)
    }

    /// Returns whether the last confirmation is too old to accept keys, which may have
    /// been revoked since.
    ///
    /// Without a limit in the settings, a process that can't reach the store serves
    /// callers with its last configuration indefinitely.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let Some(max_age) = self.max_age else {
            return false;
        };
        let confirmed = self.confirmed_at.get();
        confirmed.is_none_or(|at| now.saturating_duration_since(at) >= max_age)
    }

    /// Sets a model's named weight version if it is newer; returns whether it is.
    pub(super) fn name_version(&self, model: &str, version: u64) -> bool {
        let mut named = self.named_versions.borrow_mut();
        let known = named.entry(model.to_owned()).or_default();
        let newer = version > *known;
        *known = version.max(*known);
        newer
    }

    /// Returns the named weight version of each model.
    pub(super) fn named_versions(&self) -> BTreeMap<String, u64> {
        self.named_versions.borrow().clone()
    }
}
