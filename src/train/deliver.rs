//! Batches: fixed once, recorded, then handed out; steps reported done.

use crate::{
    error::ErrorKind,
    train::{
        GenKey, RETAINED_BATCHES,
        event::{Answer, Step, Ticket},
        journal::Change,
        row::{Batch, Record, Slot},
        run::{Group, Pull, Run},
        sample::Phase,
    },
};
use std::{mem, time::Instant};

impl Run {
    /// Fixes the next batch, once the step before is done and enough groups are
    /// whole.
    ///
    /// Not earlier: until then the trainer's version may rise, and a batch that
    /// was within the bound would be over it when it is handed out.
    pub(crate) fn assemble_batch(&mut self) {
        let head = self.head();
        let (cursor, version) = (head.next_cursor, head.version);
        let fixing = self
            .journal
            .has(|change| matches!(change, Change::AddBatch(_)));
        if head.done_steps != cursor || fixing || self.must_wait() {
            return;
        }
        let count = usize::try_from(self.spec.groups).unwrap_or(usize::MAX);
        let floor = self.min_version();
        let fresh = |group: &Group| self.oldest(group).is_none_or(|old| old >= floor);
        let whole = self.groups.values().filter(|g| g.is_complete() && fresh(g));
        let chosen: Vec<&Group> = whole.take(count).collect();
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

    /// Says whether a group that this batch or an earlier one was to hold can't
    /// be carried over any more.
    ///
    /// Carried over again it would be dropped over the bound, and what is
    /// dropped so is what takes long: training would see too few long samples.
    fn must_wait(&self) -> bool {
        if !self.pace.may_change_version() {
            return false;
        }
        let (bound, version) = (self.spec.bound, self.head().version);
        let last = |group: &Group| self.oldest(group).is_some_and(|old| old + bound <= version);
        self.groups
            .iter()
            .take_while(|(number, _)| self.is_due(**number))
            .any(|(_, group)| !group.is_complete() && last(group))
    }

    /// Returns the oldest version in a group.
    fn oldest(&self, group: &Group) -> Option<u64> {
        let samples = group.samples.iter();
        let oldest = samples.filter_map(|sample| match &sample.phase {
            Phase::Waiting => sample.prefix.oldest_version(),
            Phase::Running { main, .. } => self
                .generations
                .get(*main)
                .and_then(|g| g.text.oldest_version()),
            Phase::Scoring(key) => self
                .generations
                .get(*key)
                .and_then(|g| g.text.oldest_version()),
            Phase::Writing(record) | Phase::Recorded(record) => record.oldest(),
        });
        oldest.min()
    }

    /// Drops every sample that is over the bound.
    pub(crate) fn drop_stale_samples(&mut self) {
        let floor = self.min_version();
        let old = |version: Option<u64>| version.is_some_and(|version| version < floor);
        let over = |phase: &Phase, run: &Self| match phase {
            Phase::Running { main, .. } => run.is_old(*main, floor),
            Phase::Scoring(key) => run.is_old(*key, floor),
            // It is looked at again when it is recorded.
            Phase::Waiting | Phase::Writing(_) => false,
            Phase::Recorded(record) => old(Record::oldest(record)),
        };
        self.cancel_stale_hedges(floor);
        let mut slots = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if over(&sample.phase, self)
                    || old(sample.prefix.oldest_version()) && waits(&sample.phase)
                {
                    slots.push(Slot {
                        group: *number,
                        index,
                    });
                }
            }
        }
        for slot in slots {
            self.restart_sample(slot);
        }
    }

    /// Stops second copies that are over the bound: taking over, they would cost
    /// the whole sample.
    fn cancel_stale_hedges(&mut self, floor: u64) {
        let mut copies = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if let Phase::Running {
                    hedge: Some(copy), ..
                } = sample.phase
                    && self.is_old(copy, floor)
                {
                    let group = *number;
                    copies.push((Slot { group, index }, copy));
                }
            }
        }
        for (slot, copy) in copies {
            self.remove_hedge(slot, copy);
            self.steps.push_back(Step::Cancel(copy));
        }
    }

    fn is_old(&self, key: GenKey, floor: u64) -> bool {
        let generation = self.generations.get(key);
        generation.is_some_and(|g| g.text.oldest_version().is_some_and(|oldest| oldest < floor))
    }

    /// Notes that a step's end is in the table.
    pub(crate) fn step_recorded(&mut self, now: Instant, cursor: u64, version: u64) {
        let bump = self
            .batches
            .get(&cursor)
            .is_some_and(|b| b.version < version);
        self.pace.step_completed(now, bump);
        let kept = (cursor + 1).saturating_sub(RETAINED_BATCHES);
        self.batches.retain(|batch, _| *batch >= kept);
        let dones = mem::take(&mut self.done_requests);
        for (ticket, done) in dones {
            if done == cursor {
                self.steps.push_back(Step::Answer(ticket, Answer::Noted));
            } else {
                self.done_requests.push((ticket, done));
            }
        }
        self.drop_stale_samples();
    }

    pub(crate) fn handle_pull(&mut self, now: Instant, ticket: Ticket, owner: u64, cursor: u64) {
        if owner != self.owner {
            // Two trainers of one name would each get every sample.
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
            // The trainer asks again, as it does when the answer is lost.
            self.refuse(ticket, ErrorKind::StoreDown);
            return;
        }
        let head = self.head();
        if cursor < head.done_steps {
            self.steps.push_back(Step::Answer(ticket, Answer::Noted));
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
            if let Some(answer) = self.reply(now, pull) {
                self.steps.push_back(Step::Answer(pull.ticket, answer));
            } else {
                self.pulls.push(pull);
            }
        }
    }

    fn reply(&self, now: Instant, pull: Pull) -> Option<Answer> {
        let waited = now.saturating_duration_since(pull.received);
        let late = (waited >= self.spec.pull_timeout).then_some(Answer::NotYet);
        if !self.journal.is_ready() {
            return late;
        }
        if let Some(batch) = self.batches.get(&pull.cursor) {
            return Some(Answer::Batch(batch.clone()));
        }
        let head = self.head();
        if pull.cursor != head.next_cursor {
            return Some(Answer::Refused(ErrorKind::BadCursor));
        }
        let closing = self
            .journal
            .has(|change| matches!(change, Change::CompleteStep { .. }));
        if head.done_steps < head.next_cursor && !closing {
            return Some(Answer::Refused(ErrorKind::StepOpen));
        }
        late
    }

    fn refuse(&mut self, ticket: Ticket, kind: ErrorKind) {
        let answer = Answer::Refused(kind);
        self.steps.push_back(Step::Answer(ticket, answer));
    }
}

const fn waits(phase: &Phase) -> bool {
    matches!(phase, Phase::Waiting)
}
