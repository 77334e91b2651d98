//! The interface to the table service that stores persistent data.
//!
//! Each row has a version that increases with each change. A transaction is atomic, and is
//! executed only if the rows of its conditions have the expected versions. Nothing else is
//! required of a store, so another store needs only an adapter.
//!
//! Beside done, conflict and refused, a transaction has the outcome [`Commit::Unknown`]: if
//! its answer is lost, it may have been executed, or may still be, seconds later. This is a
//! value rather than an error so that no caller can report it as a failure.

use std::{collections::HashSet, time::Duration};

/// Identifies a row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowId {
    /// The table.
    pub table: String,
    /// The part of the table; transactions within one part are the cheapest.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

impl RowId {
    /// Creates the id of a row.
    #[must_use]
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row as of some instant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The id.
    pub id: RowId,
    /// The content.
    pub value: Vec<u8>,
    /// The version of the last change.
    pub version: u64,
}

/// A range of keys in one part of a table.
#[derive(Clone, Copy, Debug)]
pub struct Range<'a> {
    /// The table.
    pub table: &'a str,
    /// The part.
    pub part: &'a str,
    /// The first key; `None` for no lower bound.
    pub start: Option<&'a str>,
    /// The exclusive end; `None` for no upper bound.
    pub end: Option<&'a str>,
    /// Most rows to return.
    pub limit: Option<usize>,
}

impl<'a> Range<'a> {
    /// Creates the range of all rows of a part.
    #[must_use]
    pub const fn part(table: &'a str, part: &'a str) -> Self {
        Self {
            table,
            part,
            start: None,
            end: None,
            limit: None,
        }
    }
}

/// The result of a read, as of one instant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The rows, ordered by key.
    pub rows: Vec<Row>,
    /// Whether the range has more rows.
    pub truncated: bool,
    /// The latest version of the store.
    pub version: u64,
    /// The store's steady clock.
    pub now: Duration,
}

/// A change of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RowChange {
    /// The row was added or changed.
    Written(Row),
    /// The row was removed.
    Removed(RowId),
}

impl RowChange {
    /// Returns the id of the row.
    #[must_use]
    pub const fn id(&self) -> &RowId {
        match self {
            Self::Written(row) => &row.id,
            Self::Removed(id) => id,
        }
    }
}

/// Changes of a table since a version.
///
/// Of each row it holds the last change alone, so that a row is either written or removed, and no
/// reader acts on a state that has passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    written: Vec<Row>,
    removed: Vec<RowId>,
    version: u64,
}

impl Changes {
    /// Creates the changes up to `version` from all changes, in the order in which they were made.
    #[must_use]
    pub fn new(history: Vec<RowChange>, version: u64) -> Self {
        let mut changes = Self {
            written: Vec::new(),
            removed: Vec::new(),
            version,
        };
        let mut ids = HashSet::new();
        for change in history.into_iter().rev() {
            if !ids.insert(change.id().clone()) {
                continue;
            }
            match change {
                RowChange::Written(row) => changes.written.push(row),
                RowChange::Removed(id) => changes.removed.push(id),
            }
        }
        changes.written.reverse();
        changes.removed.reverse();
        changes
    }

    /// Returns whether nothing has changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }

    /// Returns the rows that were added or changed, by the time of their last change.
    #[must_use]
    pub fn written(&self) -> &[Row] {
        &self.written
    }

    /// Returns the rows that were removed, by the time of their removal.
    #[must_use]
    pub fn removed(&self) -> &[RowId] {
        &self.removed
    }

    /// Returns the version from which to continue.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }
}

/// A transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// The versions that rows must have; 0 for a row that must not exist.
    pub expect: Vec<(RowId, u64)>,
    /// The rows to write.
    pub puts: Vec<(RowId, Vec<u8>)>,
    /// The rows to remove.
    pub removes: Vec<RowId>,
}

impl Change {
    /// Creates an empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, id: RowId, version: u64) -> Self {
        self.expect.push((id, version));
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, id: RowId, value: Vec<u8>) -> Self {
        self.puts.push((id, value));
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, id: RowId) -> Self {
        self.removes.push(id);
        self
    }
}

/// The outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// The transaction was executed.
    Done {
        /// The version of the rows that were written.
        version: u64,
        /// The store's steady clock.
        now: Duration,
    },
    /// A condition didn't hold; contains the existing rows of all conditions.
    Conflict(Vec<Row>),
    /// The store refused the transaction, which was not and won't be executed.
    Refused,
    /// The answer was lost: the transaction may have been executed, or may still be while
    /// its conditions hold.
    Unknown,
}
