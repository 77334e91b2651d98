//! The rows of a run in the platform's table.
//!
//! A run has one head row, one row per recorded sample and one row per batch.
//! Every write includes the head row and is conditional on its version. This
//! orders all writes of a run, and the next write of a holder fails once
//! another holder has taken over.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The position of a sample in a run.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Slot {
    /// The group of the sample: the number of its prompt, in the order of the run.
    pub group: u64,
    /// The index of the sample in its group.
    pub index: u32,
}

/// Consecutive tokens that one weight version generated, as reported by the engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    /// The weight version.
    pub version: u64,
    /// The position of the first token, from 0.
    pub first: u32,
}

/// A finished and scored sample.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The position in the run.
    pub slot: Slot,
    /// The versions that generated the tokens.
    pub spans: Vec<Span>,
    /// The length in tokens.
    pub tokens: u32,
    /// The score from the scorer.
    pub score: f64,
    /// The fencing token of the holder that finished the sample. With `serial` it
    /// names the object that holds the text.
    pub fence: u64,
    /// The serial number of the generation at that holder.
    pub serial: u64,
}

impl Record {
    /// Returns the oldest version that generated a token, or `None` without tokens.
    #[must_use]
    pub fn oldest_version(&self) -> Option<u64> {
        oldest_version(&self.spans)
    }
}

/// Returns the oldest version of the spans.
pub(crate) fn oldest_version(spans: &[Span]) -> Option<u64> {
    spans.iter().map(|span| span.version).min()
}

/// The samples of one training step.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// The step, from 0.
    pub cursor: u64,
    /// The trainer's version when the batch was assembled, which can't change
    /// before the step is reported done.
    pub version: u64,
    /// The samples, in the order of their slots.
    pub records: Vec<Record>,
}

/// The progress of a run.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The fencing token of the holder that wrote last.
    pub fence: u64,
    /// The cursor of the next batch, which is the number of batches so far.
    #[serde(rename = "next")]
    pub next_cursor: u64,
    /// The number of steps reported done.
    #[serde(rename = "done")]
    pub done_steps: u64,
    /// The trainer's version.
    pub version: u64,
    /// All groups below this one were delivered.
    #[serde(rename = "low")]
    pub delivered_below: u64,
    /// Other groups that were delivered.
    #[serde(rename = "taken")]
    pub delivered: BTreeSet<u64>,
    /// The number of samples dropped because they exceeded the staleness bound.
    pub dropped: u64,
}

impl Head {
    /// Returns whether a group is in a batch.
    #[must_use]
    pub fn is_delivered(&self, group: u64) -> bool {
        group < self.delivered_below || self.delivered.contains(&group)
    }

    /// Records that a group is in a batch.
    pub(crate) fn mark_delivered(&mut self, group: u64) {
        self.delivered.insert(group);
        while self.delivered.remove(&self.delivered_below) {
            self.delivered_below += 1;
        }
    }
}

/// The name of a row other than the head.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RowName {
    /// A recorded sample, by its slot.
    Sample(Slot),
    /// A batch, by its cursor.
    Batch(u64),
}

/// A row other than the head.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// A recorded sample.
    Sample(Record),
    /// A batch.
    Batch(Batch),
}

impl Row {
    /// Returns the name of the row.
    #[must_use]
    pub const fn name(&self) -> RowName {
        match self {
            Self::Sample(record) => RowName::Sample(record.slot),
            Self::Batch(batch) => RowName::Batch(batch.cursor),
        }
    }
}

/// A transaction on the rows of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The version that the head row must have; 0 if it must not exist.
    pub expected_version: u64,
    /// The new head.
    pub head: Head,
    /// Rows to write.
    pub puts: Vec<Row>,
    /// Rows to remove.
    pub deletes: Vec<RowName>,
}
