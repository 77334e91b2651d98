//! The state of a run at the process that holds it.

use crate::train::{
    GenerationKey,
    event::{Action, Answer, Event, Ticket},
    journal::{Change, Journal, TableCall},
    pace::Pace,
    row::{Batch, Head, Record, Row, RowName},
    sample::{Generation, Phase, Sample},
    spec::Spec,
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

/// The samples of one prompt.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) samples: Vec<Sample>,
}

impl Group {
    pub(crate) fn is_complete(&self) -> bool {
        self.samples.iter().all(Sample::is_recorded)
    }
}

/// A pull that is waiting for its batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) ticket: Ticket,
    pub(crate) cursor: u64,
    pub(crate) received: Instant,
}

/// Counters of a run's tokens and samples at this holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Tokens generated, as reported.
    pub tokens: u64,
    /// Generated tokens that can't be in a batch.
    pub wasted: u64,
    /// Samples dropped because they exceeded the staleness bound.
    pub dropped: u64,
    /// Hedges started.
    pub hedges: u64,
    /// Generations started.
    pub started: u64,
}

/// A run, held by one process under one fencing token.
///
/// [`Run::handle`] takes events and [`Run::next_action`] returns what to do.
#[derive(Debug)]
pub struct Run {
    pub(crate) spec: Spec,
    pub(crate) owner: u64,
    pub(crate) journal: Journal,
    /// The open groups, in the order of prompts.
    pub(crate) groups: BTreeMap<u64, Group>,
    pub(crate) generations: SlotMap<GenerationKey, Generation>,
    pub(crate) batches: BTreeMap<u64, Batch>,
    pub(crate) pulls: Vec<Pull>,
    /// Requests that wait until the end of their step is in the table, with the
    /// step's cursor.
    pub(crate) done_requests: Vec<(Ticket, u64)>,
    pub(crate) actions: VecDeque<Action>,
    pub(crate) pace: Pace,
    /// The number of generations that may run at once.
    pub(crate) max_running: usize,
    /// The next group to open.
    pub(crate) next_group: u64,
    /// The serial number of the last generation.
    pub(crate) last_serial: u64,
    pub(crate) counts: Counts,
}

impl Run {
    /// Creates the state of a process that has become the holder under `fence`.
    ///
    /// `owner` is the key of the trainer. `version` is its first weight version, for
    /// a run that isn't in the table yet.
    #[must_use]
    pub fn new(spec: Spec, owner: u64, version: u64, fence: u64) -> Self {
        let mut run = Self {
            spec,
            owner,
            journal: Journal::new(fence, version),
            groups: BTreeMap::new(),
            generations: SlotMap::with_key(),
            batches: BTreeMap::new(),
            pulls: Vec::new(),
            done_requests: Vec::new(),
            actions: VecDeque::new(),
            pace: Pace::default(),
            max_running: usize::MAX,
            next_group: 0,
            last_serial: 0,
            counts: Counts::default(),
        };
        run.call_table();
        run
    }

    /// Returns the next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Returns the progress of the run, as last known to be in the table.
    #[must_use]
    pub const fn head(&self) -> &Head {
        self.journal.head()
    }

    /// Returns the counters of tokens and samples.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the serial number of a generation, which with the fencing token names
    /// its text in the object store.
    #[must_use]
    pub fn serial_of(&self, generation: GenerationKey) -> Option<u64> {
        self.generations
            .get(generation)
            .map(|generation| generation.serial)
    }

    /// Returns whether a newer holder has taken over.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.journal.is_fenced()
    }

    /// Returns the number of generations that are running or could be started now.
    #[must_use]
    pub fn demand(&self) -> usize {
        let samples = self.groups.values().flat_map(|group| &group.samples);
        let waiting = samples.filter(|sample| sample.phase == Phase::Waiting);
        self.generations.len() + waiting.count()
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Head(row) => {
                let changes = self.journal.head_read(row);
                self.apply(now, changes);
            }
            Event::Rows(rows) => self.load_rows(rows),
            Event::Committed => {
                let changes = self.journal.committed();
                self.apply(now, changes);
            }
            Event::CallFailed => self.journal.call_failed(),
            Event::Progress {
                generation,
                tokens,
                spans,
            } => {
                self.handle_progress(now, generation, tokens, &spans);
                return;
            }
            Event::Finished(generation) => self.handle_finished(now, generation),
            Event::Failed(generation) => self.handle_failed(generation),
            Event::Scored { generation, score } => self.handle_score(generation, score),
            Event::ScoreFailed(generation) => self.retry_score(generation),
            Event::Pulled {
                ticket,
                owner,
                cursor,
            } => self.handle_pull(now, ticket, owner, cursor),
            Event::Done {
                ticket,
                owner,
                cursor,
                version,
            } => self.handle_done(ticket, owner, cursor, version),
            Event::LimitChanged(limit) => self.max_running = limit,
            Event::Tick => {}
        }
        self.advance(now);
    }

    /// Updates the run after an event: assembles a batch, starts samples and answers pulls
    /// where possible.
    fn advance(&mut self, now: Instant) {
        if self.is_fenced() {
            self.stop();
            return;
        }
        if self.journal.is_ready() {
            self.assemble_batch();
            self.open_groups();
            self.start_samples(now);
            self.handle_stragglers(now);
        }
        self.answer_pulls(now);
        self.call_table();
    }

    fn call_table(&mut self) {
        if let Some(call) = self.journal.next_call() {
            self.actions.push_back(match call {
                TableCall::ReadHead => Action::ReadHead,
                TableCall::ReadRows => Action::ReadRows,
                TableCall::Write(write) => Action::Write(write),
            });
        }
    }

    /// Restores the state from the rows that earlier holders wrote.
    fn load_rows(&mut self, rows: Vec<Row>) {
        if !self.journal.rows_read() {
            return;
        }
        let head = self.head().clone();
        self.next_group = head.delivered_below;
        for row in rows {
            let name = row.name();
            match row {
                Row::Batch(batch) if batch.cursor + super::RETAINED_BATCHES >= head.done_steps => {
                    self.batches.insert(batch.cursor, batch);
                }
                Row::Sample(record) if !head.is_delivered(record.slot.group) => {
                    self.restore_sample(record);
                }
                // The row is obsolete; an earlier holder was lost before it
                // removed the row.
                _ => self.journal.add(Change::DeleteRow(name)),
            }
        }
        self.drop_stale_samples();
    }

    fn restore_sample(&mut self, record: Record) {
        let slot = record.slot;
        let size = self.spec.group_size;
        let group = self
            .groups
            .entry(slot.group)
            .or_insert_with(|| new_group(size));
        let samples = &mut group.samples;
        if let Some(sample) = usize::try_from(slot.index)
            .ok()
            .and_then(|index| samples.get_mut(index))
        {
            sample.phase = Phase::Recorded(record);
        }
    }

    /// Applies changes that took effect in the table.
    fn apply(&mut self, now: Instant, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::AddSample(record) => self.sample_recorded(record),
                Change::AddBatch(batch) => self.batch_recorded(batch),
                Change::CompleteStep { cursor, version } => {
                    self.step_recorded(now, cursor, version);
                }
                Change::DropSample(_) | Change::DeleteRow(_) => {}
            }
        }
    }

    fn sample_recorded(&mut self, record: Record) {
        self.actions.push_back(Action::DiscardTexts(record.slot));
        if let Some(sample) = self.sample_mut(record.slot)
            && matches!(&sample.phase, Phase::Writing(written) if written.serial == record.serial)
        {
            sample.phase = Phase::Recorded(record);
        }
        self.drop_stale_samples();
    }

    fn batch_recorded(&mut self, batch: Batch) {
        for record in &batch.records {
            self.groups.remove(&record.slot.group);
            let name = RowName::Sample(record.slot);
            self.journal.add(Change::DeleteRow(name));
        }
        self.batches.insert(batch.cursor, batch);
    }

    /// Opens groups in the order of prompts, up to the limit of the pace.
    fn open_groups(&mut self) {
        let head = self.journal.head();
        let max_open = self.pace.max_open_groups(&self.spec);
        let size = self.spec.group_size;
        let mut count = self.groups.len() as u64;
        while count < max_open {
            let group = self.next_group;
            self.next_group += 1;
            if head.is_delivered(group) || self.groups.contains_key(&group) {
                continue;
            }
            self.groups.insert(group, new_group(size));
            count += 1;
        }
    }

    /// Cancels everything after a newer holder has taken over. It regenerates the
    /// samples that aren't recorded.
    fn stop(&mut self) {
        for (generation, _) in self.generations.drain() {
            self.actions.push_back(Action::Cancel(generation));
        }
        self.groups.clear();
        let pulls = self.pulls.drain(..).map(|pull| pull.ticket);
        let done_requests = self.done_requests.drain(..).map(|(ticket, _)| ticket);
        for ticket in pulls.chain(done_requests) {
            let refusal = Answer::Refused(crate::ErrorKind::Fenced);
            self.actions.push_back(Action::Answer(ticket, refusal));
        }
    }
}

fn new_group(size: u32) -> Group {
    Group {
        samples: (0..size).map(|_| Sample::default()).collect(),
    }
}
