//! Rate limit and sampling of log lines.
//!
//! A burst of requests, or a failure that repeats thousands of times a second, must not
//! make logging more expensive than the work itself. So the number of lines per second is
//! limited.
//!
//! Requests are sampled by the hash of their ID, so that a sampled request has all its lines
//! and processes with the same sampling rate select the same requests. The sampling rate
//! adapts to the load of the previous second. Failures aren't sampled, and are admitted up
//! to twice the limit of other lines.

use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Average length of a line for which the budget has room, in bytes.
const LINE_BYTES: usize = 512;
/// Minimum share of requests that is sampled.
const MIN_SHARE: f64 = 1.0 / 64.0;
/// Maximum factor by which the share grows from one second to the next.
const MAX_GROWTH: f64 = 2.0;

/// Class of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rank {
    /// Reports a failure or a refusal.
    Failure,
    /// Any other line.
    Normal,
}

/// Log budget of one process.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Maximum number of lines per second.
    max_lines: usize,
    /// Start of the current second.
    start: Option<Instant>,
    /// Lines admitted in this second.
    lines: usize,
    /// Bytes written in this second.
    bytes: usize,
    /// Sampled lines requested in this second, whether admitted or not.
    sampled: usize,
    /// Lines requested in this second that aren't sampled: failures, and lines without a
    /// request ID.
    unsampled: usize,
    /// Share of requests whose lines are written.
    share: f64,
}

impl Budget {
    /// Creates a budget of `max_lines` per second.
    #[must_use]
    pub const fn new(max_lines: usize) -> Self {
        Self {
            max_lines,
            start: None,
            lines: 0,
            bytes: 0,
            sampled: 0,
            unsampled: 0,
            share: 1.0,
        }
    }

    /// Returns whether a line may be written.
    ///
    /// Lines with the same `request` ID are sampled together.
    pub fn admit(&mut self, now: Instant, rank: Rank, request: Option<&str>) -> bool {
        self.advance(now);
        let sampled_id = request.filter(|_| rank == Rank::Normal);
        match sampled_id {
            Some(_) => self.sampled += 1,
            None => self.unsampled += 1,
        }
        let limit = match rank {
            Rank::Failure => 2 * self.max_lines,
            Rank::Normal => self.max_lines,
        };
        let full = self.lines >= limit || self.bytes >= limit * LINE_BYTES;
        let admitted = !full && sampled_id.is_none_or(|id| self.is_in_sample(id));
        self.lines += usize::from(admitted);
        admitted
    }

    /// Records the length of an admitted line.
    pub const fn record_bytes(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    fn is_in_sample(&self, request: &str) -> bool {
        let position = xxh3_64(request.as_bytes()) as f64 / u64::MAX as f64;
        position <= self.share
    }

    /// Starts a new second if the current one is over, and adapts the share to the lines
    /// requested in it.
    fn advance(&mut self, now: Instant) {
        let start = *self.start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < WINDOW {
            return;
        }
        let available = self.max_lines.saturating_sub(self.unsampled) as f64;
        let sampled = self.sampled.max(1) as f64;
        // At least one second passed without any line.
        let was_idle = elapsed >= 2 * WINDOW;
        let fitting = if was_idle { 1.0 } else { available / sampled };
        self.share = fitting.min(self.share * MAX_GROWTH).clamp(MIN_SHARE, 1.0);
        self.start = Some(now);
        self.lines = 0;
        self.bytes = 0;
        self.sampled = 0;
        self.unsampled = 0;
    }
}
