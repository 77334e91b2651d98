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
//!
//! A record also names what is loaded, so that owners of batches know of the load before
//! it begins ([`crate::rollout::loading`]). Records without it, or with a form of it that
//! isn't known, still keep holders apart.

use crate::{clock::millis, rollout::load_plan::WeightLoad};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::{collections::BTreeMap, time::Duration};

/// An order is sent within this time after its record was begun, or not at all. A slow
/// store takes 250 ms for a write.
pub const ORDER_TTL: Duration = Duration::from_millis(600);
/// Maximum difference between two processes' estimates of the store's clock: half of a
/// slow round trip.
pub(super) const MAX_CLOCK_SKEW: Duration = Duration::from_millis(250);

/// The last order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// The holder that gave the order.
    pub holder: String,
    /// The store's steady clock when the order was recorded, in milliseconds.
    #[serde(rename = "at")]
    pub recorded_at: u64,
    /// The model that is loaded, if the record names it.
    #[serde(
        default,
        deserialize_with = "known_text",
        skip_serializing_if = "Option::is_none"
    )]
    pub model: Option<String>,
    /// The version that is loaded, if the record names it.
    #[serde(
        default,
        deserialize_with = "known_number",
        skip_serializing_if = "Option::is_none"
    )]
    pub version: Option<u64>,
}

/// Decodes a text; another type counts as missing.
fn known_text<'de, D: Deserializer<'de>>(value: D) -> Result<Option<String>, D::Error> {
    Ok(Value::deserialize(value)?.as_str().map(str::to_owned))
}

/// Decodes a number; another type counts as missing.
fn known_number<'de, D: Deserializer<'de>>(value: D) -> Result<Option<u64>, D::Error> {
    Ok(Value::deserialize(value)?.as_u64())
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

    /// Decodes the records that are intact, and returns the number of others.
    ///
    /// For processes that don't order loads: one that does must know of every order.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if these are no records at all.
    pub fn decode_intact(bytes: &[u8]) -> serde_json::Result<(Self, usize)> {
        #[derive(Deserialize)]
        struct Rows {
            engines: BTreeMap<String, Value>,
        }
        let rows: Rows = serde_json::from_slice(bytes)?;
        let count = rows.engines.len();
        let decoded = rows.engines.into_iter().filter_map(|(id, value)| {
            let record = serde_json::from_value(value).ok()?;
            Some((id, record))
        });
        let records = Self {
            engines: decoded.collect(),
        };
        let broken = count - records.engines.len();
        Ok((records, broken))
    }

    /// Records that `holder` is about to order an engine at the store's time `now`.
    pub fn record(&mut self, engine: &str, holder: &str, now: Duration) {
        let record = OrderRecord {
            holder: holder.to_owned(),
            recorded_at: millis(now),
            model: None,
            version: None,
        };
        self.engines.insert(engine.to_owned(), record);
    }

    /// Records that `holder` is about to order a load at the store's time `now`.
    pub fn record_load(&mut self, load: &WeightLoad, holder: &str, now: Duration) {
        let record = OrderRecord {
            holder: holder.to_owned(),
            recorded_at: millis(now),
            model: Some(load.model.clone()),
            version: Some(load.version),
        };
        self.engines.insert(load.endpoint.clone(), record);
    }

    /// Returns the last order to each engine, by engine ID.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &OrderRecord)> {
        self.engines
            .iter()
            .map(|(id, record)| (id.as_str(), record))
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
