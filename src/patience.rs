//! How long to wait for an answer of a service whose pace changes.
//!
//! A store answers within milliseconds, loses half of its answers for some
//! seconds, or takes eighty times as long. With one time limit for all of this,
//! either each lost answer costs seconds, or each slow one is given up, found to
//! be unknown and sent again. So the limit follows what was seen: several times
//! the last answers, doubled by each wait that was in vain.

use std::time::Duration;

/// An answer that takes so many times the usual is taken to be lost.
const TIMES: u32 = 8;
/// The limit falls by no more than this with each answer, so that one quick
/// answer among slow ones doesn't make the next one pass for lost.
const FALL: f64 = 0.4;

/// A time limit that follows a service's pace.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    limit: Duration,
    least: Duration,
    most: Duration,
}

impl Patience {
    /// Creates a limit between two bounds, which begins in the middle of them.
    #[must_use]
    pub fn new(least: Duration, most: Duration) -> Self {
        let limit = (least + most) / 2;
        Self { limit, least, most }
    }

    /// Returns how long to wait now.
    #[must_use]
    pub const fn limit(&self) -> Duration {
        self.limit
    }

    /// Notes an answer and how long it took.
    pub fn answered(&mut self, took: Duration) {
        let wanted = (took * TIMES).max(self.limit.mul_f64(FALL));
        self.limit = wanted.clamp(self.least, self.most);
    }

    /// Notes that the limit was over before an answer came.
    pub fn expired(&mut self) {
        self.limit = (self.limit * 2).min(self.most);
    }
}
