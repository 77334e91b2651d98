//! The times of a lease.

use std::time::Duration;

/// How long a lease lasts and how often it is renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// How long a row stays unchanged before another may take the duty.
    ///
    /// Shorter means less time without a holder after a crash; longer means
    /// that a slow table or a short pause doesn't move the duty.
    pub span: Duration,
    /// Time from one renewal to the next: a third of the span, so that one lost
    /// answer costs nothing.
    pub renewal: Duration,
    /// How much earlier the holder stops than a candidate starts; covers clocks
    /// that differ by one part in ten within a span.
    pub margin: Duration,
}

impl Terms {
    /// Creates terms of 6 s, renewed every 2 s, with a margin of 0.6 s.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            span: Duration::from_secs(6),
            renewal: Duration::from_secs(2),
            margin: Duration::from_millis(600),
        }
    }

    /// Sets the span, and the renewal and margin in proportion to it.
    #[must_use]
    pub fn span(mut self, span: Duration) -> Self {
        self.span = span;
        self.renewal = span / 3;
        self.margin = span / 10;
        self
    }
}

impl Default for Terms {
    fn default() -> Self {
        Self::new()
    }
}
