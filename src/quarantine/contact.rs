//! For how long news of endpoints has come without a gap.

use std::time::{Duration, Instant};

/// A longer silence is a gap: the store answers a wait every two seconds.
const GAP: Duration = Duration::from_secs(5);

/// When the store told of endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// Since when there was no gap, and when it told last.
    heard: Option<(Instant, Instant)>,
}

impl Contact {
    /// Creates a contact that has heard nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self { heard: None }
    }

    /// Notes an answer of the store.
    pub fn hear(&mut self, now: Instant) {
        let since = self.since(now).unwrap_or(now);
        self.heard = Some((since, now));
    }

    /// Says whether there was no gap for so long.
    #[must_use]
    pub fn is_steady(&self, now: Instant, time: Duration) -> bool {
        let since = self.since(now);
        since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }

    fn since(&self, now: Instant) -> Option<Instant> {
        let (since, last) = self.heard?;
        (now.saturating_duration_since(last) <= GAP).then_some(since)
    }
}
