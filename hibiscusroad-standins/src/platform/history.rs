//! The append-only record of what the platform did.

use super::{table::Change, wire::Bytes};
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// One row that a write changed.
#[derive(Clone, Debug, Serialize)]
pub struct Written {
    /// The key, as text where it is text.
    pub key: String,
    /// The value in base64; none if the row was deleted.
    pub value: Option<Bytes>,
}

/// One write of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Write {
    /// The revision that it made.
    pub revision: i64,
    /// Milliseconds since the epoch.
    pub at_ms: u64,
    /// What it changed.
    pub rows: Vec<Written>,
    /// Whether the writer was told.
    pub answered: bool,
}

/// How often each kind of request was served.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Reads of the table.
    pub reads: u64,
    /// Transactions of the table that changed something.
    pub writes: u64,
    /// Transactions of the table that changed nothing.
    pub unchanged: u64,
    /// Reads of the object store.
    pub object_reads: u64,
    /// Writes of the object store.
    pub object_writes: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Reads of the weight store.
    pub weight_reads: u64,
    /// Reads that the weight store refused.
    pub weight_refusals: u64,
}

/// The record.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    /// All writes of the table, oldest first.
    pub writes: Vec<Write>,
    /// Counts since the start.
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

/// Returns milliseconds since the epoch.
#[must_use]
pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
