//! Counts of one process that are being written to the store.

use super::Window;
use crate::table::RowId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, iter, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// The table of counts.
pub const USAGE_TABLE: &str = "usage";
/// The part in which gateways of earlier versions write and read counts. Leases and heartbeats
/// share it.
const SHARED_PART: &str = "";
/// Number of parts that only counts are written in. A part of a store that is 80 times slower
/// carries out four transactions a second, and 33 processes write ten rows a second.
const OWN_PARTS: u64 = 8;

/// After a store outage a process has counts of many windows to write.
const MAX_ROWS_PER_WRITE: usize = 50;
/// Minimum time between two writes of a process.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Limits the writes of all processes together to a seventh of what the smallest store takes.
const MAX_WRITES_PER_SECOND: u32 = 120;

/// Least ratio of the time between two writes of a process to the latency of a write.
const LATENCIES_PER_WRITE: u32 = 2;

/// Number of requests by account.
pub type Counts = BTreeMap<String, u64>;

/// A part of the counts of one process in a window, written once as one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartialCounts {
    /// The window.
    pub window: Window,
    /// The sequence number of the row within its process.
    pub seq: u64,
    /// Whether the row is in a part that only counts are written in.
    pub is_apart: bool,
    /// The counts.
    pub counts: Counts,
}

#[derive(Deserialize, Serialize)]
struct RowValue {
    counts: Counts,
}

impl PartialCounts {
    /// Returns the row id, for the incarnation of the process that counted.
    #[must_use]
    pub fn row(&self, incarnation: &str) -> RowId {
        let key = format!("{}{incarnation}/{}", key_prefix(self.window), self.seq);
        RowId::new(USAGE_TABLE, &usage_part(incarnation, self.is_apart), &key)
    }

    /// Encodes the counts as JSON.
    ///
    /// # Panics
    ///
    /// Never: a map of strings to integers can always be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let counts = self.counts.clone();
        serde_json::to_vec(&RowValue { counts })
            .expect("strings and integers can be encoded as JSON")
    }
}

/// Returns the part that an incarnation of a process writes its counts in.
#[must_use]
pub fn usage_part(incarnation: &str, is_apart: bool) -> String {
    if is_apart {
        own_part(xxh3_64(incarnation.as_bytes()) % OWN_PARTS)
    } else {
        SHARED_PART.to_owned()
    }
}

/// Returns all parts that may have counts.
pub fn usage_parts() -> impl Iterator<Item = String> {
    iter::once(SHARED_PART.to_owned()).chain((0..OWN_PARTS).map(own_part))
}

fn own_part(part: u64) -> String {
    format!("usage-{part}")
}

/// Returns the common key prefix of a window's rows. Prefixes sort in the order of windows.
pub(super) fn key_prefix(window: Window) -> String {
    format!("{:020}/", window.0)
}

/// Returns the window of the row with this key.
pub(super) fn parse_window(key: &str) -> Option<Window> {
    let (number, _) = key.split_once('/')?;
    number.parse().ok().map(Window)
}

/// Returns the range of keys of a window's counts: the first one, and the end (exclusive).
#[must_use]
pub fn key_range(window: Window) -> (String, String) {
    (key_prefix(window), key_prefix(window.next()))
}

/// Adds up the rows of a window; also returns the number of rows that can't be decoded.
#[must_use]
pub fn sum_counts<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> (Counts, usize) {
    let mut sums = Counts::new();
    let mut invalid_rows = 0;
    for value in values {
        let Ok(RowValue { counts }) = serde_json::from_slice(value) else {
            invalid_rows += 1;
            continue;
        };
        for (account, count) in counts {
            *sums.entry(account).or_default() += count;
        }
    }
    (sums, invalid_rows)
}

/// Counts of one process that aren't confirmed to be in the store.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    unsent: BTreeMap<Window, Counts>,
    /// Rows of a write that isn't confirmed yet.
    in_flight: Vec<PartialCounts>,
    last_seq: u64,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request of an account.
    pub fn record(&mut self, window: Window, account: &str) {
        let counts = self.unsent.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => drop(counts.insert(account.to_owned(), 1)),
        }
    }

    /// Returns whether all counts are confirmed to be in the store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.unsent.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the rows to write next, in one transaction.
    ///
    /// `is_apart` says whether new rows may be in the parts that only counts are written in,
    /// which the reporter must be known to read.
    ///
    /// Returns the same rows until [`Self::confirm_write`] is called, since a write without an
    /// answer may have taken effect: in another part it would count twice. Later counts go into
    /// later rows.
    pub fn next_write(&mut self, is_apart: bool) -> &[PartialCounts] {
        if self.in_flight.is_empty() {
            while let Some((window, counts)) = self.unsent.pop_first() {
                self.last_seq += 1;
                let seq = self.last_seq;
                self.in_flight.push(PartialCounts {
                    window,
                    seq,
                    is_apart,
                    counts,
                });
                if self.in_flight.len() >= MAX_ROWS_PER_WRITE {
                    break;
                }
            }
        }
        &self.in_flight
    }

    /// Confirms that the rows of [`Self::next_write`] are in the store.
    pub fn confirm_write(&mut self) {
        self.in_flight.clear();
    }
}

/// Returns the interval between two writes of one of `processes` processes.
///
/// A process that is killed loses the counts of this interval, so it is as short as the
/// store can handle: at least twice the time that writes take at present.
#[must_use]
pub fn write_interval(processes: usize, latency: Duration) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    MIN_WRITE_INTERVAL
        .max(Duration::from_secs(1) * processes / MAX_WRITES_PER_SECOND)
        .max(latency * LATENCIES_PER_WRITE)
}
