//! Delivery: batches are assembled once, recorded and then returned to the trainer.

use crate::{
    error::ErrorKind,
    train::{
        GenerationKey, RETAINED_BATCHES,
        event::{Action, Answer, Ticket},
        journal::Change,
        row::{Batch, Record, Slot},
        run::{Group, Pull, Run},
        sample::Phase,
    },
};
use std::{mem, time::Instant};

impl Run {
    /// Assembles the next batch, once the step before is done and enough groups are
    /// complete.
    ///
    /// The trainer's version may rise until that step is done, so a batch that was
    /// assembled earlier could exceed the staleness bound when it is delivered.
    pub(crate) fn assemble_batch(&mut self) {
        let head = self.head();
        let (cursor, version) = (head.next_cursor, head.version);
        let batch_pending = self
            .journal
            .has(|change| matches!(change, Change::AddBatch(_)));
        if head.done_steps != cursor || batch_pending || self.must_wait() {
            return;
        }
        let count = usize::try_from(self.spec.step_groups).unwrap_or(usize::MAX);
        let min_version = self.min_version();
        let is_fresh = |group: &Group| {
            self.oldest_version(group)
                .is_none_or(|oldest| oldest >= min_version)
        };
        let complete = self
            .groups
            .values()
            .filter(|g| g.is_complete() && is_fresh(g));
        let chosen: Vec<&Group> = complete.take(count).collect();
        if chosen.len() < count {
            return;
        }
        let samples = chosen.into_iter().flat_map(|group| &group.samples);
        let records = samples.filter_map(|sample| match &sample.phase {
            Phase::Recorded(record) => Some(record.clone()),
            _ => None,
        });
        let batch = Batch {
            cursor,
            version,
            records: records.collect(),
        };
        self.journal.add(Change::AddBatch(batch));
    }

    /// Returns whether a group that is due can't be carried over to a later batch.
    ///
    /// It would exceed the staleness bound and be dropped. Since this happens to long
    /// samples, training would see too few of them.
    fn must_wait(&self) -> bool {
        if !self.pace.may_change_version() {
            return false;
        }
        let (bound, version) = (self.spec.max_staleness, self.head().version);
        let at_bound = |group: &Group| {
            self.oldest_version(group)
                .is_some_and(|oldest| oldest + bound <= version)
        };
        self.groups
            .iter()
            .take_while(|(number, _)| self.is_due(**number))
            .any(|(_, group)| !group.is_complete() && at_bound(group))
    }

    /// Returns the oldest version in a group.
    fn oldest_version(&self, group: &Group) -> Option<u64> {
        let samples = group.samples.iter();
        let versions = samples.filter_map(|sample| match &sample.phase {
            Phase::Waiting => sample.prefix.oldest_version(),
            Phase::Running { main, .. } => self
                .generations
                .get(*main)
                .and_then(|g| g.text.oldest_version()),
            Phase::Scoring(key) => self
                .generations
                .get(*key)
                .and_then(|g| g.text.oldest_version()),
            Phase::Writing(record) | Phase::Recorded(record) => record.oldest_version(),
        });
        versions.min()
    }

    /// Drops all samples that exceed the staleness bound.
    pub(crate) fn drop_stale_samples(&mut self) {
        let min_version = self.min_version();
        let is_stale = |version: Option<u64>| version.is_some_and(|version| version < min_version);
        let is_stale_phase = |phase: &Phase, run: &Self| match phase {
            Phase::Running { main, .. } => run.is_stale_generation(*main, min_version),
            Phase::Scoring(key) => run.is_stale_generation(*key, min_version),
            // A sample that is being written is checked once it is recorded.
            Phase::Waiting | Phase::Writing(_) => false,
            Phase::Recorded(record) => is_stale(Record::oldest_version(record)),
        };
        self.cancel_stale_hedges(min_version);
        let mut stale = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if is_stale_phase(&sample.phase, self)
                    || is_stale(sample.prefix.oldest_version()) && is_waiting(&sample.phase)
                {
                    stale.push(Slot {
                        group: *number,
                        index,
                    });
                }
            }
        }
        for slot in stale {
            self.restart_sample(slot);
        }
    }

    /// Cancels hedges that exceed the staleness bound. If one replaced its original,
    /// the whole sample would be dropped.
    fn cancel_stale_hedges(&mut self, min_version: u64) {
        let mut stale = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if let Phase::Running {
                    hedge: Some(hedge), ..
                } = sample.phase
                    && self.is_stale_generation(hedge, min_version)
                {
                    let group = *number;
                    stale.push((Slot { group, index }, hedge));
                }
            }
        }
        for (slot, hedge) in stale {
            self.remove_hedge(slot, hedge);
            self.actions.push_back(Action::Cancel(hedge));
        }
    }

    fn is_stale_generation(&self, key: GenerationKey, min_version: u64) -> bool {
        let generation = self.generations.get(key);
        generation.is_some_and(|g| {
            g.text
                .oldest_version()
                .is_some_and(|oldest| oldest < min_version)
        })
    }

    /// Handles the end of a step that is in the table.
    pub(crate) fn step_recorded(&mut self, now: Instant, cursor: u64, version: u64) {
        let new_version = self
            .batches
            .get(&cursor)
            .is_some_and(|batch| batch.version < version);
        self.pace.step_completed(now, new_version);
        let first_retained = (cursor + 1).saturating_sub(RETAINED_BATCHES);
        self.batches.retain(|batch, _| *batch >= first_retained);
        let requests = mem::take(&mut self.done_requests);
        for (ticket, step) in requests {
            if step == cursor {
                self.actions
                    .push_back(Action::Answer(ticket, Answer::Recorded));
            } else {
                self.done_requests.push((ticket, step));
            }
        }
        self.drop_stale_samples();
    }

    pub(crate) fn handle_pull(&mut self, now: Instant, ticket: Ticket, owner: u64, cursor: u64) {
        if owner != self.owner {
            // Two trainers with the same run name would both get all samples.
            self.refuse(ticket, ErrorKind::RunTaken);
            return;
        }
        self.pulls.push(Pull {
            ticket,
            cursor,
            received: now,
        });
    }

    pub(crate) fn handle_done(&mut self, ticket: Ticket, owner: u64, cursor: u64, version: u64) {
        if owner != self.owner {
            self.refuse(ticket, ErrorKind::RunTaken);
            return;
        }
        if !self.journal.is_ready() {
            // The trainer retries, as after a lost answer.
            self.refuse(ticket, ErrorKind::StoreDown);
            return;
        }
        let head = self.head();
        if cursor < head.done_steps {
            self.actions
                .push_back(Action::Answer(ticket, Answer::Recorded));
        } else if cursor >= head.next_cursor {
            self.refuse(ticket, ErrorKind::BadCursor);
        } else if version < head.version {
            self.refuse(ticket, ErrorKind::BadVersion);
        } else {
            if !self
                .journal
                .has(|change| matches!(change, Change::CompleteStep { .. }))
            {
                self.journal.add(Change::CompleteStep { cursor, version });
            }
            self.done_requests.push((ticket, cursor));
        }
    }

    /// Answers the pulls that can be answered.
    pub(crate) fn answer_pulls(&mut self, now: Instant) {
        let pulls = mem::take(&mut self.pulls);
        for pull in pulls {
            if let Some(answer) = self.pull_answer(now, pull) {
                self.actions.push_back(Action::Answer(pull.ticket, answer));
            } else {
                self.pulls.push(pull);
            }
        }
    }

    fn pull_answer(&self, now: Instant, pull: Pull) -> Option<Answer> {
        let waited = now.saturating_duration_since(pull.received);
        let timed_out = (waited >= self.spec.pull_timeout).then_some(Answer::NotYet);
        if !self.journal.is_ready() {
            return timed_out;
        }
        if let Some(batch) = self.batches.get(&pull.cursor) {
            return Some(Answer::Batch(batch.clone()));
        }
        let head = self.head();
        if pull.cursor != head.next_cursor {
            return Some(Answer::Refused(ErrorKind::BadCursor));
        }
        let step_closing = self
            .journal
            .has(|change| matches!(change, Change::CompleteStep { .. }));
        if head.done_steps < head.next_cursor && !step_closing {
            return Some(Answer::Refused(ErrorKind::StepOpen));
        }
        timed_out
    }

    fn refuse(&mut self, ticket: Ticket, kind: ErrorKind) {
        let answer = Answer::Refused(kind);
        self.actions.push_back(Action::Answer(ticket, answer));
    }
}

const fn is_waiting(phase: &Phase) -> bool {
    matches!(phase, Phase::Waiting)
}
