//! Counts of one process on their way into the store.

use super::Window;
use crate::table::RowId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The table of counts.
pub const USAGE: &str = "usage";

/// Most shares of one write; a process that reaches the store again after an outage
/// has counts of many windows.
const MOST: usize = 50;
/// Time between two writes of a process at the least.
const KEEP: Duration = Duration::from_millis(200);
/// With more processes each of them writes the less often: together they write so many
/// times a second at the most, a seventh of what the smallest store takes.
const WRITES: u32 = 120;

/// Requests by account.
pub type Counts = BTreeMap<String, u64>;

/// A part of what one process counted in a window. It is written once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The window.
    pub window: Window,
    /// Tells the shares of a process apart.
    pub seq: u64,
    /// What was counted.
    pub counts: Counts,
}

#[derive(Deserialize, Serialize)]
struct Value {
    counts: Counts,
}

impl Share {
    /// Names its row; `life` is the life of the process that counted.
    #[must_use]
    pub fn row(&self, life: &str) -> RowId {
        let key = format!("{}{life}/{}", prefix(self.window), self.seq);
        RowId::new(USAGE, "", &key)
    }

    /// Encodes its counts.
    ///
    /// # Panics
    ///
    /// Never: texts and numbers always become JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let counts = self.counts.clone();
        serde_json::to_vec(&Value { counts }).expect("texts and numbers become JSON")
    }
}

/// Returns what the keys of all rows of a window begin with; it sorts as windows do.
pub(super) fn prefix(window: Window) -> String {
    format!("{:020}/", window.0)
}

/// Returns the window that a key begins with.
pub(super) fn named(key: &str) -> Option<Window> {
    let (number, _) = key.split_once('/')?;
    number.parse().ok().map(Window)
}

/// Returns the first key of a window's counts, and the key behind its last.
#[must_use]
pub fn keys(window: Window) -> (String, String) {
    (prefix(window), prefix(window.next()))
}

/// Adds up the rows of a window; also returns how many rows are broken.
#[must_use]
pub fn merge<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> (Counts, usize) {
    let mut sums = Counts::new();
    let mut broken = 0;
    for value in values {
        let Ok(Value { counts }) = serde_json::from_slice(value) else {
            broken += 1;
            continue;
        };
        for (account, count) in counts {
            *sums.entry(account).or_default() += count;
        }
    }
    (sums, broken)
}

/// Counts of one process that the store doesn't surely have yet.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    open: BTreeMap<Window, Counts>,
    /// Shares that are being written, or whose write has no outcome yet.
    sent: Vec<Share>,
    seq: u64,
}

impl Tally {
    /// Creates an empty tally.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request of an account.
    pub fn note(&mut self, window: Window, account: &str) {
        let counts = self.open.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => drop(counts.insert(account.to_owned(), 1)),
        }
    }

    /// Says whether nothing is left to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.sent.is_empty()
    }

    /// Returns what to write next, all in one transaction.
    ///
    /// The same shares come again until [`Self::kept`] is called, since a write without
    /// an answer may have been carried out: as the same rows they count once. What is
    /// counted meanwhile goes into later shares.
    pub fn next_write(&mut self) -> &[Share] {
        if self.sent.is_empty() {
            while let Some((window, counts)) = self.open.pop_first() {
                self.seq += 1;
                let seq = self.seq;
                self.sent.push(Share {
                    window,
                    seq,
                    counts,
                });
                if self.sent.len() >= MOST {
                    break;
                }
            }
        }
        &self.sent
    }

    /// Notes that the store has what [`Self::next_write`] returned.
    pub fn kept(&mut self) {
        self.sent.clear();
    }
}

/// Returns the pause between two writes of a process among `processes`.
///
/// Load: every process has callers all the time. Harm: what a process that is killed
/// has not written is lost, so the pause is short; 360 processes that write five times a
/// second would use up the store.
#[must_use]
pub fn pause(processes: usize) -> Duration {
    let processes = u32::try_from(processes).unwrap_or(u32::MAX);
    KEEP.max(Duration::from_secs(1) * processes / WRITES)
}
