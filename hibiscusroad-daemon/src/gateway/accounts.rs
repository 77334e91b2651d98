//! Client accounts in the queues of the router.
//!
//! The router knows an account by a hash of its name, so that its calls stay small. This module
//! builds the keys from the configuration. Names are found by the waiting requests, so nothing
//! is kept of accounts without any.
//!
//! A flood is refused thousands of times a second. An account therefore gets one line a second,
//! which counts the refusals since the last one; the counters have all of them.

use hibiscusroad::{
    account::Account,
    catalog::{Catalog, Route},
    route::AccountKey,
};
use std::rc::Rc;

/// Priority of all calls of scorers. Their class has slots of its own, and a text that waits
/// for its score has cost an engine seconds already, whosever it is.
const SCORER_PRIORITY: u8 = 0;

/// The account that a request waits for in the router's queues.
#[derive(Clone, Debug)]
pub(super) struct QueueAccount {
    /// The name; empty for callers without an account.
    pub(super) name: Rc<str>,
    pub(super) key: AccountKey,
}

impl QueueAccount {
    /// Returns the account of a caller; `None` if the configuration has no accounts.
    pub(super) fn of_caller(
        catalog: &Catalog,
        account: Option<&Account>,
        route: &Route,
    ) -> Option<Self> {
        let priority = account.and_then(|account| account.priority);
        let name = account.map(|account| account.name.as_str());
        Self::new(catalog, name, priority.unwrap_or(route.priority))
    }

    /// Returns the account of the scorers of a batch; `None` if the configuration has no
    /// accounts.
    pub(super) fn of_scorer(catalog: &Catalog, account: Option<&str>) -> Option<Self> {
        Self::new(catalog, account, SCORER_PRIORITY)
    }

    fn new(catalog: &Catalog, name: Option<&str>, priority: u8) -> Option<Self> {
        catalog.has_accounts().then(|| Self {
            name: name.unwrap_or_default().into(),
            key: AccountKey::new(name, priority),
        })
    }
}
