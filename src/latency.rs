//! The present latency of a service, as a measure for how often it may be called.
//!
//! A caller that renews a row at a fixed interval uses all that a slow service can do, and its
//! callers then wait for each other. So intervals and repetitions are multiples of this latency.
//! Refusals and calls without an answer tell nothing about it: both are common while a service
//! is down, and callers must be quick when it returns.

use std::time::Duration;

/// The least ratio of the next value to the current one: one quick answer among slow ones must
/// not make callers call as often as a quick service allows.
const MIN_DECAY_RATIO: f64 = 0.4;

/// The present latency of a service; zero before the first answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    current: Duration,
}

impl Latency {
    /// Creates the latency of a service that has not answered yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the present latency.
    #[must_use]
    pub const fn current(&self) -> Duration {
        self.current
    }

    /// Records the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        self.current = latency.max(self.current.mul_f64(MIN_DECAY_RATIO));
    }
}
