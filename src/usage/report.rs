//! Reports of windows: when each is due, and that all who send it send the same.

use super::{
    Window, Windows,
    tally::{named, prefix},
};
use crate::{clock::millis, rollout::turns::Turns, table::RowId};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The table of reports.
pub const REPORTS: &str = "reports";

/// Time that a report has for its way: two tries at a slow platform.
const SPARE: Duration = Duration::from_secs(2);
/// A report is made so long after its window's end. Requests that began in the window
/// are answered by then, and counts are kept, with a write or two that has to be
/// repeated. Not later: while the store is away for some seconds no report can be made.
const GATHERED: Duration = Duration::from_millis(2_500);
/// After the store was away all processes keep their counts of that time first.
const SETTLED: Duration = Duration::from_millis(1_200);
/// Reports that are later than this are of no use to anybody.
const GIVEN_UP: Duration = Duration::from_mins(1);
/// How long reports and counts are kept, for whoever looks into a window.
const KEPT: Duration = Duration::from_mins(2);
/// What the turns of all windows stand under: two holders must be apart whichever
/// windows they report.
const SUBJECT: &str = "usage";

/// When reports are made and sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// The windows.
    pub windows: Windows,
    /// How long after its end the report of a window is due.
    pub late: Duration,
    /// By how much calls of two holders must be apart.
    pub apart: Duration,
}

/// A report as it is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Kept {
    /// What is sent, to the letter.
    pub body: String,
    /// Who last wrote it down to send it.
    pub holder: String,
    /// The store's steady clock then, in milliseconds.
    pub at: u64,
    /// Whether it was accepted, or given up.
    pub sent: bool,
}

/// Names the row of a window's report.
#[must_use]
pub fn report(window: Window) -> RowId {
    RowId::new(REPORTS, "", &prefix(window))
}

/// What a holder does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Add up a window's counts and keep the report.
    Make(Window),
    /// Send a report that is kept.
    Send(Window),
    /// Note that a report is too late to be of use.
    GiveUp(Window),
    /// Do nothing until this time of day.
    Wait(Duration),
}

/// All reports, as the holder of the duty knows them.
#[derive(Clone, Debug)]
pub struct Reports {
    terms: Terms,
    kept: BTreeMap<Window, Kept>,
    /// The first window to report if none was.
    first: Window,
}

impl Reports {
    /// Creates the view of a holder that has read no report, at the time of day `now`.
    #[must_use]
    pub fn new(terms: Terms, now: Duration) -> Self {
        Self {
            terms,
            kept: BTreeMap::new(),
            // What was counted just before may not be kept yet.
            first: terms.windows.at(now.saturating_sub(GATHERED)),
        }
    }

    /// Takes in a report that the store has.
    pub fn read(&mut self, key: &str, kept: Kept) {
        if let Some(window) = named(key) {
            self.kept.insert(window, kept);
        }
    }

    /// Takes in the key of the first count that the store has: before anybody holds the
    /// duty for the first time requests are counted already.
    pub fn begin_with(&mut self, key: &str) {
        self.first = named(key).map_or(self.first, |window| window.min(self.first));
    }

    /// Notes a report that this process has kept.
    pub fn note(&mut self, window: Window, kept: Kept) {
        self.kept.insert(window, kept);
        let oldest = self.outlived(window);
        self.kept.retain(|known, _| *known >= oldest);
    }

    /// Returns the report of a window.
    #[must_use]
    pub fn get(&self, window: Window) -> Option<&Kept> {
        self.kept.get(&window)
    }

    /// Returns the first window whose rows are still kept when this one is reported.
    #[must_use]
    pub fn outlived(&self, window: Window) -> Window {
        let end = self.terms.windows.end(window);
        self.terms.windows.at(end.saturating_sub(KEPT))
    }

    /// Returns from when on `holder` may call, by the store's clock, if it must wait.
    ///
    /// Whoever takes the duty over from one that is only suspected to be gone may be
    /// wrong. Calls of both that mix are orders of two holders to the platform, so the
    /// later one waits until nothing of the former can come any more.
    #[must_use]
    pub fn barred(&self, holder: &str) -> Option<Duration> {
        let mut turns = Turns::new();
        let others = self.kept.values().filter(|kept| kept.holder != holder);
        let last = others.max_by_key(|kept| kept.at)?;
        turns.note(SUBJECT, &last.holder, Duration::from_millis(last.at));
        turns.barred(SUBJECT, holder, self.terms.apart)
    }

    /// Decides what to do at the time of day `now`, if the store was away until `back`.
    #[must_use]
    pub fn next(&self, now: Duration, back: Option<Duration>) -> Step {
        let mut open = self.kept.iter().filter(|(_, kept)| !kept.sent);
        if let Some((window, _)) = open.next() {
            let late = now.saturating_sub(self.terms.windows.end(*window));
            return if late > GIVEN_UP {
                Step::GiveUp(*window)
            } else {
                Step::Send(*window)
            };
        }
        let last = self.kept.last_key_value();
        let next = last.map_or(self.first, |(window, _)| window.next());
        // Nobody had the duty for long: what is too late anyway is passed over.
        let oldest = self.terms.windows.at(now.saturating_sub(GIVEN_UP));
        let next = next.max(oldest);
        let due = self.due(next, back);
        if due <= now {
            Step::Make(next)
        } else {
            Step::Wait(due)
        }
    }

    /// Returns when the report of a window is made.
    fn due(&self, window: Window, back: Option<Duration>) -> Duration {
        let end = self.terms.windows.end(window);
        let gathered = end + GATHERED;
        let settled = back.map_or(gathered, |back| gathered.max(back + SETTLED));
        // What comes after that comes too late.
        settled.min(end + self.terms.late.saturating_sub(SPARE))
    }
}

impl Kept {
    /// Describes a report that `holder` is about to send at the store's time `now`.
    #[must_use]
    pub fn new(body: String, holder: &str, now: Duration) -> Self {
        Self {
            body,
            holder: holder.to_owned(),
            at: millis(now),
            sent: false,
        }
    }
}
