//! How many lines a process writes, and which are left out.
//!
//! Load: a burst of requests, each with several lines, or a failure that repeats
//! itself thousands of times a second. Harm: logs cost more than the work they tell
//! of, and what reads them falls behind. So lines have a budget a second.
//!
//! What is left out is chosen by request, not by line: the hash of a request's id
//! says whether it is kept, alike in all processes, so a kept request's story is
//! whole from its entry to its end. The share that is kept follows the load of the
//! second before. Failures are kept while there is any room, and twice the budget
//! is the bound of everything.

use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Lines are counted by seconds.
const WINDOW: Duration = Duration::from_secs(1);
/// Bytes that lines of the budget may have on average. Lines of the heaviest day
/// measured had 236 (30 KB in 126 lines of one process in a second).
const LINE_BYTES: usize = 512;
/// The least share of requests that is kept: one in sixty-four tells what happens.
const LEAST: f64 = 1.0 / 64.0;
/// The share grows by no more than this from one second to the next.
const GROWTH: f64 = 2.0;

/// What a line tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// That something failed or was refused.
    Failure,
    /// Anything else.
    Usual,
}

/// Lines of one process, second by second.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Lines a second.
    most: usize,
    /// The begin of the present second.
    begin: Option<Instant>,
    lines: usize,
    bytes: usize,
    /// Lines of requests that were wanted in this second.
    wanted: usize,
    /// Lines in this second that belong to no request, or tell of a failure.
    fixed: usize,
    /// The share of requests that is kept.
    share: f64,
}

impl Budget {
    /// Creates a budget of so many lines a second.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            most,
            begin: None,
            lines: 0,
            bytes: 0,
            wanted: 0,
            fixed: 0,
            share: 1.0,
        }
    }

    /// Says whether a line is written; `request` is what its story goes by.
    pub fn admit(&mut self, now: Instant, rank: Rank, request: Option<&str>) -> bool {
        self.turn(now);
        let usual = request.filter(|_| rank == Rank::Usual);
        match usual {
            Some(_) => self.wanted += 1,
            None => self.fixed += 1,
        }
        let bound = match rank {
            Rank::Failure => 2 * self.most,
            Rank::Usual => self.most,
        };
        let full = self.lines >= bound || self.bytes >= bound * LINE_BYTES;
        let admitted = !full && usual.is_none_or(|id| self.keeps(id));
        self.lines += usize::from(admitted);
        admitted
    }

    /// Notes how long a line became that was admitted.
    pub const fn spent(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    fn keeps(&self, request: &str) -> bool {
        let place = xxh3_64(request.as_bytes()) as f64 / u64::MAX as f64;
        place <= self.share
    }

    /// Begins the next second, with a share by what the last one wanted.
    fn turn(&mut self, now: Instant) {
        let begin = *self.begin.get_or_insert(now);
        let passed = now.saturating_duration_since(begin);
        if passed < WINDOW {
            return;
        }
        let room = self.most.saturating_sub(self.fixed) as f64;
        let wanted = self.wanted.max(1) as f64;
        // Nothing was wanted in seconds that passed without a line.
        let quiet = passed >= 2 * WINDOW;
        let fit = if quiet { 1.0 } else { room / wanted };
        self.share = fit.min(self.share * GROWTH).clamp(LEAST, 1.0);
        self.begin = Some(now);
        self.lines = 0;
        self.bytes = 0;
        self.wanted = 0;
        self.fixed = 0;
    }
}
