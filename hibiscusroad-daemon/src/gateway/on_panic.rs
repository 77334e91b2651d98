//! Cleans up after tasks that panic.

use std::thread;

/// Calls a function when it is dropped during a panic.
pub(super) struct OnPanic<F: Fn()>(pub(super) F);

impl<F: Fn()> Drop for OnPanic<F> {
    fn drop(&mut self) {
        if thread::panicking() {
            (self.0)();
        }
    }
}
