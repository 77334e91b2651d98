//! The history of the platform's writes and request counts.

use super::{table::Change, wire::Bytes};
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// One row that a write changed.
#[derive(Clone, Debug, Serialize)]
pub struct Written {
    /// The key, with invalid UTF-8 replaced.
    pub key: String,
    /// The value, `None` if the row was deleted.
    pub value: Option<Bytes>,
}

/// One transaction that changed the table.
#[derive(Clone, Debug, Serialize)]
pub struct Write {
    /// The table's revision after the write.
    pub revision: i64,
    /// The time of the write in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The changed rows.
    pub rows: Vec<Written>,
    /// Whether the writer received an answer.
    pub answered: bool,
}

/// Request counts by kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Reads of the table.
    pub reads: u64,
    /// Transactions that changed the table.
    pub writes: u64,
    /// Transactions that changed nothing.
    pub unchanged: u64,
    /// Reads of the object store.
    pub object_reads: u64,
    /// Writes of the object store.
    pub object_writes: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Reads of the weight store.
    pub weight_reads: u64,
    /// Reads that the weight store refused because of its rate limit.
    pub weight_refusals: u64,
}

/// Writes and request counts since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// All writes of the table, oldest first.
    pub writes: Vec<Write>,
    /// Request counts.
    pub counts: Counts,
}

impl History {
    /// Adds a write.
    pub fn add(&mut self, revision: i64, changes: Vec<Change>, answered: bool) {
        let rows = changes.into_iter().map(|change| Written {
            key: String::from_utf8_lossy(&change.key).into_owned(),
            value: change.value.map(Bytes),
        });
        self.writes.push(Write {
            revision,
            at_ms: epoch_ms(),
            rows: rows.collect(),
            answered,
        });
    }
}

/// Returns the milliseconds since the Unix epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
