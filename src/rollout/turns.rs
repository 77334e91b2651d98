//! Which engines were ordered by whom lately, so that holders don't cross.
//!
//! The duty of loading weights changes hands when its holder dies, freezes or is
//! cut off. An engine that checks no fencing numbers takes the orders of both
//! holders, in whatever order they arrive. Harm: a new holder that begins at once
//! can be overtaken by the former one's last order, and the engine runs weights
//! that nobody expects. A new holder that leaves all engines alone until the
//! former one's time is surely over keeps every model's steps waiting: up to 6 s
//! after all processes were lost, of the 7 s that a step has.
//!
//! So a holder writes down which engines it is about to order, under the
//! condition that the lease's row is as it left it, and sends nothing that isn't
//! written down. Whoever takes the lease changes that row, reads what was written
//! down before, and leaves just those engines alone. This also makes it safe to
//! take the lease from a holder that is only suspected to be gone: its next
//! order fails at the store.

use crate::clock::millis;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// An order is sent within this time after it began to be written down, or not
/// at all: a slow store takes a quarter of a second for a write.
pub const VALID: Duration = Duration::from_millis(600);
/// By how much two processes may differ about the store's clock: the half of a
/// slow answer.
const SKEW: Duration = Duration::from_millis(250);

/// The last order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Turn {
    /// Who gave it.
    pub holder: String,
    /// The store's steady clock when it was written down, in milliseconds.
    pub at: u64,
}

/// The last orders to all engines, by their ids.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Turns {
    engines: BTreeMap<String, Turn>,
}

impl Turns {
    /// Creates a table without an order.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `holder` is about to order an engine at the store's time `now`.
    pub fn note(&mut self, engine: &str, holder: &str, now: Duration) {
        let turn = Turn {
            holder: holder.to_owned(),
            at: millis(now),
        };
        self.engines.insert(engine.to_owned(), turn);
    }

    /// Says until when `holder` has to leave an engine alone, by the store's
    /// clock; holders that order one engine must be `apart` from each other.
    #[must_use]
    pub fn barred(&self, engine: &str, holder: &str, apart: Duration) -> Option<Duration> {
        let turn = self.engines.get(engine)?;
        (turn.holder != holder).then(|| Duration::from_millis(turn.at) + VALID + apart + SKEW)
    }

    /// Drops orders that bar nobody any more at the store's time `now`.
    pub fn expire(&mut self, now: Duration, apart: Duration) {
        let end = |turn: &Turn| Duration::from_millis(turn.at) + VALID + apart + SKEW;
        self.engines.retain(|_, turn| end(turn) > now);
    }
}
