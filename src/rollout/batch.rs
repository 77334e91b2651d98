//! One batch: which item starts next, and what is listed in which order.
//!
//! Load: a step of a hundred items before seventy slots, of which the trainer
//! waits for nine groups in ten. Harm: started in any order, every group waits
//! for its last item, and the trainer for nearly all groups. So the items start
//! first that were carried over from an earlier step, which the trainer waits for
//! in any case, and then those that are expected to take longest, since a step
//! lasts at least as long as the last of them.
//!
//! Results are listed in the order in which they were written to the store.
//! Positions are handed out only here and only after the write before is known
//! to be done, so a position never holds two results.

use crate::rollout::{
    Item, ItemResult, Outcome, Submission,
    order::{groups, start_order},
    text::{Piece, Text},
    waits::{Lack, Waited, Waits},
};
use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

/// First pause before an item that broke off starts again: an engine that
/// refused it needs a moment, and another may have room at once.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
/// Longest pause: an item has seconds, and engines come back within them.
const PAUSE_MOST: Duration = Duration::from_millis(500);

/// How a generation broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Break {
    /// The engine said that it did not run.
    NotRun,
    /// The connection or the stream failed.
    Lost,
    /// It was cut here, because another engine is faster.
    Moved,
    /// The engine failed the run by itself; so many may be tried.
    Failed,
    /// The engine said that it can never be done.
    Never,
}

/// Items count as stragglers when at most one in so many is left: the trainer
/// goes on without one group in ten as a rule, and a group has several items of
/// which one or two are long.
const FEW: usize = 4;

#[derive(Debug)]
enum Phase {
    Waiting {
        after: Instant,
    },
    /// It must not run before then.
    Held {
        until: Instant,
    },
    Running,
    Scoring,
    Ready(Outcome),
    Listed,
}

#[derive(Debug)]
struct Row {
    phase: Phase,
    text: Text,
    /// How often the text began anew.
    round: u32,
    /// Runs that the engine failed by itself.
    failures: u32,
    /// Scorer calls that failed by themselves.
    rejected: u32,
    /// Breaks in a row, for the pause.
    breaks: u32,
    /// Its trainer may go on without its group, and ask for it again.
    spare: bool,
    /// Since when it waits, and what the batch had waited for by then.
    mark: (Instant, Waited),
}

/// One batch in the hands of its owner.
#[derive(Debug)]
pub struct Batch {
    rows: Vec<Row>,
    index: HashMap<String, usize>,
    /// Items in the order in which they start.
    order: Vec<usize>,
    waits: Waits,
    listed: usize,
    attempts: u32,
    floor: u64,
    single: bool,
}

impl Batch {
    /// Creates the state of a batch of which nothing has run.
    ///
    /// `attempts` is how often an item or its scorer may fail; with `single`
    /// all of a text has to come from one weight version; so many groups at the
    /// beginning are carried over from an earlier step.
    #[must_use]
    pub fn new(
        now: Instant,
        submission: &Submission,
        attempts: u32,
        single: bool,
        carried: usize,
    ) -> Self {
        let items = &submission.items;
        let groups = groups(submission);
        let target = submission.target.unwrap_or(groups.len());
        let row = |item: &Item| Row {
            phase: Phase::Waiting { after: now },
            text: Text::default(),
            round: 0,
            failures: 0,
            rejected: 0,
            breaks: 0,
            mark: (now, Waited::default()),
            spare: target < groups.len() && groups[item.group.as_str()].place >= carried,
        };
        let index = items.iter().enumerate().map(|(n, i)| (i.id.clone(), n));
        Self {
            rows: items.iter().map(row).collect(),
            index: index.collect(),
            order: start_order(submission, &groups, carried),
            waits: Waits::default(),
            listed: 0,
            attempts: attempts.max(1),
            floor: submission.floor,
            single,
        }
    }

    /// Notes a result that was listed by an earlier owner.
    pub fn restore(&mut self, item: &str) {
        self.listed += 1;
        if let Some(n) = self.index.get(item) {
            self.rows[*n].phase = Phase::Listed;
        }
    }

    /// Says whether an item's result is listed.
    #[must_use]
    pub fn is_listed(&self, n: usize) -> bool {
        matches!(self.rows[n].phase, Phase::Listed)
    }

    /// Returns how many results are listed.
    #[must_use]
    pub const fn listed(&self) -> usize {
        self.listed
    }

    /// Says whether every item is listed.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.listed >= self.rows.len()
    }

    /// Returns the item that starts next, if one may start now: first those whose texts
    /// have begun, the longest before the others.
    ///
    /// A text that was moved or lost its engine has had its place already. Behind the
    /// items that have not begun it would wait for as long as these fill all engines,
    /// 0.7 s where two steps came at once, and the step ends that much later.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<usize> {
        let due = |n: &usize| match self.rows[*n].phase {
            Phase::Waiting { after } => after <= now,
            Phase::Held { until } => until <= now,
            _ => false,
        };
        let begun = |n: &usize| self.rows[*n].text.last().is_some();
        let waiting = self.order.iter().copied().filter(due);
        waiting
            .clone()
            .filter(begun)
            .max_by_key(|n| self.rows[*n].text.last())
            .or_else(|| waiting.into_iter().next())
    }

    /// Says when an item that pauses may start, if one does.
    #[must_use]
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let pauses = self.rows.iter().filter_map(|row| match row.phase {
            Phase::Waiting { after } if after > now => Some(after),
            _ => None,
        });
        pauses.min()
    }

    /// Has an item that waits not start before an instant.
    pub fn hold(&mut self, n: usize, until: Instant) {
        let row = &mut self.rows[n];
        if matches!(row.phase, Phase::Waiting { .. } | Phase::Held { .. }) {
            row.phase = Phase::Held { until };
        }
    }

    /// Says whether an item is held.
    #[must_use]
    pub fn holds_any(&self) -> bool {
        let held = |row: &Row| matches!(row.phase, Phase::Held { .. });
        self.rows.iter().any(held)
    }

    /// Returns how many items wait for an engine.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let waits = |row: &&Row| matches!(row.phase, Phase::Waiting { .. });
        self.rows.iter().filter(waits).count()
    }

    /// Takes in a part of a text that an earlier owner kept; parts come in the
    /// order in which they were kept.
    pub fn resume(&mut self, item: &str, piece: Piece) {
        let Some(n) = self.index.get(item).copied() else {
            return;
        };
        let row = &mut self.rows[n];
        if piece.round > row.round {
            row.round = piece.round;
            row.text = Text::default();
        }
        if piece.round < row.round || !row.text.add(piece) {
            return;
        }
        if !self.fits(n) {
            self.restart(n);
        }
    }

    /// Begins an item with a text of an earlier batch, if its versions do and it is
    /// the longest there is; returns whether it was taken.
    pub fn carry(&mut self, item: &str, mut text: Text) -> bool {
        let Some(n) = self.index.get(item).copied() else {
            return false;
        };
        let row = &mut self.rows[n];
        let waits = matches!(row.phase, Phase::Waiting { .. });
        let longer = text.last() > row.text.last();
        if !waits || !longer || !text.fits(self.floor, self.single) {
            return false;
        }
        text.unkeep();
        row.text = text;
        true
    }

    /// Returns the items that are still under way when nearly all others are done,
    /// that the trainer may go on without, and whose texts a batch with this floor
    /// could not use; the longest first.
    #[must_use]
    pub fn stragglers(&self, floor: u64) -> Vec<usize> {
        let open = |row: &Row| matches!(row.phase, Phase::Running | Phase::Waiting { .. });
        let count = self.rows.iter().filter(|row| open(row)).count();
        if self.waiting() > 0 || count * FEW > self.rows.len() {
            return Vec::new();
        }
        let rows = self.rows.iter().enumerate().filter(|(_, row)| open(row));
        let mut found: Vec<usize> = rows
            .filter(|(_, row)| row.spare && !row.text.fits(floor, self.single))
            .map(|(n, _)| n)
            .collect();
        found.sort_by_key(|n| Reverse(self.rows[*n].text.last()));
        found
    }

    /// Notes what the next item lacks now, if it lacks something.
    pub fn lacks(&mut self, now: Instant, lack: Option<Lack>) {
        self.waits.note(now, lack);
    }

    /// Returns for how long an item has waited since it was last known to wait,
    /// and of that for what.
    #[must_use]
    pub fn waited(&self, now: Instant, n: usize) -> (Duration, Waited) {
        let (since, before) = self.rows[n].mark;
        let all = now.saturating_duration_since(since);
        (all, self.waits.sum(now).since(before))
    }

    /// Notes that an item was sent to an engine, and returns the last event of
    /// its text.
    pub fn start(&mut self, n: usize) -> Option<u64> {
        let row = &mut self.rows[n];
        row.phase = Phase::Running;
        row.text.last()
    }

    /// Adds an event that a version made; `false` if it doesn't follow the last.
    pub fn extend(&mut self, n: usize, number: u64, data: &str, version: Option<u64>) -> bool {
        self.rows[n].text.extend(number, data, version)
    }

    /// Returns the last event of an item's text.
    #[must_use]
    pub fn last(&self, n: usize) -> Option<u64> {
        self.rows[n].text.last()
    }

    /// Returns what of running items' texts isn't kept yet, the longest first,
    /// at most `most` parts.
    #[must_use]
    pub fn unkept(&self, most: usize) -> Vec<(usize, Piece)> {
        let open = |row: &Row| {
            let phase = &row.phase;
            !matches!(phase, Phase::Ready(_) | Phase::Listed)
        };
        let rows = self.rows.iter().enumerate().filter(|(_, row)| open(row));
        let mut found: Vec<(usize, Piece)> = rows
            .filter_map(|(n, row)| Some((n, row.text.unkept(row.round)?)))
            .collect();
        found.sort_by_key(|(n, _)| Reverse(self.rows[*n].text.last()));
        found.truncate(most);
        found
    }

    /// Notes that a part of a text is kept.
    pub fn keep(&mut self, n: usize, piece: &Piece) {
        let row = &mut self.rows[n];
        if row.round == piece.round {
            row.text.keep(piece);
        }
    }

    /// Drops what there is of an item's text, because no engine can go on.
    pub fn restart(&mut self, n: usize) {
        let row = &mut self.rows[n];
        row.text = Text::default();
        row.round += 1;
    }

    /// Returns the version that has to go on with an item, if only one may.
    #[must_use]
    pub fn pinned(&self, n: usize) -> Option<u64> {
        let last = self.rows[n].text.versions().last().copied();
        last.filter(|_| self.single)
    }

    /// Notes that a run broke off; `before` is the last event that it began with.
    pub fn broke(&mut self, now: Instant, n: usize, before: Option<u64>, cause: Break) {
        if !self.fits(n) {
            self.restart(n);
        }
        let mark = (now, self.waits.sum(now));
        let row = &mut self.rows[n];
        row.mark = mark;
        let grown = row.text.last() > before;
        row.breaks = if grown { 1 } else { row.breaks + 1 };
        match cause {
            Break::Never => {
                row.phase = Phase::Ready(Outcome::Errored);
                return;
            }
            Break::Failed => row.failures += 1,
            Break::Moved => {
                row.phase = Phase::Waiting { after: now };
                return;
            }
            Break::NotRun | Break::Lost => {}
        }
        if row.failures >= self.attempts {
            row.phase = Phase::Ready(Outcome::Errored);
            return;
        }
        let factor = 1 << row.breaks.saturating_sub(1).min(6);
        let pause = (PAUSE_FIRST * factor).min(PAUSE_MOST);
        row.phase = Phase::Waiting { after: now + pause };
    }

    /// Notes that an item's text is whole; `false` if it has to run again
    /// because its versions don't do.
    pub fn generated(&mut self, now: Instant, n: usize) -> bool {
        if !self.fits(n) {
            self.broke(now, n, None, Break::Lost);
            return false;
        }
        self.rows[n].phase = Phase::Scoring;
        true
    }

    /// Notes the scorer's signature, or that none is needed.
    pub fn scored(&mut self, n: usize, score: Option<String>) {
        let row = &mut self.rows[n];
        let (text, versions) = std::mem::take(&mut row.text).into_parts();
        row.phase = Phase::Ready(Outcome::Completed {
            text,
            versions,
            score,
        });
    }

    /// Notes that a scorer call failed by itself; `true` if it was the last.
    pub fn rejected(&mut self, n: usize, attempts: u32) -> bool {
        let row = &mut self.rows[n];
        row.rejected += 1;
        let over = row.rejected >= attempts.max(self.attempts);
        if over {
            row.phase = Phase::Ready(Outcome::Errored);
        }
        over
    }

    /// Gives up what is not done: its time is over.
    pub fn give_up(&mut self) {
        for row in &mut self.rows {
            if !matches!(row.phase, Phase::Ready(_) | Phase::Listed) {
                row.phase = Phase::Ready(Outcome::Errored);
            }
        }
    }

    /// Returns results that can be listed next, at most `most` of them.
    #[must_use]
    pub fn ready(&self, submission: &Submission, most: usize) -> Vec<(usize, ItemResult)> {
        let ready = self.rows.iter().enumerate().filter_map(|(n, row)| {
            let Phase::Ready(outcome) = &row.phase else {
                return None;
            };
            let item = submission.items[n].id.clone();
            let outcome = outcome.clone();
            Some((n, ItemResult { item, outcome }))
        });
        ready.take(most).collect()
    }

    /// Notes that results were listed, in this order.
    pub fn list(&mut self, items: impl IntoIterator<Item = usize>) {
        for n in items {
            self.rows[n].phase = Phase::Listed;
            self.listed += 1;
        }
    }

    fn fits(&self, n: usize) -> bool {
        self.rows[n].text.fits(self.floor, self.single)
    }
}
