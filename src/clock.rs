//! Sources of the current time.
//!
//! Functions that decide take an `Instant` as an argument. A process reads it from a
//! [`Clock`] once per iteration of its loop, so a test can run the same code in virtual
//! time.
//!
//! `Instant` advances while a process is stopped by a signal, but not while its host is
//! suspended. Leases therefore use the boot clock of the daemon instead.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Returns a duration in whole milliseconds, as stored rows and log lines have it.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A source of the current instant.
pub trait Clock: Send + Sync {
    /// Returns the current instant, which never decreases.
    fn now(&self) -> Instant;
}

/// The monotonic clock of the host.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that advances only by [`ManualClock::advance`].
///
/// # Example
///
/// ```
/// use hibiscusroad::{Clock, ManualClock};
/// use std::time::Duration;
///
/// let clock = ManualClock::new();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(3));
/// assert_eq!(clock.now() - start, Duration::from_secs(3));
/// ```
#[derive(Clone, Debug)]
pub struct ManualClock {
    base: Instant,
    elapsed_nanos: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock that is stopped at the current instant.
    #[must_use]
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            elapsed_nanos: Arc::default(),
        }
    }

    /// Advances the clock, which wraps after 584 years in all.
    pub fn advance(&self, duration: Duration) {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        self.elapsed_nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + Duration::from_nanos(self.elapsed_nanos.load(Ordering::SeqCst))
    }
}
