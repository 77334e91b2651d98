//! Accounts for the time that the items of a batch wait before they run.
//!
//! The times tell why a step was late: its items waited for weights, for capacity, or
//! for a retry delay. Items start one by one in a fixed order, so all items that wait
//! do so for what the first of them needs.

use std::time::{Duration, Instant};

/// What the next item needs and no engine has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// Weights that are new enough.
    Weights,
    /// Capacity at engines with such weights.
    Capacity,
}

/// Total times that items waited, by what they needed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitTimes {
    /// Time without any engine whose weights are new enough.
    pub weights: Duration,
    /// Time without free capacity at such engines.
    pub capacity: Duration,
}

impl WaitTimes {
    /// Returns the times added since `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            weights: self.weights.saturating_sub(before.weights),
            capacity: self.capacity.saturating_sub(before.capacity),
        }
    }
}

/// Adds up the wait times of one batch.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitTracker {
    /// The waits that have ended.
    total: WaitTimes,
    /// The wait in progress and its start.
    current: Option<(WaitReason, Instant)>,
}

impl WaitTracker {
    /// Records what the next item waits for from now on, if it waits.
    pub fn record(&mut self, now: Instant, reason: Option<WaitReason>) {
        self.total = self.total(now);
        self.current = reason.map(|reason| (reason, now));
    }

    /// Returns the wait times up to now.
    #[must_use]
    pub fn total(&self, now: Instant) -> WaitTimes {
        let mut total = self.total;
        if let Some((reason, since)) = self.current {
            let elapsed = now.saturating_duration_since(since);
            match reason {
                WaitReason::Weights => total.weights += elapsed,
                WaitReason::Capacity => total.capacity += elapsed,
            }
        }
        total
    }
}
