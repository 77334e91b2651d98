//! Instants that go on while the machine is suspended.
//!
//! `Instant` stands still then. A holder that was suspended past the end of its
//! lease would go on giving orders beside its successor; on this clock its
//! lease is over when it wakes.

use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// A clock that counts from its creation, suspensions included.
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

    /// Returns the present instant of this clock; compare it only with others
    /// of the same clock.
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
