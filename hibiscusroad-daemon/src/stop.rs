//! Shutdown signals.
//!
//! The first SIGTERM or SIGINT starts a graceful shutdown: the process accepts no new work
//! and completes work in flight. A second signal ends the process immediately.

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    flag,
    iterator::Signals,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Exit code after a second signal.
pub const EXIT_FORCED: i32 = 3;

/// Handler of shutdown signals.
///
/// A process installs the handler before it starts to listen and calls [`watch`] later. A
/// signal that arrives in between stays pending; without a handler it would kill the
/// process and disconnect its callers.
///
/// The second signal ends the process in the signal handler itself, whatever its threads do.
/// Two signals that the system delivers as one, because the process did not run in between,
/// count as one.
///
/// [`watch`]: Self::watch
#[derive(Debug)]
pub struct SignalHandler {
    signals: Signals,
    /// Whether a signal has arrived.
    has_signal: Arc<AtomicBool>,
}

impl SignalHandler {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers can't be installed.
    pub fn new() -> io::Result<Self> {
        let has_signal = Arc::new(AtomicBool::new(false));
        let is_armed = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            // Actions run in the order of their registration: the first signal arms the
            // shutdown, and the second runs it. `has_signal` is registered first, so that a
            // signal that arrives between two registrations is not lost.
            flag::register(signal, Arc::clone(&has_signal))?;
            flag::register_conditional_shutdown(signal, EXIT_FORCED, Arc::clone(&is_armed))?;
            flag::register(signal, Arc::clone(&is_armed))?;
        }
        is_armed.fetch_or(has_signal.load(Ordering::SeqCst), Ordering::SeqCst);
        let signals = Signals::new([SIGINT, SIGTERM])?;
        Ok(Self {
            signals,
            has_signal,
        })
    }

    /// Spawns a thread that calls `on_first` on the first signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be spawned.
    pub fn watch(mut self, on_first: impl FnOnce() + Send + 'static) -> io::Result<()> {
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                // A signal that arrived before `signals` was created is in the flag only.
                if !self.has_signal.load(Ordering::SeqCst) {
                    self.signals.forever().next();
                }
                on_first();
            })?;
        Ok(())
    }
}
