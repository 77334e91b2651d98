//! What the items of a batch wait for before they run.
//!
//! An engineer who asks why a step was late has to know whether its items waited
//! for weights, for room, or for a pause after a refusal. Items start one by one
//! in a fixed order, so all that wait do so for what the first of them lacks.

use std::time::{Duration, Instant};

/// What no engine has that the next item needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lack {
    /// Weights that are fresh enough.
    Weights,
    /// Room, at engines with such weights.
    Room,
}

/// How long items waited in all, by what they lacked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waited {
    /// For engines with fresh weights.
    pub weights: Duration,
    /// For room at them.
    pub room: Duration,
}

impl Waited {
    /// Returns what was added since `before`.
    #[must_use]
    pub fn since(self, before: Self) -> Self {
        Self {
            weights: self.weights.saturating_sub(before.weights),
            room: self.room.saturating_sub(before.room),
        }
    }
}

/// The waits of one batch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    sum: Waited,
    lack: Option<(Lack, Instant)>,
}

impl Waits {
    /// Notes what the next item lacks now, if it lacks something.
    pub fn note(&mut self, now: Instant, lack: Option<Lack>) {
        self.sum = self.sum(now);
        self.lack = lack.map(|lack| (lack, now));
    }

    /// Returns how long items waited until now.
    #[must_use]
    pub fn sum(&self, now: Instant) -> Waited {
        let mut sum = self.sum;
        if let Some((lack, since)) = self.lack {
            let more = now.saturating_duration_since(since);
            match lack {
                Lack::Weights => sum.weights += more,
                Lack::Room => sum.room += more,
            }
        }
        sum
    }
}
