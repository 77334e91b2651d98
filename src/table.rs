//! The narrow interface to a table service that keeps what must last.
//!
//! Rows carry a version that grows with each change; a transaction is carried
//! out whole or not at all, if the rows it names still have the versions it
//! expects. That is all the product asks of a store, so that another store is
//! one more translation.
//!
//! The outcome of a transaction has a fourth value beside done, conflict and
//! refused: [`Commit::Unknown`]. An answer that never came may belong to a write
//! that was done, or will be done seconds later. It is a value rather than an
//! error so that no caller can pass it on as a failure.

use std::time::Duration;

/// Names a row.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowId {
    /// The table.
    pub table: String,
    /// The part of the table; transactions within one part are cheapest.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

impl RowId {
    /// Names a row.
    #[must_use]
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row as it was at some moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its name.
    pub id: RowId,
    /// Its content.
    pub value: Vec<u8>,
    /// The version that its last change gave it.
    pub version: u64,
}

/// Rows of one part, by key.
#[derive(Clone, Copy, Debug)]
pub struct Range<'a> {
    /// The table.
    pub table: &'a str,
    /// The part.
    pub part: &'a str,
    /// The first key; `None` for the first of all.
    pub from: Option<&'a str>,
    /// The key after the last; `None` for no end.
    pub end: Option<&'a str>,
    /// Most rows wanted.
    pub limit: Option<usize>,
}

impl<'a> Range<'a> {
    /// Names all rows of a part.
    #[must_use]
    pub const fn part(table: &'a str, part: &'a str) -> Self {
        Self {
            table,
            part,
            from: None,
            end: None,
            limit: None,
        }
    }
}

/// What a read found, all as of one moment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The rows, by key.
    pub rows: Vec<Row>,
    /// Whether more rows follow the last.
    pub truncated: bool,
    /// The store's newest version.
    pub version: u64,
    /// The store's steady clock.
    pub now: Duration,
}

/// Changes of a table since a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Rows that are new or were changed.
    pub rows: Vec<Row>,
    /// Rows that were removed.
    pub gone: Vec<RowId>,
    /// The version to go on from.
    pub version: u64,
    /// The store's steady clock.
    pub now: Duration,
}

/// A transaction.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Change {
    /// Rows and the versions that they must have; 0 for a row that must not
    /// exist.
    pub expect: Vec<(RowId, u64)>,
    /// Rows to write.
    pub puts: Vec<(RowId, Vec<u8>)>,
    /// Rows to remove.
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

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// It was carried out.
    Done {
        /// The version that it gave the rows it wrote.
        version: u64,
        /// The store's steady clock.
        now: Duration,
    },
    /// A condition didn't hold; these are the rows named by the conditions, as
    /// far as they exist.
    Conflict(Vec<Row>),
    /// The store refused it: it was not and won't be carried out.
    Refused,
    /// No answer came: it may have been carried out, or may be later while its
    /// conditions hold.
    Unknown,
}
