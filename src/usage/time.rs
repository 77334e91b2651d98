//! The time of day that processes agree on.
//!
//! Windows are windows of the time of day, which each process reads from its own host.
//! Load: hosts whose clocks are set, by seconds, back or ahead, and maybe back again.
//! Harm: such a process counts its requests in other windows, and one that reports would
//! close a window before it is over. So every process tells how far its time of day is
//! from the store's steady clock, which all share. One that differs by much from the
//! middle of what all tell goes by the middle instead. That is right as long as less
//! than half of the hosts are wrong at a time.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// By how much a host's time of day may differ from the middle and still be used: above
/// what reading the store's clock over a network gets wrong, far below a window.
const TRUSTED: Duration = Duration::from_millis(100);

/// How far a process's time of day is ahead of the store's clock, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Offset(i64);

impl Offset {
    /// Compares the two clocks, read at the same moment.
    #[must_use]
    pub fn between(time: Duration, store: Duration) -> Self {
        Self(whole_millis(time) - whole_millis(store))
    }

    /// Returns the time of day at the store's time `store`.
    fn time(self, store: Duration) -> Duration {
        let millis = whole_millis(store).saturating_add(self.0);
        Duration::from_millis(u64::try_from(millis).unwrap_or(0))
    }
}

fn whole_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns the time of day to go by: the host's own, unless it differs by much from the
/// middle of what this process and the others tell.
#[must_use]
pub fn agreed(own: Duration, store: Duration, others: &[Offset]) -> Duration {
    let mut all: Vec<Offset> = others.to_vec();
    all.push(Offset::between(own, store));
    all.sort_unstable();
    let middle = all[all.len() / 2].time(store);
    if own.abs_diff(middle) <= TRUSTED {
        own
    } else {
        middle
    }
}
