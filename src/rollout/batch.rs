//! The state of one batch: the start order of its items and the listing of results.
//!
//! A step has more items than engines have slots, so the start order decides how long it
//! takes. Items of carried-over groups start first, because the trainer waits for them in
//! any case, then those that are expected to take longest.
//!
//! Results are listed in the order in which they were written to the store. Positions
//! are assigned only here, and only after the previous write is known to be done, so a
//! position never holds two results.

use crate::rollout::{
    Item, ItemResult, Outcome, Submission,
    shares::GroupDemand,
    start_order::{groups, start_order},
    text::{Piece, SavedText, Text},
    waits::{WaitReason, WaitTimes, WaitTracker},
};
use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

/// First delay before an interrupted item starts again: an engine that refused it needs a
/// moment, and another may have room.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before an interrupted item starts again. A step has only seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How a run of an item was interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interruption {
    /// The engine reported that the item did not run.
    NotRun,
    /// The connection or the stream failed.
    Lost,
    /// The owner cancelled the run because another engine is faster.
    Moved,
    /// The engine failed the run; the number of such failures is limited.
    Failed,
    /// The engine reported that the item can never run.
    Never,
}

/// Items count as stragglers when at most one in this many is left. A trainer goes on without
/// one group in ten as a rule, and one or two of a group's items are long.
const STRAGGLER_DIVISOR: usize = 4;

#[derive(Debug)]
enum Phase {
    Waiting { after: Instant },
    Running,
    Scoring,
    Ready(Outcome),
    Listed,
}

#[derive(Debug)]
struct ItemState {
    phase: Phase,
    text: Text,
    /// Number of times the text was restarted.
    round: u32,
    /// Number of runs that the engine failed.
    failures: u32,
    /// Number of failed scorer calls.
    scorer_failures: u32,
    /// Number of interruptions in a row, for the retry delay.
    interruptions: u32,
    /// Number of moves in a row without a new event.
    moves: u32,
    /// Whether the trainer may go on without its group and ask for it again.
    is_optional: bool,
    /// When the present wait began, and the wait times of the batch at that instant.
    wait_start: (Instant, WaitTimes),
}

/// The item of a batch that has waited longest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LongestWait {
    /// The index of the item.
    pub item: usize,
    /// Since when it has waited.
    pub since: Instant,
}

/// The state of one batch at its owner.
#[derive(Debug)]
pub struct Batch {
    items: Vec<ItemState>,
    /// Positions in `items` by item ID.
    index: HashMap<String, usize>,
    /// Items in the order in which they start.
    start_order: Vec<usize>,
    /// The position of the group of each item.
    groups: Vec<usize>,
    group_count: usize,
    /// Number of groups that are carried over from an earlier step; they come first.
    carried_groups: usize,
    waits: WaitTracker,
    listed: usize,
    max_attempts: u32,
    min_version: u64,
    single_version: bool,
}

impl Batch {
    /// Creates the state of a batch of which nothing has run.
    ///
    /// `max_attempts` limits the failures of an item or its scorer. With `single_version`,
    /// one weight version must generate all of a text. The first `carried_groups` groups
    /// are carried over from an earlier step.
    #[must_use]
    pub fn new(
        now: Instant,
        submission: &Submission,
        max_attempts: u32,
        single_version: bool,
        carried_groups: usize,
    ) -> Self {
        let items = &submission.items;
        let groups = groups(submission);
        let target = submission.target.unwrap_or(groups.len());
        let new_item = |item: &Item| ItemState {
            phase: Phase::Waiting { after: now },
            text: Text::default(),
            round: 0,
            failures: 0,
            scorer_failures: 0,
            interruptions: 0,
            moves: 0,
            wait_start: (now, WaitTimes::default()),
            is_optional: target < groups.len()
                && groups[item.group.as_str()].position >= carried_groups,
        };
        let index = items
            .iter()
            .enumerate()
            .map(|(idx, item)| (item.id.clone(), idx));
        Self {
            items: items.iter().map(new_item).collect(),
            index: index.collect(),
            start_order: start_order(submission, &groups, carried_groups),
            groups: items
                .iter()
                .map(|item| groups[item.group.as_str()].position)
                .collect(),
            group_count: groups.len(),
            carried_groups,
            waits: WaitTracker::default(),
            listed: 0,
            max_attempts: max_attempts.max(1),
            min_version: submission.min_version,
            single_version,
        }
    }

    /// Records a result that an earlier owner has listed.
    pub fn restore_result(&mut self, id: &str) {
        self.listed += 1;
        if let Some(idx) = self.index.get(id) {
            self.items[*idx].phase = Phase::Listed;
        }
    }

    /// Returns whether an item's result is listed.
    #[must_use]
    pub fn is_listed(&self, idx: usize) -> bool {
        matches!(self.items[idx].phase, Phase::Listed)
    }

    /// Returns how many results are listed.
    #[must_use]
    pub const fn listed_count(&self) -> usize {
        self.listed
    }

    /// Returns whether the results of all items are listed.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.listed >= self.items.len()
    }

    /// Returns the item that starts next, if one may start now.
    ///
    /// Items that already have text go first, the longest texts before the others. Behind
    /// the items that have not begun, an interrupted item would wait for as long as these
    /// fill all engines, and end the step late.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<usize> {
        self.next_start_where(now, |_| true)
    }

    /// Returns the item that starts next among those for which `is_allowed` is true.
    pub fn next_start_where(
        &self,
        now: Instant,
        is_allowed: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let is_due = |idx: &usize| match self.items[*idx].phase {
            Phase::Waiting { after } => after <= now && is_allowed(*idx),
            _ => false,
        };
        let has_text = |idx: &usize| self.items[*idx].text.last_event().is_some();
        let waiting = self.start_order.iter().copied().filter(is_due);
        waiting
            .clone()
            .filter(has_text)
            .max_by_key(|idx| self.items[*idx].text.last_event())
            .or_else(|| waiting.into_iter().next())
    }

    /// Returns when the next retry delay ends, if an item has one.
    #[must_use]
    pub fn next_retry(&self, now: Instant) -> Option<Instant> {
        let ends = self.items.iter().filter_map(|item| match item.phase {
            Phase::Waiting { after } if after > now => Some(after),
            _ => None,
        });
        ends.min()
    }

    /// Returns how many items wait for an engine.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        let is_waiting = |item: &&ItemState| matches!(item.phase, Phase::Waiting { .. });
        self.items.iter().filter(is_waiting).count()
    }

    /// Returns the item that has waited longest for an engine, if one waits.
    #[must_use]
    pub fn longest_wait(&self) -> Option<LongestWait> {
        let items = self.items.iter().enumerate();
        let waiting = items.filter(|(_, state)| matches!(state.phase, Phase::Waiting { .. }));
        let waits = waiting.map(|(item, state)| LongestWait {
            item,
            since: state.wait_start.0,
        });
        waits.min_by_key(|wait| wait.since)
    }

    /// Returns the number of complete groups, and what the others still need.
    ///
    /// `remaining` returns the expected remaining time of an item whose text has the given
    /// last event. An errored item counts as done, because it can't become better.
    #[must_use]
    pub fn group_demands(
        &self,
        remaining: impl Fn(usize, Option<u64>) -> Duration,
    ) -> (usize, Vec<GroupDemand>) {
        let mut open = vec![None; self.group_count];
        for (idx, item) in self.items.iter().enumerate() {
            let (waiting, running) = match item.phase {
                Phase::Waiting { .. } => (1, 0),
                Phase::Running => (0, 1),
                Phase::Scoring => (0, 0),
                Phase::Ready(_) | Phase::Listed => continue,
            };
            let position = self.groups[idx];
            let group = open[position].get_or_insert(GroupDemand {
                is_carried: position < self.carried_groups,
                waiting: 0,
                running: 0,
                remaining: Duration::ZERO,
            });
            group.waiting += waiting;
            group.running += running;
            if waiting + running > 0 {
                let expected = remaining(idx, item.text.last_event());
                group.remaining = group.remaining.max(expected);
            }
        }
        let open: Vec<GroupDemand> = open.into_iter().flatten().collect();
        (self.group_count - open.len(), open)
    }

    /// Restores the longest usable text of an item that earlier owners saved. `texts` are those
    /// of the last round, the longest first.
    pub fn restore_text(&mut self, id: &str, texts: Vec<SavedText>) {
        let Some(idx) = self.index.get(id).copied() else {
            return;
        };
        let Some(round) = texts.first().map(|saved| saved.round) else {
            return;
        };
        let is_usable = |text: &Text| text.is_usable(self.min_version, self.single_version);
        let usable = texts.into_iter().find(|saved| is_usable(&saved.text));
        let item = &mut self.items[idx];
        match usable {
            Some(saved) => {
                item.round = round;
                item.text = saved.text;
            }
            None => item.round = round + 1,
        }
    }

    /// Starts an item with its text from an earlier batch, if the weight versions are
    /// allowed and the text is longer than the present one; returns whether it was used.
    pub fn carry_over(&mut self, id: &str, mut text: Text) -> bool {
        let Some(idx) = self.index.get(id).copied() else {
            return false;
        };
        let item = &mut self.items[idx];
        let is_waiting = matches!(item.phase, Phase::Waiting { .. });
        let is_longer = text.last_event() > item.text.last_event();
        if !is_waiting || !is_longer || !text.is_usable(self.min_version, self.single_version) {
            return false;
        }
        text.clear_saved();
        item.text = text;
        true
    }

    /// Returns the items that are still unfinished when nearly all others are done, whose
    /// groups are optional, and whose texts are too old for a batch with this minimum
    /// version; those with the longest text first.
    #[must_use]
    pub fn stragglers(&self, min_version: u64) -> Vec<usize> {
        let is_unfinished =
            |item: &ItemState| matches!(item.phase, Phase::Running | Phase::Waiting { .. });
        let count = self.items.iter().filter(|item| is_unfinished(item)).count();
        if self.waiting_count() > 0 || count * STRAGGLER_DIVISOR > self.items.len() {
            return Vec::new();
        }
        let items = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| is_unfinished(item));
        let mut found: Vec<usize> = items
            .filter(|(_, item)| {
                item.is_optional && !item.text.is_usable(min_version, self.single_version)
            })
            .map(|(idx, _)| idx)
            .collect();
        found.sort_by_key(|idx| Reverse(self.items[*idx].text.last_event()));
        found
    }

    /// Records what the next item waits for from now on, if it waits.
    pub fn record_wait(&mut self, now: Instant, reason: Option<WaitReason>) {
        self.waits.record(now, reason);
    }

    /// Returns how long an item has waited since this owner got the batch or the item was
    /// interrupted, and the known reasons with their shares of that time.
    #[must_use]
    pub fn wait_times(&self, now: Instant, idx: usize) -> (Duration, WaitTimes) {
        let (since, before) = self.items[idx].wait_start;
        let elapsed = now.saturating_duration_since(since);
        (elapsed, self.waits.total(now).since(before))
    }

    /// Records that an item was sent to an engine, and returns the last event of its text.
    pub fn start(&mut self, idx: usize) -> Option<u64> {
        let item = &mut self.items[idx];
        item.phase = Phase::Running;
        item.text.last_event()
    }

    /// Appends an event that `version` generated to an item's text; returns `false` if it
    /// doesn't follow the last one.
    pub fn append_event(
        &mut self,
        idx: usize,
        number: u64,
        data: &str,
        version: Option<u64>,
    ) -> bool {
        self.items[idx].text.append_event(number, data, version)
    }

    /// Returns the last event of an item's text.
    #[must_use]
    pub fn last_event(&self, idx: usize) -> Option<u64> {
        self.items[idx].text.last_event()
    }

    /// Returns at most `limit` pieces of unfinished texts that are not saved yet, those of
    /// the longest texts first.
    #[must_use]
    pub fn unsaved_pieces(&self, limit: usize) -> Vec<(usize, Piece)> {
        let is_unfinished = |item: &ItemState| {
            let phase = &item.phase;
            !matches!(phase, Phase::Ready(_) | Phase::Listed)
        };
        let items = self
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| is_unfinished(item));
        let mut found: Vec<(usize, Piece)> = items
            .filter_map(|(idx, item)| Some((idx, item.text.unsaved_piece(item.round)?)))
            .collect();
        found.sort_by_key(|(idx, _)| Reverse(self.items[*idx].text.last_event()));
        found.truncate(limit);
        found
    }

    /// Records that a piece of a text is saved.
    pub fn mark_saved(&mut self, idx: usize, piece: &Piece) {
        let item = &mut self.items[idx];
        if item.round == piece.round {
            item.text.mark_saved(piece);
        }
    }

    /// Discards an item's text, because no engine can continue it.
    pub fn discard_text(&mut self, idx: usize) {
        let item = &mut self.items[idx];
        item.text = Text::default();
        item.round += 1;
    }

    /// Returns how often an item was moved in a row without a new event.
    #[must_use]
    pub fn fruitless_moves(&self, idx: usize) -> u32 {
        self.items[idx].moves
    }

    /// Returns the only weight version that may continue an item's text, if one
    /// version must generate all of it.
    #[must_use]
    pub fn required_version(&self, idx: usize) -> Option<u64> {
        let last = self.items[idx].text.versions().last().copied();
        last.filter(|_| self.single_version)
    }

    /// Records that a run was interrupted, unless its item was given up; `before` is the last
    /// event before the run.
    pub fn record_interruption(
        &mut self,
        now: Instant,
        idx: usize,
        before: Option<u64>,
        cause: Interruption,
    ) {
        if !self.is_running(idx) {
            return;
        }
        if !self.has_usable_text(idx) {
            self.discard_text(idx);
        }
        let wait_start = (now, self.waits.total(now));
        let item = &mut self.items[idx];
        item.wait_start = wait_start;
        let has_grown = item.text.last_event() > before;
        item.interruptions = if has_grown { 1 } else { item.interruptions + 1 };
        if has_grown {
            item.moves = 0;
        } else if cause == Interruption::Moved {
            item.moves += 1;
        }
        match cause {
            Interruption::Never => {
                item.phase = Phase::Ready(Outcome::Errored);
                return;
            }
            Interruption::Failed => item.failures += 1,
            Interruption::Moved => {
                item.phase = Phase::Waiting { after: now };
                return;
            }
            Interruption::NotRun | Interruption::Lost => {}
        }
        if item.failures >= self.max_attempts {
            item.phase = Phase::Ready(Outcome::Errored);
            return;
        }
        let factor = 1 << item.interruptions.saturating_sub(1).min(6);
        let delay = (MIN_RETRY_DELAY * factor).min(MAX_RETRY_DELAY);
        item.phase = Phase::Waiting { after: now + delay };
    }

    /// Lets an item run again whose run or scoring ended without an outcome.
    pub fn restart(&mut self, now: Instant, idx: usize) {
        let item = &mut self.items[idx];
        if matches!(item.phase, Phase::Running | Phase::Scoring) {
            item.phase = Phase::Waiting {
                after: now + MAX_RETRY_DELAY,
            };
        }
    }

    /// Records that an item's text is complete; returns `false` if the item has to run
    /// again because the weight versions of its text are not allowed, or was given up.
    pub fn complete_text(&mut self, now: Instant, idx: usize) -> bool {
        if !self.is_running(idx) {
            return false;
        }
        if !self.has_usable_text(idx) {
            self.record_interruption(now, idx, None, Interruption::Lost);
            return false;
        }
        self.items[idx].phase = Phase::Scoring;
        true
    }

    /// Records the scorer's signature, or that the item needs none, unless it was given up.
    pub fn complete_scoring(&mut self, idx: usize, score: Option<String>) {
        let item = &mut self.items[idx];
        if !matches!(item.phase, Phase::Scoring) {
            return;
        }
        let (text, versions) = std::mem::take(&mut item.text).into_parts();
        item.phase = Phase::Ready(Outcome::Completed {
            text,
            versions,
            score,
        });
    }

    /// Records that a scorer call failed; returns `true` if it was the last attempt.
    pub fn record_scorer_failure(&mut self, idx: usize, max_attempts: u32) -> bool {
        let item = &mut self.items[idx];
        item.scorer_failures += 1;
        let is_final = item.scorer_failures >= max_attempts.max(self.max_attempts);
        if is_final && matches!(item.phase, Phase::Scoring) {
            item.phase = Phase::Ready(Outcome::Errored);
        }
        is_final
    }

    /// Ends all unfinished items as errored.
    pub fn give_up(&mut self) {
        for item in &mut self.items {
            if !matches!(item.phase, Phase::Ready(_) | Phase::Listed) {
                item.phase = Phase::Ready(Outcome::Errored);
            }
        }
    }

    /// Returns at most `limit` results that can be listed next.
    #[must_use]
    pub fn ready_results(&self, submission: &Submission, limit: usize) -> Vec<(usize, ItemResult)> {
        let ready = self.items.iter().enumerate().filter_map(|(idx, state)| {
            let Phase::Ready(outcome) = &state.phase else {
                return None;
            };
            let item = submission.items[idx].id.clone();
            let outcome = outcome.clone();
            Some((idx, ItemResult { item, outcome }))
        });
        ready.take(limit).collect()
    }

    /// Records that the results of these items are listed.
    pub fn mark_listed(&mut self, items: impl IntoIterator<Item = usize>) {
        for idx in items {
            self.items[idx].phase = Phase::Listed;
            self.listed += 1;
        }
    }

    /// Returns whether an item was sent to an engine and has not been given up since.
    fn is_running(&self, idx: usize) -> bool {
        matches!(self.items[idx].phase, Phase::Running)
    }

    fn has_usable_text(&self, idx: usize) -> bool {
        self.items[idx]
            .text
            .is_usable(self.min_version, self.single_version)
    }
}
