//! Sums that forget: how much happened lately.
//!
//! An exponential decay needs one number and one instant for each thing that
//! is counted, where a window of buckets needs dozens. The price is a soft
//! edge: what happened one time constant ago still counts 37 per cent.

use std::time::{Duration, Instant};

/// A sum whose parts fade with a time constant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    sum: f64,
    tau: f64,
    last: Option<Instant>,
}

impl Meter {
    pub(super) fn new(tau: Duration) -> Self {
        Self {
            sum: 0.0,
            tau: tau.as_secs_f64(),
            last: None,
        }
    }

    pub(super) fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.sum(now) + amount;
        self.last = Some(now);
    }

    /// Keeps the greater of the faded sum and `level`.
    pub(super) fn raise(&mut self, now: Instant, level: f64) {
        self.sum = self.sum(now).max(level);
        self.last = Some(now);
    }

    pub(super) fn sum(&self, now: Instant) -> f64 {
        let age = self.last.map_or(0.0, |last| {
            (now.saturating_duration_since(last)).as_secs_f64()
        });
        self.sum * (-age / self.tau).exp()
    }
}

/// Rounds a count up, within what a `u32` holds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
pub(super) fn ceil(count: f64) -> u32 {
    count.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
