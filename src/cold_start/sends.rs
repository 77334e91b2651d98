//! Counts the requests that a process sent to one endpoint.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time for which a send counts: the second of the bound, and the time by which the delivery of
/// two requests may differ.
pub const SEND_WINDOW: Duration = Duration::from_millis(1_100);

/// The recent sends to one endpoint, and those that are about to follow.
#[derive(Debug, Default)]
pub(super) struct Sends {
    sent: VecDeque<Instant>,
    /// Sends that were decided and have not taken place; those of cancelled requests expire.
    reserved: VecDeque<Instant>,
}

impl Sends {
    pub(super) fn reserve(&mut self, now: Instant) {
        self.expire(now);
        self.reserved.push_back(now);
    }

    pub(super) fn cancel_reservation(&mut self) {
        self.reserved.pop_front();
    }

    pub(super) fn record(&mut self, now: Instant) {
        self.expire(now);
        self.sent.push_back(now);
    }

    /// Drops what is older than [`SEND_WINDOW`].
    pub(super) fn expire(&mut self, now: Instant) {
        for times in [&mut self.sent, &mut self.reserved] {
            while times.front().is_some_and(|at| *at + SEND_WINDOW <= now) {
                times.pop_front();
            }
        }
    }

    /// Returns the number of sends in the last [`SEND_WINDOW`], reserved ones included.
    pub(super) fn count(&self, now: Instant) -> u32 {
        let count = |times: &VecDeque<Instant>| {
            let expired = times.partition_point(|at| *at + SEND_WINDOW <= now);
            times.len() - expired
        };
        u32::try_from(count(&self.sent) + count(&self.reserved)).unwrap_or(u32::MAX)
    }

    /// Returns the number of sends since an instant of the last [`SEND_WINDOW`].
    pub(super) fn count_since(&self, since: Instant) -> u32 {
        let count =
            |times: &VecDeque<Instant>| times.len() - times.partition_point(|at| *at < since);
        u32::try_from(count(&self.sent) + count(&self.reserved)).unwrap_or(u32::MAX)
    }

    /// Returns when the oldest send no longer counts.
    pub(super) fn next_expiry(&self, now: Instant) -> Option<Instant> {
        let times = [&self.sent, &self.reserved];
        let ends = times.into_iter().filter_map(|times| {
            let idx = times.partition_point(|at| *at + SEND_WINDOW <= now);
            times.get(idx).map(|at| *at + SEND_WINDOW)
        });
        ends.min()
    }
}
