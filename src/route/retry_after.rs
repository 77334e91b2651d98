//! `Retry-After` times of refused callers.
//!
//! Callers that all got the same delay would come back at once and be refused
//! again. Each refusal therefore reserves the next free instant of a schedule
//! that advances at the rate at which the queue is worked off.

use std::time::{Duration, Instant};

/// Lower bound. A caller that returns within a few round trips finds the same queue and only
/// adds load.
const MIN_DELAY: Duration = Duration::from_millis(200);
/// Upper bound, beyond which the service rate will have changed. Returns that would be later are
/// spread at random below it.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Share of the service rate that is scheduled for returning callers; the rest
/// is for new ones.
const RETURNING_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReturnSchedule {
    next: Option<Instant>,
}

impl ReturnSchedule {
    /// Reserves a return no earlier than after `wait` seconds and returns the
    /// delay until then.
    ///
    /// `interval` is the time that the service needs for one call, in seconds;
    /// `random` is a random number in [0, 1).
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

/// Converts seconds to a duration of at most an hour.
pub(super) fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.clamp(0.0, 3600.0)).unwrap_or(MAX_DELAY)
}
