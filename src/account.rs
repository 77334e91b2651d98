//! Client accounts and the keys that authenticate them.
//!
//! Accounts are an immutable part of one version of the configuration, like routes: a
//! request is judged by the version under which it began. The text of a key is never
//! kept: it is hashed to a [`Key`] when it is decoded, from the configuration or from a
//! request. So it can't leak into a log, a metric or an endpoint. The time of a lookup
//! reveals nothing either: it depends on digests, from which a key can't be guessed.
//!
//! The trade-off: operators can't see which key a caller sent, only why it was refused.

use crate::ErrorKind;
use sha2::{Digest, Sha256};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{HashMap, HashSet},
    fmt,
};

new_key_type! {
    /// Identifies an account within one version of the configuration.
    pub struct AccountId;
}

/// The SHA-256 digest of a key's text.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct Key([u8; 32]);

impl Key {
    /// Hashes the text of a key.
    #[must_use]
    pub fn of(text: &[u8]) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Debug for Key {
    // A short key can be found from its digest by search, so digests stay out of logs, too.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The credential that a caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// No credential.
    Missing,
    /// Not a single key: another scheme, two headers, or not text.
    Malformed,
    /// A key, which may be unknown.
    Key(Key),
}

/// One client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// The name, which is sent to endpoints.
    pub name: String,
    /// The priority, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// The regions in which its requests may be served, cached and stored; empty for all.
    pub allowed_regions: Vec<String>,
}

/// All accounts of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    table: SlotMap<AccountId, Account>,
    ids: HashMap<Key, AccountId>,
    /// Keys of several accounts, which authenticate none of them.
    shared_keys: HashSet<Key>,
}

impl Accounts {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an account with its keys.
    ///
    /// A key that another account also has authenticates neither of them: its callers could
    /// act for, and be charged to, the wrong account.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = Key>) {
        let id = self.table.insert(account);
        for key in keys {
            let has_other_owner = self.ids.get(&key).is_some_and(|owner| *owner != id);
            if has_other_owner || self.shared_keys.contains(&key) {
                self.ids.remove(&key);
                self.shared_keys.insert(key);
            } else {
                self.ids.insert(key, id);
            }
        }
    }

    /// Returns the number of keys that several accounts have, which authenticate none of them.
    #[must_use]
    pub fn shared_key_count(&self) -> usize {
        self.shared_keys.len()
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the account with a name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<&Account> {
        self.table.values().find(|account| account.name == name)
    }

    /// Returns the account that a credential authenticates.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if the credential authenticates no account.
    pub fn authenticate(&self, credential: Credential) -> Result<&Account, ErrorKind> {
        let key = match credential {
            Credential::Missing => return Err(ErrorKind::KeyMissing),
            Credential::Malformed => return Err(ErrorKind::KeyMalformed),
            Credential::Key(key) => key,
        };
        let account = self.ids.get(&key).and_then(|id| self.table.get(*id));
        account.ok_or(ErrorKind::KeyUnknown)
    }
}
