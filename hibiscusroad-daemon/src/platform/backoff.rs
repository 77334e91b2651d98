//! Delays between retries.

use rand::Rng;
use std::time::Duration;

/// Exponential backoff with full jitter.
///
/// The jitter keeps processes that noticed the same outage from retrying at the same time,
/// which would overload the service just as it recovers.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    attempts: u32,
}

impl Backoff {
    /// Creates a backoff whose delays before jitter double from `initial` up to `max`.
    #[must_use]
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            attempts: 0,
        }
    }

    /// Restarts with the initial delay, after a success.
    pub const fn reset(&mut self) {
        self.attempts = 0;
    }

    /// Returns the next delay.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        let delay = self.initial.saturating_mul(factor).min(self.max);
        self.attempts = (self.attempts + 1).min(u32::BITS - 1);
        delay.mul_f64(rng.random())
    }
}
