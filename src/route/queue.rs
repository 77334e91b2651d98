//! The calls of one class that wait for one service.
//!
//! Earliest deadline first: among calls that can all be answered, no other
//! order answers more of them in time. Its known weakness, that under overload
//! it spends capacity on what is just about to expire, is kept out by
//! admission, which lets nothing wait that can't be answered.

use crate::route::table::CallKey;
use std::{collections::BTreeMap, time::Instant};

/// The place of a call in a queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    pub(super) deadline: Instant,
    pub(super) seq: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) call: CallKey,
    /// Expected seconds at an endpoint.
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
        // An empty queue has no work, whatever rounding left over.
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

    pub(super) fn last(&self) -> Option<QueueKey> {
        self.rows.last_key_value().map(|(queue_key, _)| *queue_key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (QueueKey, QueuedCall)> {
        self.rows.iter().map(|(queue_key, row)| (*queue_key, *row))
    }

    /// Returns the expected seconds of all that waits.
    pub(super) fn work(&self) -> f64 {
        self.work
    }

    /// Estimates the expected seconds of what is due before `deadline`.
    ///
    /// An exact sum would read the queue for each arrival; work spread evenly
    /// between the first and the last deadline is near enough, and exact for
    /// callers who all wait equally long, as their deadlines come in order.
    pub(super) fn work_before(&self, deadline: Instant) -> f64 {
        let (Some((first, _)), Some(last)) = (self.first(), self.last()) else {
            return 0.0;
        };
        if deadline >= last.deadline {
            return self.work;
        }
        let span = (last.deadline - first.deadline).as_secs_f64();
        let before = deadline.saturating_duration_since(first.deadline);
        self.work * before.as_secs_f64() / span
    }
}
