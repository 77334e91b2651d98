//! A timeout that adapts to the latency of a service.
//!
//! The latency of the store ranges from milliseconds to eighty times that, and at times it
//! loses half of its answers. With a fixed timeout, either each lost answer costs seconds,
//! or each slow answer is abandoned and its call sent again. So the timeout is a multiple
//! of the last latencies, and doubles with each call that times out.
//!
//! A refusal tells nothing about the latency of a call that is carried out. It is quick
//! just when the service has more calls queued than it accepts; a timeout that followed it
//! would be shorter than the queue, so that calls are sent again while they wait in it.

use std::time::Duration;

/// The ratio of the timeout to the last latency.
const LATENCY_MULTIPLE: u32 = 8;
/// The least ratio of the next timeout to the current one: a single quick answer among
/// slow ones must not make the next slow one time out.
const MIN_DECAY_RATIO: f64 = 0.4;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// It was carried out and answered after this latency.
    Answered(Duration),
    /// It was refused and not carried out.
    Refused,
    /// It timed out; it may have been carried out.
    TimedOut,
}

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

    /// Records how a call ended.
    pub fn record(&mut self, end: CallEnd) {
        match end {
            CallEnd::Answered(latency) => self.record_answer(latency),
            CallEnd::Refused => {}
            CallEnd::TimedOut => self.record_timeout(),
        }
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
