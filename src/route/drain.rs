//! When a refused caller should come back.
//!
//! Callers that are all told "in one second" come back together and are
//! refused together. Each refusal therefore books the next free instant on a
//! line that moves on at the rate at which the service drains: callers return
//! one by one, as fast as they can be served and no faster.

use std::time::{Duration, Instant};

/// Never sooner: a caller that comes back within a few round trips only adds
/// load while the queue is what it was.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// Never later: beyond this the rate will have changed, and a family that was
/// told two minutes has gone. From here on returns are spread at random.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Share of the drain rate that is promised to those who come back: others come
/// for the first time meanwhile.
const RETURNING_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReturnSchedule {
    next: Option<Instant>,
}

impl ReturnSchedule {
    /// Books a return after `wait`, where `gap` is the time in which one call
    /// drains and `draw` is random in [0, 1).
    pub(super) fn reserve(
        &mut self,
        now: Instant,
        wait: f64,
        interval: f64,
        random: f64,
    ) -> Duration {
        let interval = interval / RETURNING_SHARE;
        let wait = seconds(wait).clamp(MIN_DELAY, MAX_DELAY);
        let earliest = now + wait;
        let next = self.next.map_or(earliest, |next| next.max(earliest));
        let delay = next - now;
        if delay >= MAX_DELAY {
            return MAX_DELAY.mul_f64(0.5 + 0.5 * random);
        }
        self.next = Some(next + seconds(interval));
        delay + seconds(interval * random)
    }
}

/// Converts seconds, clamped to what a caller may be told.
pub(super) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.clamp(0.0, 3600.0)).unwrap_or(MAX_DELAY)
}
