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

/// Calls `first` on the first signal and ends the process on the second.
///
/// # Errors
///
/// Returns the system's error if the signals can't be watched.
pub fn watch(first: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let mut first = Some(first);
            for _ in signals.forever() {
                match first.take() {
                    Some(first) => first(),
                    None => process::exit(EXIT_FORCED),
                }
            }
        })?;
    Ok(())
}
