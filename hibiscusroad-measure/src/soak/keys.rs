//! Keys of the callers' account, which change with each configuration.
//!
//! Each configuration holds a new key and the one before it. Callers present the older one,
//! which is also in the previous configuration, so that a gateway that has not yet received
//! the newest configuration accepts it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// The client account of interactive callers.
pub(super) const CALLER_ACCOUNT: &str = "callers";
/// Time after its removal from which on every gateway must refuse a key; longer than two
/// consecutive cuts of the connection to the store.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(12);

/// Times at which keys were issued, by key number. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Keys {
    issued: Arc<Mutex<Vec<Instant>>>,
}

impl Keys {
    /// Creates the keys of the first configuration.
    pub(super) fn new() -> Self {
        let keys = Self::default();
        keys.rotate();
        keys.rotate();
        keys
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.issued.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues a key and removes the oldest one.
    pub(super) fn rotate(&self) {
        self.lock().push(Instant::now());
    }

    /// Returns the keys that the newest configuration holds.
    pub(super) fn active(&self) -> [String; 2] {
        let newest = self.lock().len() - 1;
        [newest, newest - 1].map(key_value)
    }

    /// Returns the number of the key that callers present.
    pub(super) fn presented(&self) -> usize {
        self.lock().len() - 2
    }

    /// Returns whether the newest configuration holds a key.
    pub(super) fn is_active(&self, number: usize) -> bool {
        number + 2 >= self.lock().len()
    }

    /// Returns whether every gateway must refuse a key.
    pub(super) fn is_revoked(&self, number: usize) -> bool {
        // A key is removed when the second key after it is issued.
        let issued = self.lock();
        issued
            .get(number + 2)
            .is_some_and(|at| at.elapsed() > REVOCATION_TIMEOUT)
    }
}

/// Returns the value of a key.
pub(super) fn key_value(number: usize) -> String {
    format!("{CALLER_ACCOUNT}-key-{number}")
}
