//! Queue of one account's calls of one class for one service, earliest deadline first.
//!
//! Among calls that can all be answered, no other order answers more of them in
//! time. Under overload it would spend capacity on calls that are about to
//! expire; admission control prevents that.

use std::{collections::BTreeMap, time::Instant};

slotmap::new_key_type! {
    /// The key of a call in the router's table.
    pub(super) struct CallKey;
}

/// The key that orders calls in a queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    pub(super) deadline: Instant,
    pub(super) seq: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) call: CallKey,
    /// Expected service time in seconds.
    pub(super) work: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    rows: BTreeMap<QueueKey, QueuedCall>,
    work: f64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub(super) fn push(&mut self, queue_key: QueueKey, row: QueuedCall) {
        self.work += row.work;
        self.rows.insert(queue_key, row);
    }

    pub(super) fn remove(&mut self, queue_key: QueueKey) -> Option<QueuedCall> {
        let row = self.rows.remove(&queue_key)?;
        // Removes the rounding error that has accumulated.
        self.work = if self.rows.is_empty() {
            0.0
        } else {
            self.work - row.work
        };
        Some(row)
    }

    pub(super) fn first(&self) -> Option<(QueueKey, QueuedCall)> {
        self.rows
            .first_key_value()
            .map(|(queue_key, row)| (*queue_key, *row))
    }

    pub(super) fn last(&self) -> Option<(QueueKey, QueuedCall)> {
        self.rows
            .last_key_value()
            .map(|(queue_key, row)| (*queue_key, *row))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (QueueKey, QueuedCall)> {
        self.rows.iter().map(|(queue_key, row)| (*queue_key, *row))
    }

    /// Returns the expected service time of all queued calls, in seconds.
    pub(super) fn work(&self) -> f64 {
        self.work
    }

    /// Estimates the work of the calls that are due before `deadline`, in seconds.
    ///
    /// Assumes that the work is spread evenly between the first and the last
    /// deadline, because an exact sum would read the queue on each arrival.
    pub(super) fn work_before(&self, deadline: Instant) -> f64 {
        let (Some((first, _)), Some((last, _))) = (self.first(), self.last()) else {
            return 0.0;
        };
        if deadline >= last.deadline {
            return self.work;
        }
        // Without this, calls that all have one deadline would give no number at all.
        if deadline <= first.deadline {
            return 0.0;
        }
        let span = (last.deadline - first.deadline).as_secs_f64();
        let before = deadline.saturating_duration_since(first.deadline);
        self.work * before.as_secs_f64() / span
    }
}
