//! The interface through which time enters.
//!
//! The decisions take `Instant` as an argument. The processes read it once a
//! turn from a [`Clock`], so that a test can run the same turn in virtual time.
//!
//! `Instant` goes on while a process is stopped by a signal, but not while its
//! machine is suspended. Leases therefore don't use it; they use the boot
//! clock of the daemon.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Returns whole milliseconds, as rows of the store and log lines hold times.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A source of the present instant.
pub trait Clock: Send + Sync {
    /// Returns the present instant, which never goes back.
    fn now(&self) -> Instant;
}

/// The clock of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that goes on only when it is told to.
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
    nanos: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock that stands at the present instant.
    #[must_use]
    pub fn new() -> Self {
        Self {
            base: Instant::now(),
            nanos: Arc::default(),
        }
    }

    /// Moves the clock on. Steps of more than 584 years in all wrap.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + Duration::from_nanos(self.nanos.load(Ordering::SeqCst))
    }
}
