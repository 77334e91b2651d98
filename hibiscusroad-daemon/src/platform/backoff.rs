//! Waits between tries.

use rand::Rng;
use std::time::Duration;

/// Waits that double up to a limit, each drawn between nothing and the full
/// wait.
///
/// Without the draw, all processes that saw one outage begin would come back in
/// the same instant, and again after each wait: the service would meet its
/// worst load the moment it recovers.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    tries: u32,
}

impl Backoff {
    /// Creates waits that begin at `first` and grow up to `limit`.
    #[must_use]
    pub const fn new(first: Duration, limit: Duration) -> Self {
        Self {
            first,
            limit,
            tries: 0,
        }
    }

    /// Begins again, after a success.
    pub const fn reset(&mut self) {
        self.tries = 0;
    }

    /// Draws the next wait.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.tries).unwrap_or(u32::MAX);
        let full = self.first.saturating_mul(factor).min(self.limit);
        self.tries = (self.tries + 1).min(u32::BITS - 1);
        full.mul_f64(rng.random())
    }
}
