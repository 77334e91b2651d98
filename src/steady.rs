//! The steady clock of another host, as its answers tell it.
//!
//! An answer tells the clock as it was when it was sent, so it is late by the answer's way:
//! by milliseconds as a rule, by a quarter of a second from a slow host. The answer that was
//! quickest tells it best. So one counts only if by it the clock is later than it was known
//! to be, or if the one before has been used for long: this host's own clock may run a
//! little faster, and would stay ahead for ever.

use std::time::{Duration, Instant};

/// How long the best answer is used: a clock that is wrong by one part in ten thousand is
/// wrong by 3 ms then.
const BEST: Duration = Duration::from_secs(30);

/// What is known of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Steady {
    /// What the best answer told, and when it came.
    best: Option<(Duration, Instant)>,
}

impl Steady {
    /// Creates a clock of which nothing is known.
    #[must_use]
    pub const fn new() -> Self {
        Self { best: None }
    }

    /// Takes in what an answer that came at `at` told.
    pub fn tell(&mut self, at: Instant, told: Duration) {
        let better = self.best.is_none_or(|(best, since)| {
            let age = at.saturating_duration_since(since);
            age > BEST || told >= best + age
        });
        if better {
            self.best = Some((told, at));
        }
    }

    /// Returns the clock at `now`, if it was ever told.
    #[must_use]
    pub fn at(&self, now: Instant) -> Option<Duration> {
        let (best, since) = self.best?;
        Some(best + now.saturating_duration_since(since))
    }
}
