//! When a refused caller should come back.
//!
//! Callers that are all told "in one second" come back together and are
//! refused together. Each refusal therefore books the next free instant on a
//! line that moves on at the rate at which the service drains: callers return
//! one by one, as fast as they can be served and no faster.

use std::time::{Duration, Instant};

/// Never sooner: a caller that comes back within a few round trips only adds
/// load while the queue is what it was.
const LEAST: Duration = Duration::from_millis(200);
/// Never later: beyond this the rate will have changed, and a family that was
/// told two minutes has gone. From here on returns are spread at random.
const MOST: Duration = Duration::from_secs(30);

/// Share of the drain rate that is promised to those who come back: others come
/// for the first time meanwhile.
const PROMISED: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Returns {
    next: Option<Instant>,
}

impl Returns {
    /// Books a return after `wait`, where `gap` is the time in which one call
    /// drains and `draw` is random in [0, 1).
    pub(super) fn book(&mut self, now: Instant, wait: f64, gap: f64, draw: f64) -> Duration {
        let gap = gap / PROMISED;
        let wait = secs(wait).clamp(LEAST, MOST);
        let first = now + wait;
        let next = self.next.map_or(first, |next| next.max(first));
        let after = next - now;
        if after >= MOST {
            return MOST.mul_f64(0.5 + 0.5 * draw);
        }
        self.next = Some(next + secs(gap));
        after + secs(gap * draw)
    }
}

/// Converts seconds, clamped to what a caller may be told.
pub(super) fn secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.clamp(0.0, 3600.0)).unwrap_or(MOST)
}
