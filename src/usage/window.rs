//! Time windows in which usage is counted.

use std::time::Duration;

/// The number of a window, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Consecutive windows of one length. Times are durations since the Unix epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Windows {
    length: Duration,
}

impl Windows {
    /// Creates windows of this length; zero becomes one second.
    #[must_use]
    pub const fn new(length: Duration) -> Self {
        let length = if length.is_zero() {
            Duration::from_secs(1)
        } else {
            length
        };
        Self { length }
    }

    /// Returns the window that contains a time.
    #[must_use]
    pub fn at(&self, time: Duration) -> Window {
        let number = time.as_nanos() / self.length.as_nanos();
        Window(u64::try_from(number).unwrap_or(u64::MAX))
    }

    /// Returns the end of a window (exclusive).
    #[must_use]
    pub fn end(&self, window: Window) -> Duration {
        let nanos = self.length.as_nanos() * (u128::from(window.0) + 1);
        Duration::from_nanos_u128(nanos)
    }
}
