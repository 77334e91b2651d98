//! The time of day that processes agree on.
//!
//! Usage is counted in windows of the time of day, which each process reads from its own
//! host. A host whose clock is wrong by seconds would count requests in other windows, or
//! close a window early. So each process publishes the offset of its time of day from the
//! store's steady clock, and a process that is far off the median uses the median instead.
//! This is right while less than half of the hosts are wrong.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Above the error of reading the store's clock over a network, far below a window.
const MAX_CLOCK_DEVIATION: Duration = Duration::from_millis(100);

/// The offset of a process's time of day from the store's clock, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Offset(i64);

impl Offset {
    /// Returns the offset between two readings of the same moment.
    #[must_use]
    pub fn between(time: Duration, store: Duration) -> Self {
        Self(signed_millis(time) - signed_millis(store))
    }

    /// Returns the time of day at the store's time `store`.
    fn time_of_day(self, store: Duration) -> Duration {
        let millis = signed_millis(store).saturating_add(self.0);
        Duration::from_millis(u64::try_from(millis).unwrap_or(0))
    }
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// Returns the time of day to use: the host's own, unless it is far off the median of this
/// process and the others.
#[must_use]
pub fn agreed_time(own: Duration, store: Duration, others: &[Offset]) -> Duration {
    let mut all: Vec<Offset> = others.to_vec();
    all.push(Offset::between(own, store));
    all.sort_unstable();
    let median = all[all.len() / 2].time_of_day(store);
    if own.abs_diff(median) <= MAX_CLOCK_DEVIATION {
        own
    } else {
        median
    }
}
