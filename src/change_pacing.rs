//! Pacing of the changes of a table that a process follows.
//!
//! Engines change their entries at each load of weights, and each change is delivered to
//! every process, so that calls to the store grow with the product of endpoints and
//! processes. A process that does not need each change at once lets those of a busy table
//! gather. Single changes, such as of an endpoint that leaves, are not delayed: pauses
//! begin only when changes keep coming.

use std::time::{Duration, Instant};

/// Deliveries a second of a table that keeps changing.
const DELIVERIES_PER_SECOND: f64 = 2.0;
/// Deliveries that are not followed by a pause after a quiet time.
const MAX_BURST: f64 = 8.0;

/// Decides how long a process waits after changes before it requests the next ones.
#[derive(Clone, Copy, Debug)]
pub struct ChangePacing {
    /// Deliveries that may still follow without a pause.
    allowance: f64,
    updated_at: Instant,
}

impl ChangePacing {
    /// Creates the state of a process that starts to follow a table.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            allowance: MAX_BURST,
            updated_at: now,
        }
    }

    /// Records that changes were delivered, and returns how long the next request waits.
    pub fn record_delivery(&mut self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let earned = elapsed.as_secs_f64() * DELIVERIES_PER_SECOND;
        self.allowance = (self.allowance + earned).min(MAX_BURST) - 1.0;
        self.updated_at = now;
        Duration::from_secs_f64((-self.allowance).max(0.0) / DELIVERIES_PER_SECOND)
    }
}

/// Bytes a second of the changes of a table whose rows are large. A process has 22 KB a
/// second for all its control work.
const BYTES_PER_SECOND: f64 = 11_000.0;
/// Bytes that are not followed by a pause after a quiet time: the records of some tens of
/// loads that begin one after the other.
const MAX_BURST_BYTES: f64 = 32_000.0;

/// Decides how long a process waits after changes that it needs at once, so that the bytes
/// of a busy table stay limited.
#[derive(Clone, Copy, Debug)]
pub struct BytePacing {
    /// Bytes that may still follow without a pause.
    allowance: f64,
    updated_at: Instant,
}

impl BytePacing {
    /// Creates the state of a process that starts to follow a table.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            allowance: MAX_BURST_BYTES,
            updated_at: now,
        }
    }

    /// Records that changes of this size were delivered, and returns how long the next
    /// request waits.
    pub fn record_delivery(&mut self, now: Instant, bytes: usize) -> Duration {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let earned = elapsed.as_secs_f64() * BYTES_PER_SECOND;
        self.allowance = (self.allowance + earned).min(MAX_BURST_BYTES) - bytes as f64;
        self.updated_at = now;
        Duration::from_secs_f64((-self.allowance).max(0.0) / BYTES_PER_SECOND)
    }
}
