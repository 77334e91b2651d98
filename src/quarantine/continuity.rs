//! How long updates about endpoints have arrived without a gap.

use std::time::{Duration, Instant};

/// Longest pause that is no gap: the store answers a waiting read every two seconds.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Tracks since when the store has reported endpoints without a gap.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateContinuity {
    /// The first and the last update since the last gap.
    updates: Option<(Instant, Instant)>,
}

impl UpdateContinuity {
    /// Creates the state before the first update.
    #[must_use]
    pub const fn new() -> Self {
        Self { updates: None }
    }

    /// Records an update from the store.
    pub fn record_update(&mut self, now: Instant) {
        let first = self.first_update(now).unwrap_or(now);
        self.updates = Some((first, now));
    }

    /// Returns whether updates have arrived without a gap for at least `duration`.
    #[must_use]
    pub fn has_lasted(&self, now: Instant, duration: Duration) -> bool {
        let first = self.first_update(now);
        first.is_some_and(|first| now.saturating_duration_since(first) >= duration)
    }

    /// Returns the first update since the last gap, or `None` during a gap.
    fn first_update(&self, now: Instant) -> Option<Instant> {
        let (first, last) = self.updates?;
        (now.saturating_duration_since(last) <= MAX_PAUSE).then_some(first)
    }
}
