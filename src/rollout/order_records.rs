//! Records the last order of weights to each engine, to keep two holders apart.
//!
//! When the duty of loading weights changes hands, a late order of the former holder could
//! override one of the new holder, because some engines don't check fencing tokens. A
//! holder therefore records each order in the store before it sends it, on the condition
//! that the row of its lease is unchanged.
//!
//! A new holder changes that row, reads the records, and spares the engines with recent
//! orders. This makes it safe to take the lease from a holder that is merely suspected to
//! be gone, because that one's next record is refused.

use crate::clock::millis;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// An order is sent within this time after its record was begun, or not at all. A slow
/// store takes 250 ms for a write.
pub const ORDER_TTL: Duration = Duration::from_millis(600);
/// Maximum difference between two processes' estimates of the store's clock: half of a
/// slow round trip.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(250);

/// The last order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// The holder that gave the order.
    pub holder: String,
    /// The store's steady clock when the order was recorded, in milliseconds.
    #[serde(rename = "at")]
    pub recorded_at: u64,
}

/// The last order to each engine, by engine ID.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecords {
    engines: BTreeMap<String, OrderRecord>,
}

impl OrderRecords {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `holder` is about to order an engine at the store's time `now`.
    pub fn record(&mut self, engine: &str, holder: &str, now: Duration) {
        let record = OrderRecord {
            holder: holder.to_owned(),
            recorded_at: millis(now),
        };
        self.engines.insert(engine.to_owned(), record);
    }

    /// Returns until when `holder` must not order an engine, by the store's clock, if
    /// another holder has ordered it.
    ///
    /// Orders of two holders to one engine are at least `apart` from each other.
    #[must_use]
    pub fn blocked_until(&self, engine: &str, holder: &str, apart: Duration) -> Option<Duration> {
        let record = self.engines.get(engine)?;
        (record.holder != holder)
            .then(|| Duration::from_millis(record.recorded_at) + ORDER_TTL + apart + MAX_CLOCK_SKEW)
    }

    /// Drops the orders that no longer block any holder at the store's time `now`.
    pub fn expire(&mut self, now: Duration, apart: Duration) {
        let end = |record: &OrderRecord| {
            Duration::from_millis(record.recorded_at) + ORDER_TTL + apart + MAX_CLOCK_SKEW
        };
        self.engines.retain(|_, record| end(record) > now);
    }
}
