//! A monotonic clock that includes the time that the machine is suspended.
//!
//! `Instant` excludes that time, so a lease holder that was suspended past the end of
//! its lease would continue to act beside its successor. On this clock its lease has
//! expired when it resumes.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// A monotonic clock that includes suspensions.
#[derive(Clone, Copy, Debug)]
pub(super) struct BootClock {
    base: Instant,
    boot: Duration,
}

impl BootClock {
    pub(super) fn new() -> Self {
        Self {
            base: Instant::now(),
            boot: boot_time(),
        }
    }

    /// Returns the current instant of this clock, which is comparable only with other
    /// instants of the same clock.
    pub(super) fn now(&self) -> Instant {
        self.base + boot_time().saturating_sub(self.boot)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}
