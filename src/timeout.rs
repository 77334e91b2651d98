//! A timeout that adapts to the latency of a service.
//!
//! The latency of the store ranges from milliseconds to eighty times that, and at times it
//! loses half of its answers. With a fixed timeout, either each lost answer costs seconds,
//! or each slow answer is abandoned and its call sent again. So the timeout is a multiple
//! of the last latencies, and doubles with each call that times out.

use std::time::Duration;

/// The ratio of the timeout to the last latency.
const LATENCY_MULTIPLE: u32 = 8;
/// The least ratio of the next timeout to the current one: a single quick answer among
/// slow ones must not make the next slow one time out.
const MIN_DECAY_RATIO: f64 = 0.4;

/// A timeout that adapts to the latency of a service.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveTimeout {
    current: Duration,
    min: Duration,
    max: Duration,
}

impl AdaptiveTimeout {
    /// Creates a timeout between two bounds, which starts halfway between them.
    #[must_use]
    pub fn new(min: Duration, max: Duration) -> Self {
        let current = (min + max) / 2;
        Self { current, min, max }
    }

    /// Returns the timeout for the next call.
    #[must_use]
    pub const fn current(&self) -> Duration {
        self.current
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, latency: Duration) {
        let next = (latency * LATENCY_MULTIPLE).max(self.current.mul_f64(MIN_DECAY_RATIO));
        self.current = next.clamp(self.min, self.max);
    }

    /// Records that a call timed out.
    pub fn record_timeout(&mut self) {
        self.current = (self.current * 2).min(self.max);
    }
}
