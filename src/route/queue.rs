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
pub(super) struct Spot {
    pub(super) deadline: Instant,
    pub(super) seq: u64,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) call: CallKey,
    /// Expected seconds at an endpoint.
    pub(super) work: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    rows: BTreeMap<Spot, Waiting>,
    work: f64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub(super) fn push(&mut self, spot: Spot, row: Waiting) {
        self.work += row.work;
        self.rows.insert(spot, row);
    }

    pub(super) fn remove(&mut self, spot: Spot) -> Option<Waiting> {
        let row = self.rows.remove(&spot)?;
        // An empty queue has no work, whatever rounding left over.
        self.work = if self.rows.is_empty() {
            0.0
        } else {
            self.work - row.work
        };
        Some(row)
    }

    pub(super) fn first(&self) -> Option<(Spot, Waiting)> {
        self.rows.first_key_value().map(|(spot, row)| (*spot, *row))
    }

    pub(super) fn last(&self) -> Option<Spot> {
        self.rows.last_key_value().map(|(spot, _)| *spot)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (Spot, Waiting)> {
        self.rows.iter().map(|(spot, row)| (*spot, *row))
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
    pub(super) fn ahead(&self, deadline: Instant) -> f64 {
        let (Some((first, _)), Some(last)) = (self.first(), self.last()) else {
            return 0.0;
        };
        if deadline >= last.deadline {
            return self.work;
        }
        let span = (last.deadline - first.deadline).as_secs_f64();
        let part = deadline.saturating_duration_since(first.deadline);
        self.work * part.as_secs_f64() / span
    }
}
