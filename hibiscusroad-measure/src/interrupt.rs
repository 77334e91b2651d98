//! Ending early when a signal asks for it.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(20);

/// Whether a signal has requested an early end. Clones share it.
///
/// Nothing is ended by the signal itself: the processes of a deployment are
/// stopped where the deployment is dropped, so that none is left behind.
#[derive(Clone, Debug, Default)]
pub struct Interrupt {
    requested: Arc<AtomicBool>,
}

impl Interrupt {
    /// Watches for SIGINT and SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signals can't be watched.
    pub fn watch() -> io::Result<Self> {
        let interrupt = Self::default();
        for signal in [SIGINT, SIGTERM] {
            flag::register(signal, Arc::clone(&interrupt.requested))?;
        }
        Ok(interrupt)
    }

    /// Returns whether a signal came.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.requested.load(Ordering::Relaxed)
    }

    /// Sleeps until `instant`, or until a signal comes.
    pub fn sleep_until(&self, instant: Instant) {
        loop {
            let left = instant.saturating_duration_since(Instant::now());
            if self.is_requested() || left.is_zero() {
                return;
            }
            thread::sleep(left.min(POLL));
        }
    }
}
