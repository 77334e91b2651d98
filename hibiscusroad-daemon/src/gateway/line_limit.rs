//! Limits the log lines on events that may occur thousands of times a second.

use std::{
    collections::HashMap,
    hash::Hash,
    time::{Duration, Instant},
};

/// Interval of the lines on events with one key.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without events after which the row of a key is dropped.
const LOG_RETENTION: Duration = Duration::from_mins(1);

/// Events with one key since their last line.
#[derive(Debug)]
struct Unlogged {
    last_line: Instant,
    events: u32,
}

/// Decides which events get a line: one a second for each key.
#[derive(Debug)]
pub(super) struct LineLimit<K> {
    rows: HashMap<K, Unlogged>,
}

impl<K> Default for LineLimit<K> {
    fn default() -> Self {
        Self {
            rows: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> LineLimit<K> {
    /// Counts an event; returns how many the line that is due covers, if one is.
    pub(super) fn record(&mut self, now: Instant, key: K) -> Option<u32> {
        if let Some(row) = self.rows.get_mut(&key) {
            row.events += 1;
            if now - row.last_line < LOG_INTERVAL {
                return None;
            }
        }
        let events = self.rows.remove(&key).map_or(1, |row| row.events);
        self.rows
            .retain(|_, row| now - row.last_line < LOG_RETENTION);
        let row = Unlogged {
            last_line: now,
            events: 0,
        };
        self.rows.insert(key, row);
        Some(events)
    }
}
