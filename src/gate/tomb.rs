//! Tombstones: what is remembered of attempts that have ended.
//!
//! A tombstone answers late and repeated frames. When it is dropped, the marks
//! of the entry that named the attempt take over, so that neither "sealed" nor
//! "started" is ever forgotten in the dangerous direction.

use crate::{
    error::ErrorKind,
    gate::{Standing, TOMB_KEEP},
    id::{Incarnation, RequestId},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// What a tombstone says.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tomb {
    /// Whether the attempt had started.
    pub(crate) ran: bool,
    /// The final word on it.
    pub(crate) kind: ErrorKind,
}

impl Tomb {
    pub(crate) const fn standing(self) -> Standing {
        if self.ran {
            Standing::Lost
        } else {
            Standing::Sealed
        }
    }
}

/// What is known of one life of an entry, for as long as the side lives.
#[derive(Clone, Copy, Debug, Default)]
struct Marks {
    /// Highest epoch among its links.
    epoch: Option<u64>,
    /// Highest number whose tombstone was dropped.
    shut: Option<u64>,
    /// Highest number whose tombstone was dropped and that had started.
    ran: Option<u64>,
}

/// Tombstones and the marks that outlast them.
#[derive(Debug, Default)]
pub(crate) struct Tombs {
    rows: HashMap<RequestId, Tomb>,
    expiry: VecDeque<(Instant, RequestId)>,
    marks: HashMap<Incarnation, Marks>,
}

impl Tombs {
    pub(crate) fn get(&self, id: RequestId) -> Option<Tomb> {
        self.rows.get(&id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Adds a tombstone; the first word on an attempt stays.
    pub(crate) fn add(&mut self, now: Instant, id: RequestId, tomb: Tomb) {
        if self.rows.contains_key(&id) {
            return;
        }
        self.rows.insert(id, tomb);
        self.expiry.push_back((now + TOMB_KEEP, id));
    }

    /// Drops the tombstones whose time is over and raises the marks.
    pub(crate) fn sweep(&mut self, now: Instant) {
        while let Some((until, id)) = self.expiry.front().copied() {
            if until > now {
                return;
            }
            self.expiry.pop_front();
            self.forget(id);
        }
    }

    /// Notes an epoch and says whether it is above all earlier ones.
    pub(crate) fn raise(&mut self, entry: Incarnation, epoch: u64) -> bool {
        let marks = self.marks.entry(entry).or_default();
        let newest = marks.epoch.is_none_or(|known| epoch > known);
        if newest {
            marks.epoch = Some(epoch);
        }
        newest
    }

    /// Says whether `epoch` is the newest of this entry.
    pub(crate) fn is_newest(&self, entry: Incarnation, epoch: u64) -> bool {
        self.marks.get(&entry).and_then(|marks| marks.epoch) == Some(epoch)
    }

    /// Says whether an unknown attempt may have been sealed and forgotten.
    pub(crate) fn may_be_sealed(&self, id: RequestId) -> bool {
        self.below(id, |marks| marks.shut)
    }

    /// Says whether an unknown attempt may have started and been forgotten.
    pub(crate) fn may_have_run(&self, id: RequestId) -> bool {
        self.below(id, |marks| marks.ran)
    }

    fn below(&self, id: RequestId, mark: impl Fn(&Marks) -> Option<u64>) -> bool {
        let mark = self.marks.get(&id.origin).and_then(mark);
        mark.is_some_and(|mark| id.seq <= mark)
    }

    fn forget(&mut self, id: RequestId) {
        let Some(tomb) = self.rows.remove(&id) else {
            return;
        };
        let marks = self.marks.entry(id.origin).or_default();
        marks.shut = marks.shut.max(Some(id.seq));
        if tomb.ran {
            marks.ran = marks.ran.max(Some(id.seq));
        }
    }
}
