//! Shutdown signals.
//!
//! The first SIGTERM or SIGINT starts a graceful shutdown: the process accepts no new work
//! and completes work in flight. A second signal ends the process immediately.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{io, process, thread};

/// Exit code after a second signal.
pub const EXIT_FORCED: i32 = 3;

/// Handler of shutdown signals.
///
/// A process installs the handler before it starts to listen and calls [`watch`] later. A
/// signal that arrives in between stays pending; without a handler it would kill the
/// process and disconnect its callers.
///
/// [`watch`]: Self::watch
#[derive(Debug)]
pub struct SignalHandler {
    signals: Signals,
}

impl SignalHandler {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers can't be installed.
    pub fn new() -> io::Result<Self> {
        let signals = Signals::new([SIGINT, SIGTERM])?;
        Ok(Self { signals })
    }

    /// Spawns a thread that calls `on_first` on the first signal and ends the process on
    /// the second.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be spawned.
    pub fn watch(mut self, on_first: impl FnOnce() + Send + 'static) -> io::Result<()> {
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                let mut on_first = Some(on_first);
                for _ in self.signals.forever() {
                    match on_first.take() {
                        Some(on_first) => on_first(),
                        None => process::exit(EXIT_FORCED),
                    }
                }
            })?;
        Ok(())
    }
}
