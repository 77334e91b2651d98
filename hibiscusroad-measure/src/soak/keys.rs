//! Keys of the callers' account, which change with each configuration.
//!
//! Each configuration holds a new key and the one before it. Callers show the older one,
//! which both the newest configuration and the one before hold: a gateway that has not
//! heard of the newest yet may not refuse it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The account of callers in person.
pub(super) const CALLERS: &str = "callers";
/// A key that was taken away for so long opens nothing at any gateway: the longest cut
/// from the store is 4 s, and one may follow another.
const GONE: Duration = Duration::from_secs(12);

/// When each key was given out, by its number. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys {
    given: Arc<Mutex<Vec<Instant>>>,
}

impl Keys {
    /// Creates the keys of the first configuration.
    pub(super) fn new() -> Self {
        let keys = Self::default();
        keys.turn();
        keys.turn();
        keys
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.given.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives out another key, and takes the oldest one away.
    pub(super) fn turn(&self) {
        self.lock().push(Instant::now());
    }

    /// Returns the keys that the newest configuration holds.
    pub(super) fn held(&self) -> [String; 2] {
        let newest = self.lock().len() - 1;
        [newest, newest - 1].map(text)
    }

    /// Returns the number of the key that callers show.
    pub(super) fn shown(&self) -> usize {
        self.lock().len() - 2
    }

    /// Says whether the newest configuration holds a key.
    pub(super) fn holds(&self, number: usize) -> bool {
        number + 2 >= self.lock().len()
    }

    /// Says whether no gateway may take a key any more.
    pub(super) fn is_gone(&self, number: usize) -> bool {
        // It was taken away when the second one after it was given out.
        let given = self.lock();
        given.get(number + 2).is_some_and(|at| at.elapsed() > GONE)
    }
}

/// Returns the text of a key.
pub(super) fn text(number: usize) -> String {
    format!("{CALLERS}-key-{number}")
}
