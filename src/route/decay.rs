//! Exponentially decaying sums.
//!
//! A decaying sum needs one number and one instant, where a sliding window needs
//! a bucket for each step. The trade-off is a soft edge: old events lose weight
//! gradually.

use std::time::{Duration, Instant};

/// A sum whose parts decay with a time constant.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    sum: f64,
    decay_secs: f64,
    updated: Option<Instant>,
}

impl DecayingSum {
    pub(super) fn new(decay_time: Duration) -> Self {
        Self {
            sum: 0.0,
            decay_secs: decay_time.as_secs_f64(),
            updated: None,
        }
    }

    pub(super) fn add(&mut self, now: Instant, amount: f64) {
        self.sum = self.value(now) + amount;
        self.updated = Some(now);
    }

    /// Raises the sum to `level`, if it is lower.
    pub(super) fn raise_to(&mut self, now: Instant, level: f64) {
        self.sum = self.value(now).max(level);
        self.updated = Some(now);
    }

    pub(super) fn value(&self, now: Instant) -> f64 {
        let age = self.updated.map_or(0.0, |updated| {
            (now.saturating_duration_since(updated)).as_secs_f64()
        });
        self.sum * (-age / self.decay_secs).exp()
    }
}

/// Rounds a count up, within what a `u32` holds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped first"
)]
pub(super) fn ceil_to_u32(count: f64) -> u32 {
    count.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
