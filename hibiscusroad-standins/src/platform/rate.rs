//! The rate limit of the weight store.

use std::time::{Duration, Instant};

// Seconds' worth of reads that may come at once.
const BURST_S: f64 = 1.0;

/// A token bucket.
#[derive(Debug)]
pub struct Rate {
    limit: f64,
    tokens: f64,
    at: Option<Instant>,
}

impl Rate {
    /// Creates a full bucket of `rate` reads a second.
    #[must_use]
    pub fn new(rate: f64) -> Self {
        Self {
            limit: rate,
            tokens: (rate * BURST_S).max(1.0),
            at: None,
        }
    }

    /// Takes one read, or says how long to wait.
    pub fn take(&mut self, now: Instant) -> Option<Duration> {
        let passed = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let full = (self.limit * BURST_S).max(1.0);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.limit).min(full);
        self.at = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        let missing = (1.0 - self.tokens) / self.limit;
        Some(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}
