//! Reports of windows: when each is due, and which stored report is sent.

use super::{
    Window, Windows,
    tally::{key_prefix, parse_window},
};
use crate::{clock::millis, rollout::order_records::OrderRecords, table::RowId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The table of reports.
pub const REPORTS_TABLE: &str = "reports";

/// Time to send a report before it is late: two attempts at a slow platform.
const SEND_MARGIN: Duration = Duration::from_secs(2);
/// Delay from the end of a window to its report. By then the window's requests are
/// answered and their counts are written, with retries. A longer delay would leave less
/// time to wait for a store that is unavailable.
const COLLECTION_DELAY: Duration = Duration::from_millis(2_500);
/// Delay after the store is available again, in which processes write their pending counts.
const STORE_RECOVERY_DELAY: Duration = Duration::from_millis(1_200);
/// Reports that are later than this are not sent.
const MAX_REPORT_DELAY: Duration = Duration::from_mins(1);
/// How long reports and counts stay in the store, for inspection.
const RETENTION: Duration = Duration::from_mins(2);
/// The one key of all windows in [`OrderRecords`]: calls of two holders must not overlap, even
/// for different windows.
const ORDERS_KEY: &str = "usage";

/// The timing of reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportTiming {
    /// The windows to report.
    pub windows: Windows,
    /// How long after its end the report of a window is due.
    pub deadline: Duration,
    /// The least time between calls of two holders.
    pub call_gap: Duration,
}

/// A report in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredReport {
    /// The exact body to send.
    pub body: String,
    /// The process that last wrote the row before it sent the report.
    pub holder: String,
    /// The store's steady clock at that write, in milliseconds.
    #[serde(rename = "at")]
    pub written_at: u64,
    /// Whether the report was accepted or given up.
    #[serde(rename = "sent")]
    pub closed: bool,
}

/// Returns the row id of a window's report.
#[must_use]
pub fn report_row(window: Window) -> RowId {
    RowId::new(REPORTS_TABLE, "", &key_prefix(window))
}

/// The next action of a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Add up a window's counts and store the report.
    Make(Window),
    /// Send a stored report.
    Send(Window),
    /// Close a report that is too late to be sent.
    GiveUp(Window),
    /// Wait until this time of day.
    Wait(Duration),
}

/// The reports in the store, as known to the holder of the duty.
#[derive(Clone, Debug)]
pub struct Reports {
    timing: ReportTiming,
    stored: BTreeMap<Window, StoredReport>,
    /// The first window to report if no report is stored.
    first_window: Window,
}

impl Reports {
    /// Creates the state of a new holder without any stored report, at the time of day
    /// `now`.
    #[must_use]
    pub fn new(timing: ReportTiming, now: Duration) -> Self {
        Self {
            timing,
            stored: BTreeMap::new(),
            // Counts of this time may not be in the store yet.
            first_window: timing.windows.at(now.saturating_sub(COLLECTION_DELAY)),
        }
    }

    /// Adds a report that was read from the store, by the key of its row.
    pub fn load(&mut self, key: &str, kept: StoredReport) {
        if let Some(window) = parse_window(key) {
            self.stored.insert(window, kept);
        }
    }

    /// Reports from the window of the first count in the store on, given by the key of its
    /// row. Requests are counted before any process has held the duty.
    pub fn start_from(&mut self, key: &str) {
        self.first_window =
            parse_window(key).map_or(self.first_window, |window| window.min(self.first_window));
    }

    /// Records a report that this process has written, and removes those past retention.
    pub fn record(&mut self, window: Window, kept: StoredReport) {
        self.stored.insert(window, kept);
        let oldest = self.first_retained(window);
        self.stored.retain(|stored, _| *stored >= oldest);
    }

    /// Returns the report of a window.
    #[must_use]
    pub fn get(&self, window: Window) -> Option<&StoredReport> {
        self.stored.get(&window)
    }

    /// Returns the first window that is still retained when this one is reported.
    #[must_use]
    pub fn first_retained(&self, window: Window) -> Window {
        let end = self.timing.windows.end(window);
        self.timing.windows.at(end.saturating_sub(RETENTION))
    }

    /// Returns the time on the store's clock until which `holder` must not call, if another
    /// holder has written a report.
    ///
    /// A holder that was suspected to have failed, and lost the duty, may still run. Its
    /// calls must not interleave with those of its successor at the platform, so the
    /// successor waits until none of them can arrive any more.
    #[must_use]
    pub fn blocked_until(&self, holder: &str) -> Option<Duration> {
        let mut records = OrderRecords::new();
        let others = self
            .stored
            .values()
            .filter(|report| report.holder != holder);
        let last = others.max_by_key(|report| report.written_at)?;
        records.record(
            ORDERS_KEY,
            &last.holder,
            Duration::from_millis(last.written_at),
        );
        records.blocked_until(ORDERS_KEY, holder, self.timing.call_gap)
    }

    /// Returns the next action at the time of day `now`. `store_back` is when the store
    /// became available again after its last outage.
    #[must_use]
    pub fn next_step(&self, now: Duration, store_back: Option<Duration>) -> Step {
        let mut open = self.stored.iter().filter(|(_, report)| !report.closed);
        if let Some((window, _)) = open.next() {
            let delay = now.saturating_sub(self.timing.windows.end(*window));
            return if delay > MAX_REPORT_DELAY {
                Step::GiveUp(*window)
            } else {
                Step::Send(*window)
            };
        }
        let last = self.stored.last_key_value();
        let next = last.map_or(self.first_window, |(window, _)| window.next());
        // Skips windows that became too late while no process held the duty.
        let oldest = self.timing.windows.at(now.saturating_sub(MAX_REPORT_DELAY));
        let next = next.max(oldest);
        let due = self.due(next, store_back);
        if due <= now {
            Step::Make(next)
        } else {
            Step::Wait(due)
        }
    }

    /// Returns the time of day at which the report of a window is made.
    fn due(&self, window: Window, store_back: Option<Duration>) -> Duration {
        let end = self.timing.windows.end(window);
        let collected = end + COLLECTION_DELAY;
        let complete =
            store_back.map_or(collected, |back| collected.max(back + STORE_RECOVERY_DELAY));
        // Doesn't wait for counts that are written later: the report would be late.
        complete.min(end + self.timing.deadline.saturating_sub(SEND_MARGIN))
    }
}

impl StoredReport {
    /// Creates a report that `holder` is about to send, at the store's time `now`.
    #[must_use]
    pub fn new(body: String, holder: &str, now: Duration) -> Self {
        Self {
            body,
            holder: holder.to_owned(),
            written_at: millis(now),
            closed: false,
        }
    }
}
