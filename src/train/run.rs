//! One run, held by one process.

use crate::train::{
    GenKey,
    event::{Answer, Event, Step, Ticket},
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
    pub(crate) fn is_whole(&self) -> bool {
        self.samples.iter().all(Sample::is_recorded)
    }
}

/// A pull that waits for its batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) ticket: Ticket,
    pub(crate) cursor: u64,
    pub(crate) since: Instant,
}

/// What became of a run's tokens and samples at this holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Tokens generated, as reported.
    pub tokens: u64,
    /// Tokens of them that no batch can hold any more.
    pub wasted: u64,
    /// Samples dropped because they were over the bound.
    pub dropped: u64,
    /// Second copies started.
    pub hedges: u64,
    /// Generations started.
    pub started: u64,
}

/// One run, held by one process under one fencing number.
///
/// Events go in by [`Run::handle`]; [`Run::next_step`] says what to do.
#[derive(Debug)]
pub struct Run {
    pub(crate) spec: Spec,
    pub(crate) owner: u64,
    pub(crate) journal: Journal,
    /// Groups in prompt order, from the first that isn't delivered.
    pub(crate) groups: BTreeMap<u64, Group>,
    pub(crate) gens: SlotMap<GenKey, Generation>,
    pub(crate) batches: BTreeMap<u64, Batch>,
    pub(crate) pulls: Vec<Pull>,
    pub(crate) dones: Vec<(Ticket, u64)>,
    pub(crate) steps: VecDeque<Step>,
    pub(crate) pace: Pace,
    pub(crate) limit: usize,
    pub(crate) opened: u64,
    pub(crate) serial: u64,
    pub(crate) counts: Counts,
}

impl Run {
    /// Creates the view of a process that has become the holder under `fence`.
    ///
    /// `owner` is the trainer's own key, and `version` the weights that it
    /// begins with, if the table doesn't know the run yet.
    #[must_use]
    pub fn new(spec: Spec, owner: u64, version: u64, fence: u64) -> Self {
        let mut run = Self {
            spec,
            owner,
            journal: Journal::new(fence, version),
            groups: BTreeMap::new(),
            gens: SlotMap::with_key(),
            batches: BTreeMap::new(),
            pulls: Vec::new(),
            dones: Vec::new(),
            steps: VecDeque::new(),
            pace: Pace::default(),
            limit: usize::MAX,
            opened: 0,
            serial: 0,
            counts: Counts::default(),
        };
        run.ask();
        run
    }

    /// Returns the next thing to do.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Returns how far the run is, as the table was last known to say.
    #[must_use]
    pub const fn head(&self) -> &Head {
        self.journal.head()
    }

    /// Returns what became of tokens and samples.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number that, with the fencing number, names a generation's
    /// text in the object store.
    #[must_use]
    pub fn serial_of(&self, generation: GenKey) -> Option<u64> {
        self.gens
            .get(generation)
            .map(|generation| generation.serial)
    }

    /// Says whether a newer holder has taken over.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.journal.is_fenced()
    }

    /// Returns how many generations it runs and could start at once.
    #[must_use]
    pub fn wanted(&self) -> usize {
        let samples = self.groups.values().flat_map(|group| &group.samples);
        let waiting = samples.filter(|sample| sample.phase == Phase::Waiting);
        self.gens.len() + waiting.count()
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Head(found) => {
                let changes = self.journal.head_read(found);
                self.settle(now, changes);
            }
            Event::Rows(rows) => self.load(rows),
            Event::Committed => {
                let changes = self.journal.committed();
                self.settle(now, changes);
            }
            Event::Lost => self.journal.call_failed(),
            Event::Progress {
                generation,
                tokens,
                spans,
            } => {
                self.progress(now, generation, tokens, &spans);
                return;
            }
            Event::Finished(generation) => self.finish(now, generation),
            Event::Failed(generation) => self.fail(generation),
            Event::Scored { generation, score } => self.score(generation, score),
            Event::ScoreLost(generation) => self.score_again(generation),
            Event::Pulled {
                ticket,
                owner,
                cursor,
            } => self.pull(now, ticket, owner, cursor),
            Event::Done {
                ticket,
                owner,
                cursor,
                version,
            } => self.done(ticket, owner, cursor, version),
            Event::Share(limit) => self.limit = limit,
            Event::Tick => {}
        }
        self.turn(now);
    }

    /// Runs the systems over the tables.
    fn turn(&mut self, now: Instant) {
        if self.is_fenced() {
            self.give_up();
            return;
        }
        if self.journal.is_ready() {
            self.fix();
            self.open();
            self.start(now);
            self.hurry(now);
        }
        self.answer(now);
        self.ask();
    }

    fn ask(&mut self) {
        if let Some(ask) = self.journal.next_call() {
            self.steps.push_back(match ask {
                TableCall::ReadHead => Step::ReadHead,
                TableCall::ReadRows => Step::ReadRows,
                TableCall::Write(write) => Step::Write(write),
            });
        }
    }

    /// Rebuilds the tables from the rows that earlier holders left.
    fn load(&mut self, rows: Vec<Row>) {
        if !self.journal.rows_read() {
            return;
        }
        let head = self.head().clone();
        self.opened = head.delivered_below;
        for row in rows {
            let name = row.name();
            match row {
                Row::Batch(batch) if batch.cursor + super::RETAINED_BATCHES >= head.done_steps => {
                    self.batches.insert(batch.cursor, batch);
                }
                Row::Sample(record) if !head.is_delivered(record.slot.group) => {
                    self.restore(record);
                }
                // Its batch or step is done; the holder that should have
                // removed it was lost first.
                _ => self.journal.add(Change::DeleteRow(name)),
            }
        }
        self.sweep();
    }

    fn restore(&mut self, record: Record) {
        let slot = record.slot;
        let size = self.spec.size;
        let group = self.groups.entry(slot.group).or_insert_with(|| fresh(size));
        let samples = &mut group.samples;
        if let Some(sample) = usize::try_from(slot.index)
            .ok()
            .and_then(|n| samples.get_mut(n))
        {
            sample.phase = Phase::Recorded(record);
        }
    }

    /// Takes in changes that are in the table now.
    fn settle(&mut self, now: Instant, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::AddSample(record) => self.recorded(record),
                Change::AddBatch(batch) => self.fixed(batch),
                Change::CompleteStep { cursor, version } => self.noted(now, cursor, version),
                Change::DropSample(_) | Change::DeleteRow(_) => {}
            }
        }
    }

    fn recorded(&mut self, record: Record) {
        self.steps.push_back(Step::Release(record.slot));
        if let Some(sample) = self.sample(record.slot)
            && matches!(&sample.phase, Phase::Writing(own) if own.serial == record.serial)
        {
            sample.phase = Phase::Recorded(record);
        }
        self.sweep();
    }

    fn fixed(&mut self, batch: Batch) {
        for record in &batch.records {
            self.groups.remove(&record.slot.group);
            let name = RowName::Sample(record.slot);
            self.journal.add(Change::DeleteRow(name));
        }
        self.batches.insert(batch.cursor, batch);
    }

    /// Opens groups in prompt order, as many as can be used.
    fn open(&mut self) {
        let head = self.journal.head();
        let window = self.pace.max_open_groups(&self.spec);
        let size = self.spec.size;
        let mut count = self.groups.len() as u64;
        while count < window {
            let group = self.opened;
            self.opened += 1;
            if head.is_delivered(group) || self.groups.contains_key(&group) {
                continue;
            }
            self.groups.insert(group, fresh(size));
            count += 1;
        }
    }

    /// Leaves everything to the newer holder, which generates anew what this
    /// one has not recorded.
    fn give_up(&mut self) {
        for (generation, _) in self.gens.drain() {
            self.steps.push_back(Step::Cancel(generation));
        }
        self.groups.clear();
        let pulls = self.pulls.drain(..).map(|pull| pull.ticket);
        let dones = self.dones.drain(..).map(|(ticket, _)| ticket);
        for ticket in pulls.chain(dones) {
            let refusal = Answer::Refused(crate::ErrorKind::Fenced);
            self.steps.push_back(Step::Answer(ticket, refusal));
        }
    }
}

fn fresh(size: u32) -> Group {
    Group {
        samples: (0..size).map(|_| Sample::default()).collect(),
    }
}
