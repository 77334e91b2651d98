//! The rate limit of the weight store.

use std::time::{Duration, Instant};

/// The bucket's capacity, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket, which allows one read per token.
#[derive(Debug)]
pub struct Rate {
    reads_per_s: f64,
    tokens: f64,
    last_refill: Option<Instant>,
}

impl Rate {
    /// Creates a full bucket that is refilled with `rate` tokens per second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            reads_per_s: rate,
            tokens: (rate * BURST_SECONDS).max(1.0),
            last_refill: None,
        }
    }

    /// Takes a token, or returns the time until one is available.
    pub fn acquire(&mut self, now: Instant) -> Option<Duration> {
        let elapsed = self.last_refill.map_or(Duration::ZERO, |last_refill| {
            now.duration_since(last_refill)
        });
        let capacity = (self.reads_per_s * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.reads_per_s).min(capacity);
        self.last_refill = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let missing = (1.0 - self.tokens) / self.reads_per_s;
        Some(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}
