//! Outages of the store, as far as the calls of one process show them.
//!
//! Entries of endpoints expire in an outage, so that what is missing afterwards may serve all the
//! same. A single call may get no answer while the store serves, since its connection broke or went
//! silent. So a lost call shows an outage only if no answer has come since it was sent, and if that
//! lasts.

use std::time::{Duration, Instant};

/// Shortest time without an answer that counts as an outage. Connections that all break at once are
/// open again in a tenth of a second, and entries expire after several intervals of a second or so.
const MIN_OUTAGE: Duration = Duration::from_millis(500);

/// A failure that has no answer after it yet.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// When the store may have begun to fail.
    since: Instant,
    /// Whether the store said that it is unavailable.
    is_refusal: bool,
}

/// What ended with an answer of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Recovery {
    /// For how long the store had not answered.
    pub duration: Duration,
    /// Whether entries may have expired meanwhile.
    pub is_outage: bool,
}

/// Tells outages of the store from single calls that got no answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutage {
    answered_at: Option<Instant>,
    failure: Option<Failure>,
}

impl StoreOutage {
    /// Creates the state of a process that has sent no call.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer, and returns what it ended.
    pub fn record_answer(&mut self, now: Instant) -> Option<Recovery> {
        self.answered_at = Some(now);
        let failure = self.failure.take()?;
        let duration = now.saturating_duration_since(failure.since);
        Some(Recovery {
            duration,
            is_outage: failure.is_refusal || duration >= MIN_OUTAGE,
        })
    }

    /// Records that the store said that it is unavailable; returns whether that is news.
    pub fn record_refusal(&mut self, now: Instant) -> bool {
        let is_news = self.failure.is_none();
        let failure = self.failure.get_or_insert(Failure {
            since: now,
            is_refusal: true,
        });
        failure.is_refusal = true;
        is_news
    }

    /// Records that a call got no answer; returns whether that is news.
    ///
    /// The call was sent at `sent_at`, and its answer was due at `due_at` at the latest.
    pub fn record_loss(&mut self, now: Instant, sent_at: Instant, due_at: Instant) -> bool {
        let is_refuted = self.answered_at.is_some_and(|at| at > sent_at);
        if is_refuted || self.failure.is_some() {
            return false;
        }
        self.failure = Some(Failure {
            since: due_at.min(now),
            is_refusal: false,
        });
        true
    }
}
