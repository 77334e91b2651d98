//! Durations of a lease.

use std::time::Duration;

/// How long a lease lasts and how often it is renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// How long a row stays unchanged before another process may take the duty.
    ///
    /// A shorter time leaves the duty without a holder for less time after a
    /// crash; a longer one tolerates a slow table and short pauses.
    pub ttl: Duration,
    /// Time between two renewals: short enough that one lost answer does not end
    /// the lease.
    pub renewal_interval: Duration,
    /// How much earlier the holder stops than a candidate starts, to allow for
    /// clocks that run at different rates.
    pub clock_margin: Duration,
}

impl LeaseTimes {
    /// Creates times with default durations.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            ttl: Duration::from_secs(6),
            renewal_interval: Duration::from_secs(2),
            clock_margin: Duration::from_millis(600),
        }
    }

    /// Sets the time to live, and the renewal interval and the margin in
    /// proportion to it.
    #[must_use]
    pub fn with_ttl(mut self, ttl: Duration) -> Self {
        self.ttl = ttl;
        self.renewal_interval = ttl / 3;
        self.clock_margin = ttl / 10;
        self
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self::new()
    }
}
