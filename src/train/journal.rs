//! The single writer of a run's rows.
//!
//! One transaction is in flight at a time; changes that arrive meanwhile go into
//! the next one. A transaction without an answer may have taken effect, or may
//! still do so, which the version of the head row shows. It is retried unchanged:
//! either copy may take effect, and the other one then fails on its condition.

use crate::train::row::{Batch, Head, Record, Row, RowName, Slot, Write};
use std::collections::{BTreeSet, VecDeque};

/// The maximum number of changes in one transaction.
///
/// Each change writes or removes at most one row, and the head row is one more. By
/// default etcd allows 128 operations.
const MAX_CHANGES: usize = 48;

/// Number of batches retained behind the trainer's cursor.
///
/// A trainer that restarts from a checkpoint at most this many steps old gets the
/// same batches again. An older checkpoint needs a new run.
pub const RETAINED_BATCHES: u64 = 4;

/// A change to the rows of a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    AddSample(Record),
    DropSample(Slot),
    AddBatch(Batch),
    CompleteStep { cursor: u64, version: u64 },
    DeleteRow(RowName),
}

impl Change {
    /// Returns the row that the change writes or removes.
    fn row_name(&self) -> Option<RowName> {
        match self {
            Self::AddSample(record) => Some(RowName::Sample(record.slot)),
            Self::DropSample(slot) => Some(RowName::Sample(*slot)),
            Self::AddBatch(batch) => Some(RowName::Batch(batch.cursor)),
            Self::CompleteStep { cursor, .. } => {
                cursor.checked_sub(RETAINED_BATCHES).map(RowName::Batch)
            }
            Self::DeleteRow(name) => Some(*name),
        }
    }
}

/// A call of the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TableCall {
    ReadHead,
    ReadRows,
    Write(Box<Write>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The head must be read.
    NeedsHead,
    /// The head is being read.
    ReadingHead,
    /// The claim or a change must be written, perhaps again.
    NeedsWrite,
    /// A write is in flight.
    Writing,
    /// All rows must be read.
    NeedsRows,
    /// All rows are being read.
    ReadingRows,
    /// No call is in flight.
    Idle,
    /// A newer holder has taken over.
    Fenced,
}

/// Writes the changes of one holder to the rows of a run.
#[derive(Debug)]
pub(crate) struct Journal {
    fence: u64,
    version: u64,
    head: Head,
    state: State,
    claimed: bool,
    pending: VecDeque<Change>,
    in_flight: Option<(Write, Vec<Change>)>,
}

impl Journal {
    /// Creates the journal of a holder under `fence`. A run that isn't in the table
    /// yet starts at `version`.
    pub(crate) fn new(fence: u64, version: u64) -> Self {
        let head = Head {
            version,
            ..Head::default()
        };
        Self {
            fence,
            version: 0,
            head,
            state: State::NeedsHead,
            claimed: false,
            pending: VecDeque::new(),
            in_flight: None,
        }
    }

    /// Returns the last known head in the table.
    pub(crate) const fn head(&self) -> &Head {
        &self.head
    }

    pub(crate) const fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether the claim took effect and all rows were read.
    pub(crate) fn is_ready(&self) -> bool {
        self.claimed
            && !matches!(
                self.state,
                State::NeedsRows | State::ReadingRows | State::Fenced
            )
    }

    pub(crate) fn is_fenced(&self) -> bool {
        self.state == State::Fenced
    }

    pub(crate) fn add(&mut self, change: Change) {
        self.pending.push_back(change);
    }

    /// Returns whether a pending or in-flight change matches.
    pub(crate) fn has(&self, predicate: impl Fn(&Change) -> bool) -> bool {
        let in_flight = self.in_flight.iter().flat_map(|(_, changes)| changes);
        self.pending.iter().chain(in_flight).any(predicate)
    }

    /// Returns the next call of the table, or `None` if there is nothing to do or a
    /// call is in flight.
    pub(crate) fn next_call(&mut self) -> Option<TableCall> {
        match self.state {
            State::NeedsHead => {
                self.state = State::ReadingHead;
                Some(TableCall::ReadHead)
            }
            State::NeedsRows => {
                self.state = State::ReadingRows;
                Some(TableCall::ReadRows)
            }
            State::NeedsWrite => self.start_write(),
            State::Idle if !self.pending.is_empty() => {
                self.prepare_write();
                self.start_write()
            }
            _ => None,
        }
    }

    /// Handles the head row that was read, as its version and content. Returns the
    /// changes that turn out to have taken effect.
    pub(crate) fn head_read(&mut self, row: Option<(u64, Head)>) -> Vec<Change> {
        if self.state != State::ReadingHead {
            return Vec::new();
        }
        let (version, head) = row.unwrap_or_else(|| (0, self.head.clone()));
        // A newer holder has taken over. It regenerates the samples that aren't in
        // the table.
        if head.fence > self.fence {
            self.state = State::Fenced;
            return Vec::new();
        }
        let took_effect = self.in_flight.as_ref().is_some_and(|(write, _)| {
            // Only this holder writes under this fence, so the next version under
            // it is this write.
            head.fence == self.fence && version == write.expected_version + 1
        });
        if took_effect {
            return self.complete_write();
        }
        if !self.claimed {
            self.version = version;
            self.claim(head);
        }
        self.state = State::NeedsWrite;
        Vec::new()
    }

    /// Handles a write that took effect. Returns its changes.
    pub(crate) fn committed(&mut self) -> Vec<Change> {
        if self.state == State::Writing {
            return self.complete_write();
        }
        Vec::new()
    }

    /// Handles a write that failed on its condition, or a call without an answer:
    /// the state of the table must be read again.
    pub(crate) fn call_failed(&mut self) {
        self.state = match self.state {
            State::Writing | State::ReadingHead => State::NeedsHead,
            State::ReadingRows => State::NeedsRows,
            other => other,
        };
    }

    /// Handles that all rows were read. Returns whether that was expected.
    pub(crate) fn rows_read(&mut self) -> bool {
        let expected = self.state == State::ReadingRows;
        if expected {
            self.state = State::Idle;
        }
        expected
    }

    fn claim(&mut self, mut head: Head) {
        head.fence = self.fence;
        let write = Write {
            expected_version: self.version,
            head,
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        self.in_flight = Some((write, Vec::new()));
    }

    fn start_write(&mut self) -> Option<TableCall> {
        let (write, _) = self.in_flight.as_ref()?;
        self.state = State::Writing;
        Some(TableCall::Write(Box::new(write.clone())))
    }

    fn complete_write(&mut self) -> Vec<Change> {
        let Some((write, changes)) = self.in_flight.take() else {
            return Vec::new();
        };
        self.version = write.expected_version + 1;
        self.head = write.head;
        // Rows are read after the claim took effect. No write of an older holder
        // can take effect after it, so the rows are complete.
        self.state = if self.claimed {
            State::Idle
        } else {
            State::NeedsRows
        };
        self.claimed = true;
        changes
    }

    fn prepare_write(&mut self) {
        let mut write = Write {
            expected_version: self.version,
            head: self.head.clone(),
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        let mut changes = Vec::new();
        let mut row_names = BTreeSet::new();
        while changes.len() < MAX_CHANGES {
            // A transaction may write a row only once, and a dropped sample may
            // already have been generated again.
            let is_unique = |c: &mut Change| c.row_name().is_none_or(|name| row_names.insert(name));
            let Some(change) = self.pending.pop_front_if(is_unique) else {
                break;
            };
            apply(&change, &mut write);
            changes.push(change);
        }
        self.in_flight = Some((write, changes));
    }
}

fn apply(change: &Change, write: &mut Write) {
    match change {
        Change::AddSample(record) => write.puts.push(Row::Sample(record.clone())),
        Change::DropSample(slot) => {
            write.head.dropped += 1;
            write.deletes.push(RowName::Sample(*slot));
        }
        Change::AddBatch(batch) => {
            for record in &batch.records {
                write.head.mark_delivered(record.slot.group);
            }
            write.head.next_cursor = batch.cursor + 1;
            write.puts.push(Row::Batch(batch.clone()));
        }
        Change::CompleteStep { cursor, version } => {
            write.head.done_steps = cursor + 1;
            write.head.version = *version;
            if let Some(expired) = cursor.checked_sub(RETAINED_BATCHES) {
                write.deletes.push(RowName::Batch(expired));
            }
        }
        Change::DeleteRow(name) => write.deletes.push(*name),
    }
}
