//! The single writer of a run's rows.
//!
//! One transaction is under way at a time, and carries all that gathered
//! meanwhile. If its answer is lost it may have taken effect, or may still do
//! so; the head's version tells. It is repeated unchanged, so that it doesn't
//! matter which copy takes effect, and a second copy fails on its condition.

use crate::train::row::{Batch, Head, Record, Row, RowName, Slot, Write};
use std::collections::{BTreeSet, VecDeque};

/// Changes in one transaction.
///
/// etcd takes 128 operations as it is delivered; a done step removes two rows
/// at most for each change here, and the head is one more.
const CHANGES: usize = 48;

/// Batches kept behind the trainer's cursor.
///
/// A trainer that restarts from its checkpoint of a few steps ago gets the same
/// batches again; one that lost more must open a new run.
pub const KEPT: u64 = 4;

/// One change of a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Change {
    Record(Record),
    Drop(Slot),
    Fix(Batch),
    Done { cursor: u64, version: u64 },
    Forget(RowName),
}

impl Change {
    /// Returns the row that it writes or removes.
    fn row(&self) -> Option<RowName> {
        match self {
            Self::Record(record) => Some(RowName::Sample(record.slot)),
            Self::Drop(slot) => Some(RowName::Sample(*slot)),
            Self::Fix(batch) => Some(RowName::Batch(batch.cursor)),
            Self::Done { cursor, .. } => cursor.checked_sub(KEPT).map(RowName::Batch),
            Self::Forget(name) => Some(*name),
        }
    }
}

/// What the table has to do next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ask {
    Head,
    Rows,
    Write(Box<Write>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The head is to be read.
    Look,
    /// The head is being read.
    Looking,
    /// The claim or a change is to be sent, perhaps again.
    Send,
    /// A write is under way.
    Sending,
    /// All rows are to be read.
    Load,
    /// All rows are being read.
    Loading,
    /// Nothing is under way.
    Idle,
    /// A newer holder wrote.
    Deposed,
}

/// Writes for one holder of one run.
#[derive(Debug)]
pub(crate) struct Journal {
    fence: u64,
    version: u64,
    head: Head,
    state: State,
    claimed: bool,
    queue: VecDeque<Change>,
    sent: Option<(Write, Vec<Change>)>,
}

impl Journal {
    /// Creates a holder under `fence` of a run that starts at `version` if the
    /// table doesn't know it yet.
    pub(crate) fn new(fence: u64, version: u64) -> Self {
        let head = Head {
            version,
            ..Head::default()
        };
        Self {
            fence,
            version: 0,
            head,
            state: State::Look,
            claimed: false,
            queue: VecDeque::new(),
            sent: None,
        }
    }

    /// Returns the head as it was last known to be in the table.
    pub(crate) const fn head(&self) -> &Head {
        &self.head
    }

    pub(crate) const fn fence(&self) -> u64 {
        self.fence
    }

    /// Says whether the claim took effect and all rows were read.
    pub(crate) fn is_ready(&self) -> bool {
        self.claimed && !matches!(self.state, State::Load | State::Loading | State::Deposed)
    }

    pub(crate) fn is_deposed(&self) -> bool {
        self.state == State::Deposed
    }

    pub(crate) fn add(&mut self, change: Change) {
        self.queue.push_back(change);
    }

    /// Says whether a change that fits is waiting or under way.
    pub(crate) fn has(&self, fits: impl Fn(&Change) -> bool) -> bool {
        let sent = self.sent.iter().flat_map(|(_, changes)| changes);
        self.queue.iter().chain(sent).any(fits)
    }

    /// Decides what the table has to do next; nothing while it is being asked.
    pub(crate) fn next(&mut self) -> Option<Ask> {
        match self.state {
            State::Look => {
                self.state = State::Looking;
                Some(Ask::Head)
            }
            State::Load => {
                self.state = State::Loading;
                Some(Ask::Rows)
            }
            State::Send => self.send(),
            State::Idle if !self.queue.is_empty() => {
                self.gather();
                self.send()
            }
            _ => None,
        }
    }

    /// Takes in the head's row as it was read: version and content.
    pub(crate) fn seen(&mut self, found: Option<(u64, Head)>) -> Vec<Change> {
        if self.state != State::Looking {
            return Vec::new();
        }
        let (version, head) = found.unwrap_or_else(|| (0, self.head.clone()));
        // A newer holder wrote: whatever this one still wants is void, and its
        // samples in memory are generated again by the other.
        if head.fence > self.fence {
            self.state = State::Deposed;
            return Vec::new();
        }
        let took = self.sent.as_ref().is_some_and(|(write, _)| {
            // Nobody else writes under this fence, so the next version under it
            // is this write.
            head.fence == self.fence && version == write.expect + 1
        });
        if took {
            return self.settle();
        }
        if !self.claimed {
            self.version = version;
            self.claim(head);
        }
        self.state = State::Send;
        Vec::new()
    }

    /// Notes that the write took effect; returns the changes in it.
    pub(crate) fn committed(&mut self) -> Vec<Change> {
        if self.state == State::Sending {
            return self.settle();
        }
        Vec::new()
    }

    /// Notes that the write failed on its condition, or that a call got no
    /// answer: what the table holds must be looked at.
    pub(crate) fn lost(&mut self) {
        self.state = match self.state {
            State::Sending | State::Looking => State::Look,
            State::Loading => State::Load,
            other => other,
        };
    }

    /// Notes that all rows were read.
    pub(crate) fn loaded(&mut self) -> bool {
        let due = self.state == State::Loading;
        if due {
            self.state = State::Idle;
        }
        due
    }

    fn claim(&mut self, mut head: Head) {
        head.fence = self.fence;
        let write = Write {
            expect: self.version,
            head,
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        self.sent = Some((write, Vec::new()));
    }

    fn send(&mut self) -> Option<Ask> {
        let (write, _) = self.sent.as_ref()?;
        self.state = State::Sending;
        Some(Ask::Write(Box::new(write.clone())))
    }

    fn settle(&mut self) -> Vec<Change> {
        let Some((write, changes)) = self.sent.take() else {
            return Vec::new();
        };
        self.version = write.expect + 1;
        self.head = write.head;
        // Rows are read only after the claim took effect: an older holder's
        // write can't come after it, so nothing recorded is overlooked.
        self.state = if self.claimed {
            State::Idle
        } else {
            State::Load
        };
        self.claimed = true;
        changes
    }

    fn gather(&mut self) {
        let mut write = Write {
            expect: self.version,
            head: self.head.clone(),
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        let mut changes = Vec::new();
        let mut rows = BTreeSet::new();
        while changes.len() < CHANGES {
            // A transaction may write a row once only, and a dropped sample may
            // have been generated anew by now.
            let fits = |c: &mut Change| c.row().is_none_or(|row| rows.insert(row));
            let Some(change) = self.queue.pop_front_if(fits) else {
                break;
            };
            apply(&change, &mut write);
            changes.push(change);
        }
        self.sent = Some((write, changes));
    }
}

fn apply(change: &Change, write: &mut Write) {
    match change {
        Change::Record(record) => write.puts.push(Row::Sample(record.clone())),
        Change::Drop(slot) => {
            write.head.dropped += 1;
            write.deletes.push(RowName::Sample(*slot));
        }
        Change::Fix(batch) => {
            for record in &batch.records {
                write.head.mark_delivered(record.slot.group);
            }
            write.head.next_cursor = batch.cursor + 1;
            write.puts.push(Row::Batch(batch.clone()));
        }
        Change::Done { cursor, version } => {
            write.head.done_steps = cursor + 1;
            write.head.version = *version;
            if let Some(old) = cursor.checked_sub(KEPT) {
                write.deletes.push(RowName::Batch(old));
            }
        }
        Change::Forget(name) => write.deletes.push(*name),
    }
}
