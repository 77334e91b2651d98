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
