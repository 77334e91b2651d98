//! Tombstones of attempts that have ended, and the watermarks that replace them.
//!
//! A tombstone answers late and repeated frames. When it expires, the watermarks
//! of the entry that issued the attempt take over: no attempt at or below them
//! starts again, and none that may have started is reported as sealed.

use crate::{
    error::ErrorKind,
    gate::{AttemptState, TOMBSTONE_TTL},
    id::{Incarnation, RequestId},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Instant,
};

/// The outcome of an attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// Whether the attempt had started.
    pub(crate) started: bool,
    /// The error reported for it.
    pub(crate) kind: ErrorKind,
}

impl Tombstone {
    pub(crate) const fn state(self) -> AttemptState {
        if self.started {
            AttemptState::Lost
        } else {
            AttemptState::Sealed
        }
    }
}

/// High-water marks of one incarnation of an entry, which never expire.
#[derive(Clone, Copy, Debug, Default)]
struct Watermarks {
    /// Highest epoch of its links.
    epoch: Option<u64>,
    /// Highest sequence number whose tombstone has expired.
    expired: Option<u64>,
    /// Highest sequence number of a started attempt whose tombstone has expired.
    expired_started: Option<u64>,
}

/// Tombstones and the watermarks that outlast them.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    by_id: HashMap<RequestId, Tombstone>,
    expiry_queue: VecDeque<(Instant, RequestId)>,
    watermarks: HashMap<Incarnation, Watermarks>,
}

impl Tombstones {
    pub(crate) fn get(&self, id: RequestId) -> Option<Tombstone> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a tombstone unless the attempt already has one.
    pub(crate) fn add(&mut self, now: Instant, id: RequestId, tombstone: Tombstone) {
        if self.by_id.contains_key(&id) {
            return;
        }
        self.by_id.insert(id, tombstone);
        self.expiry_queue.push_back((now + TOMBSTONE_TTL, id));
    }

    /// Removes expired tombstones and raises the watermarks.
    pub(crate) fn expire(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.expiry_queue.front().copied() {
            if expires_at > now {
                return;
            }
            self.expiry_queue.pop_front();
            self.remove_expired(id);
        }
    }

    /// Records the epoch of an entry's link; returns whether it is higher than
    /// all earlier ones.
    pub(crate) fn record_epoch(&mut self, entry: Incarnation, epoch: u64) -> bool {
        let watermarks = self.watermarks.entry(entry).or_default();
        let is_newest = watermarks.epoch.is_none_or(|known| epoch > known);
        if is_newest {
            watermarks.epoch = Some(epoch);
        }
        is_newest
    }

    /// Returns whether `epoch` is the highest recorded for this entry.
    pub(crate) fn is_newest_epoch(&self, entry: Incarnation, epoch: u64) -> bool {
        self.watermarks.get(&entry).and_then(|marks| marks.epoch) == Some(epoch)
    }

    /// Returns whether an unknown attempt may have been sealed by a tombstone
    /// that has expired.
    pub(crate) fn may_be_sealed(&self, id: RequestId) -> bool {
        self.is_within(id, |marks| marks.expired)
    }

    /// Returns whether an unknown attempt may have started and its tombstone
    /// expired.
    pub(crate) fn may_have_run(&self, id: RequestId) -> bool {
        self.is_within(id, |marks| marks.expired_started)
    }

    fn is_within(&self, id: RequestId, select: impl Fn(&Watermarks) -> Option<u64>) -> bool {
        let watermark = self.watermarks.get(&id.origin).and_then(select);
        watermark.is_some_and(|watermark| id.seq <= watermark)
    }

    fn remove_expired(&mut self, id: RequestId) {
        let Some(tombstone) = self.by_id.remove(&id) else {
            return;
        };
        let watermarks = self.watermarks.entry(id.origin).or_default();
        watermarks.expired = watermarks.expired.max(Some(id.seq));
        if tombstone.started {
            watermarks.expired_started = watermarks.expired_started.max(Some(id.seq));
        }
    }
}
