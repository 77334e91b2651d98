//! Signals that stop a process.
//!
//! The first SIGTERM or SIGINT asks for a graceful shutdown: no new work, work
//! in flight completes. A second one ends the process at once, for an operator
//! who can't wait.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{io, process, thread};

/// Exit code of a process that a second signal ended.
pub const EXIT_FORCED: i32 = 3;

/// Signals that are caught, and kept until someone takes them.
///
/// A process catches them before it listens. One that only listened would end
/// uncleanly by a signal that comes before it watches, and cut off the callers
/// that it serves already; a caught signal waits and stops it gracefully.
#[derive(Debug)]
pub struct Caught {
    signals: Signals,
}

impl Caught {
    /// Catches signals from now on.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the signals can't be caught.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([SIGINT, SIGTERM])?;
        Ok(Self { signals })
    }

    /// Calls `first` on the first signal and ends the process on the second.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no thread can be had.
    pub fn watch(mut self, first: impl FnOnce() + Send + 'static) -> io::Result<()> {
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                let mut first = Some(first);
                for _ in self.signals.forever() {
                    match first.take() {
                        Some(first) => first(),
                        None => process::exit(EXIT_FORCED),
                    }
                }
            })?;
        Ok(())
    }
}
