//! Client accounts and the keys by which callers prove them.
//!
//! An account is an immutable part of one version of the configuration, like routes:
//! a request is judged by the version that it began under. A key's text is never
//! kept. It becomes a [`Key`], its SHA-256 digest, when it is decoded, both from the
//! configuration and from a caller. So it can't reach a log, a metric or an endpoint
//! by mistake, and a lookup takes the same time for every wrong key: what a hash map
//! compares early are digests, from which nothing of a key can be guessed.
//!
//! The trade-off: operators can't be shown which key it was that a caller showed,
//! only why it was refused.

use crate::ErrorKind;
use sha2::{Digest, Sha256};
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{HashMap, HashSet},
    fmt,
};

new_key_type! {
    /// An account of one version of the configuration.
    pub struct AccountKey;
}

/// The digest of a key's text.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct Key([u8; 32]);

impl Key {
    /// Takes in a key's text.
    #[must_use]
    pub fn of(text: &[u8]) -> Self {
        Self(Sha256::digest(text).into())
    }
}

impl fmt::Debug for Key {
    // Digests of short keys can be searched for: not even they go into a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What a caller showed to prove its account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// Nothing.
    Missing,
    /// Something that is no single key: another scheme, two headers, no text.
    Malformed,
    /// A key, which may name nobody.
    Key(Key),
}

/// One client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name, which endpoints are told.
    pub name: String,
    /// Its rank, which goes before a route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// All accounts of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    table: SlotMap<AccountKey, Account>,
    keys: HashMap<Key, AccountKey>,
    /// Keys that several accounts hold.
    shared: HashSet<Key>,
}

impl Accounts {
    /// Creates a table without accounts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an account with its keys.
    ///
    /// A key that another account holds as well proves neither from then on: whoever
    /// shows it would act for, and be counted as, an account that may not be its own.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = Key>) {
        let own = self.table.insert(account);
        for key in keys {
            let other = self.keys.get(&key).is_some_and(|holder| *holder != own);
            if other || self.shared.contains(&key) {
                self.keys.remove(&key);
                self.shared.insert(key);
            } else {
                self.keys.insert(key, own);
            }
        }
    }

    /// Returns how many keys prove nobody because several accounts hold them.
    #[must_use]
    pub fn shared(&self) -> usize {
        self.shared.len()
    }

    /// Returns how many accounts there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Says whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Finds the account that a caller proves.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if it proves none.
    pub fn authenticate(&self, shown: Credential) -> Result<&Account, ErrorKind> {
        let key = match shown {
            Credential::Missing => return Err(ErrorKind::KeyMissing),
            Credential::Malformed => return Err(ErrorKind::KeyMalformed),
            Credential::Key(key) => key,
        };
        let account = self.keys.get(&key).and_then(|key| self.table.get(*key));
        account.ok_or(ErrorKind::KeyUnknown)
    }
}
