//! Simulates one run with its holders, engines, table and trainer in virtual time.
//!
//! Messages may be delayed or get no answer. Holders pause, are killed, or continue
//! without noticing a takeover. Engines fail, and swap to unintended versions. The version
//! that generated each token is recorded separately and compared with what is delivered.

use hibiscusroad::{
    ErrorKind,
    train::{
        Action, Answer, Batch, Counts, Event, GenerationKey, Head, Prefix, Record, Row, RowName,
        Run, Slot, Span, Spec, Ticket, Write,
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub const SPEC: Spec = Spec::new()
    .group_size(2)
    .step_groups(2)
    .max_staleness(2)
    .hedge_share(0.3);
const TICK: Duration = Duration::from_millis(500);
const OWNER: u64 = 7;
const ENGINE_COUNT: usize = 3;

/// How long a holder waits for the table, in ticks.
const CALL_TIMEOUT: u32 = 6;

#[derive(Default)]
struct Table {
    version: u64,
    head: Option<Head>,
    rows: BTreeMap<RowName, Row>,
}

impl Table {
    fn commit(&mut self, write: &Write) -> bool {
        if write.expected_version != self.version {
            return false;
        }
        if let Some(head) = &self.head {
            assert!(
                head.fence <= write.head.fence,
                "an older holder has written"
            );
        }
        let names = write.puts.iter().map(Row::name);
        let names: Vec<RowName> = names.chain(write.deletes.iter().copied()).collect();
        let unique: BTreeSet<RowName> = names.iter().copied().collect();
        assert_eq!(unique.len(), names.len(), "a transaction has a row twice");
        for name in &write.deletes {
            self.check_deletion(name, &write.head);
            self.rows.remove(name);
        }
        for row in &write.puts {
            if let (Row::Batch(new), Some(old)) = (row, self.rows.get(&row.name())) {
                assert_eq!(Row::Batch(new.clone()), *old, "a batch has changed");
            }
            self.rows.insert(row.name(), row.clone());
        }
        self.version += 1;
        self.head = Some(write.head.clone());
        true
    }

    // A recorded sample may be deleted only if it is in a batch or exceeds the staleness
    // bound.
    fn check_deletion(&self, name: &RowName, head: &Head) {
        if let Some(Row::Sample(record)) = self.rows.get(name) {
            let is_stale = record.oldest_version().unwrap() + SPEC.max_staleness < head.version;
            assert!(
                is_stale || head.is_delivered(record.slot.group),
                "a sample was lost"
            );
        }
    }
}

enum Call {
    ReadHead,
    ReadRows,
    Write(Box<Write>),
}

struct Message {
    holder: usize,
    call: Call,
    /// The tick of arrival at the table.
    arrives_at: u32,
    /// The tick of the answer, unless it is lost.
    answered_at: Option<u32>,
}

struct Job {
    holder: usize,
    key: GenerationKey,
    engine: usize,
    /// The version that generated each token of the sample.
    token_versions: Vec<u64>,
    prefix_len: usize,
    length: usize,
    finished: bool,
}

struct Holder {
    run: Run,
    fence: u64,
    paused_ticks: u32,
    /// The tick at which the call in flight times out.
    call_deadline: Option<u32>,
    inbox: Vec<(u32, Event)>,
    scoring: Vec<GenerationKey>,
    alive: bool,
}

#[derive(Default)]
struct Trainer {
    cursor: u64,
    max_cursor: u64,
    version: u64,
    batches: BTreeMap<u64, Batch>,
    /// The cursor of the batch that each sample was delivered in.
    delivered: BTreeMap<Slot, u64>,
    has_batch: bool,
}

pub struct World {
    start: Instant,
    tick: u32,
    rng: Pcg64,
    faults_ended: bool,
    table: Table,
    holders: Vec<Holder>,
    messages: Vec<Message>,
    jobs: Vec<Job>,
    /// The token versions of ended jobs, by holder and generation.
    ended_jobs: BTreeMap<(usize, GenerationKey), Vec<u64>>,
    /// The token versions of stored samples, by fencing token and serial number.
    stored_samples: BTreeMap<(u64, u64), Vec<u64>>,
    /// The version of each engine.
    engines: Vec<u64>,
    /// The tick at which the outage of the table ends.
    outage_end: u32,
    trainer: Trainer,
    last_ticket: u64,
    /// The cursors of the trainer's requests.
    requests: BTreeMap<Ticket, u64>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            start: Instant::now(),
            tick: 0,
            rng: Pcg64::seed_from_u64(seed),
            faults_ended: false,
            table: Table::default(),
            holders: Vec::new(),
            messages: Vec::new(),
            jobs: Vec::new(),
            ended_jobs: BTreeMap::new(),
            stored_samples: BTreeMap::new(),
            engines: vec![0; ENGINE_COUNT],
            outage_end: 0,
            trainer: Trainer::default(),
            last_ticket: 0,
            requests: BTreeMap::new(),
        };
        world.take_over();
        world
    }

    /// Returns the number of steps that the trainer has completed.
    pub fn steps(&self) -> u64 {
        self.trainer.cursor
    }

    /// Returns the counters of all holders together.
    pub fn counts(&self) -> Counts {
        let mut sum = Counts::default();
        for counts in self.holders.iter().map(|holder| holder.run.counts()) {
            sum.dropped += counts.dropped;
            sum.hedges += counts.hedges;
            sum.started += counts.started;
            sum.tokens += counts.tokens;
            sum.wasted += counts.wasted;
        }
        sum
    }

    fn now(&self) -> Instant {
        self.start + TICK * self.tick
    }

    fn chance(&mut self, probability: f64) -> bool {
        !self.faults_ended && self.rng.random_bool(probability)
    }

    /// Makes another process the holder. The previous one may not notice.
    fn take_over(&mut self) {
        let fence = self.holders.len() as u64 + 1;
        let mut run = Run::new(SPEC, OWNER, 0, fence);
        run.handle(self.now(), Event::LimitChanged(12));
        self.holders.push(Holder {
            run,
            fence,
            paused_ticks: 0,
            call_deadline: None,
            inbox: Vec::new(),
            scoring: Vec::new(),
            alive: true,
        });
    }

    pub fn tick(&mut self) {
        self.tick += 1;
        self.inject_faults();
        self.run_engines();
        self.run_table();
        for n in 0..self.holders.len() {
            self.run_holder(n);
        }
        self.run_trainer();
    }

    fn inject_faults(&mut self) {
        if self.chance(0.02) {
            self.take_over();
        }
        let last = self.holders.len() - 1;
        if self.chance(0.02) {
            let n = self.rng.random_range(0..=last);
            self.holders[n].paused_ticks = self.rng.random_range(1..60);
        }
        if self.chance(0.01) {
            self.outage_end = self.tick + self.rng.random_range(1..40);
        }
        if self.chance(0.01) {
            self.holders[last].alive = false;
            self.take_over();
        }
        if self.chance(0.02) {
            // A swap fails and leaves any version up to the trainer's, even one that was
            // never ordered.
            let n = self.rng.random_range(0..ENGINE_COUNT);
            self.engines[n] = self.rng.random_range(0..=self.trainer.version);
        }
        if self.chance(0.3) || self.faults_ended {
            // A swap succeeds.
            let n = self.rng.random_range(0..ENGINE_COUNT);
            self.engines[n] = self.trainer.version;
        }
        if self.chance(0.03) && !self.jobs.is_empty() {
            let n = self.rng.random_range(0..self.jobs.len());
            let job = self.jobs.swap_remove(n);
            self.ended_jobs
                .insert((job.holder, job.key), job.token_versions);
            self.send_event(job.holder, Event::Failed(job.key));
        }
    }

    fn send_event(&mut self, n: usize, event: Event) {
        let delay = if self.chance(0.2) {
            self.rng.random_range(1..5)
        } else {
            0
        };
        // Events of one holder arrive in order.
        let last = self.holders[n].inbox.last().map_or(0, |(at, _)| *at);
        self.holders[n]
            .inbox
            .push(((self.tick + delay).max(last), event));
    }

    fn run_engines(&mut self) {
        for i in 0..self.jobs.len() {
            let job = &self.jobs[i];
            let (n, key, engine) = (job.holder, job.key, job.engine);
            if job.finished || engine == 0 && !self.faults_ended && self.tick % 60 < 45 {
                // The first engine is slow.
                continue;
            }
            let speed = self.rng.random_range(1..6);
            let version = self.engines[engine];
            let job = &mut self.jobs[i];
            let remaining = job.length.saturating_sub(job.token_versions.len());
            job.token_versions
                .extend(std::iter::repeat_n(version, speed.min(remaining)));
            let mut spans = spans(&job.token_versions, job.prefix_len);
            let tokens = u32::try_from(job.token_versions.len()).unwrap();
            let finished = job.token_versions.len() >= job.length;
            if spans.len() > 1 && self.chance(0.1) {
                // The report lacks the version of its first tokens.
                spans.remove(0);
            }
            let generation = key;
            self.send_event(
                n,
                Event::Progress {
                    generation,
                    tokens,
                    spans,
                },
            );
            if finished {
                self.jobs[i].finished = true;
                self.send_event(n, Event::Finished(key));
            }
        }
        let (finished, running): (Vec<Job>, Vec<Job>) = std::mem::take(&mut self.jobs)
            .into_iter()
            .partition(|job| job.finished);
        self.jobs = running;
        for job in finished {
            self.ended_jobs
                .insert((job.holder, job.key), job.token_versions);
        }
    }

    fn run_table(&mut self) {
        let (arrived, in_transit): (Vec<Message>, Vec<Message>) =
            std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|message| message.arrives_at <= self.tick);
        self.messages = in_transit;
        for message in arrived {
            let event = match message.call {
                Call::ReadHead => {
                    let head = self.table.head.clone();
                    Event::Head(head.map(|head| (self.table.version, head)))
                }
                Call::ReadRows => Event::Rows(self.table.rows.values().cloned().collect()),
                Call::Write(write) => {
                    if self.table.commit(&write) {
                        self.check_written(&write);
                        Event::Committed
                    } else {
                        Event::CallFailed
                    }
                }
            };
            let holder = &mut self.holders[message.holder];
            if let Some(at) = message.answered_at
                && holder.call_deadline.take().is_some()
            {
                holder.inbox.push((at, event));
                holder.inbox.sort_by_key(|(at, _)| *at);
            }
        }
    }

    // The versions in the table must be those that generated the tokens.
    fn check_written(&self, write: &Write) {
        for row in &write.puts {
            let records: &[Record] = match row {
                Row::Sample(record) => std::slice::from_ref(record),
                Row::Batch(batch) => &batch.records,
            };
            for record in records {
                let token_versions = &self.stored_samples[&(record.fence, record.serial)];
                assert_eq!(
                    token_versions.len(),
                    usize::try_from(record.tokens).unwrap()
                );
                assert_eq!(record.spans, spans(token_versions, 0), "a version is wrong");
            }
        }
    }

    fn run_holder(&mut self, n: usize) {
        let holder = &mut self.holders[n];
        if !holder.alive {
            return;
        }
        if holder.paused_ticks > 0 {
            holder.paused_ticks -= 1;
            return;
        }
        if holder
            .call_deadline
            .is_some_and(|deadline| deadline <= self.tick)
        {
            // The call times out; its answer is lost.
            holder.call_deadline = None;
            holder.inbox.push((self.tick, Event::CallFailed));
        }
        let (now, tick) = (self.now(), self.tick);
        let holder = &mut self.holders[n];
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut holder.inbox)
            .into_iter()
            .partition(|(at, _)| *at <= tick);
        holder.inbox = later;
        for (_, event) in due {
            self.holders[n].run.handle(now, event);
            self.run_actions(n);
        }
        for key in std::mem::take(&mut self.holders[n].scoring) {
            let event = if self.chance(0.1) {
                Event::ScoreFailed(key)
            } else {
                Event::Scored {
                    generation: key,
                    score: 0.5,
                }
            };
            self.send_event(n, event);
        }
        self.holders[n].run.handle(now, Event::Tick);
        self.run_actions(n);
    }

    fn run_actions(&mut self, n: usize) {
        while let Some(action) = self.holders[n].run.next_action() {
            match action {
                Action::ReadHead => self.send_call(n, Call::ReadHead),
                Action::ReadRows => self.send_call(n, Call::ReadRows),
                Action::Write(write) => self.send_call(n, Call::Write(write)),
                Action::Start {
                    generation, prefix, ..
                } => {
                    self.start_job(n, generation, prefix);
                }
                Action::Prioritize(_) | Action::DiscardTexts(_) => {}
                Action::Cancel(key) => self.cancel_job(n, key),
                Action::Score { generation, .. } => self.store_sample(n, generation),
                Action::Answer(ticket, answer) => self.handle_answer(ticket, &answer),
            }
        }
    }

    fn send_call(&mut self, n: usize, call: Call) {
        assert!(
            self.holders[n].call_deadline.is_none(),
            "two calls in flight"
        );
        let delay = if self.chance(0.1) {
            self.rng.random_range(0..20)
        } else {
            0
        };
        if self.tick < self.outage_end {
            self.holders[n].call_deadline = Some(self.tick + 2);
            return;
        }
        let answer_lost = self.chance(0.15);
        let answer_delay = self.rng.random_range(0..2);
        let arrives_at = self.tick + 1 + delay;
        let deadline = self.tick + CALL_TIMEOUT;
        let answered_at = (!answer_lost && arrives_at + answer_delay < deadline)
            .then_some(arrives_at + answer_delay);
        self.holders[n].call_deadline = Some(deadline);
        self.messages.push(Message {
            holder: n,
            call,
            arrives_at,
            answered_at,
        });
    }

    fn start_job(&mut self, n: usize, key: GenerationKey, prefix: Option<Prefix>) {
        let mut token_versions =
            prefix.map_or_else(Vec::new, |p| self.token_versions(n, p.generation));
        let prefix_len = prefix.map_or(0, |p| usize::try_from(p.tokens).unwrap());
        token_versions.truncate(prefix_len);
        assert_eq!(
            token_versions.len(),
            prefix_len,
            "a prefix was never generated"
        );
        let is_long = self.rng.random_bool(0.1);
        let length = prefix_len + self.rng.random_range(1..20) * if is_long { 10 } else { 1 };
        let engine = self.rng.random_range(0..ENGINE_COUNT);
        self.jobs.push(Job {
            holder: n,
            key,
            engine,
            prefix_len,
            token_versions,
            length,
            finished: false,
        });
    }

    fn token_versions(&self, n: usize, key: GenerationKey) -> Vec<u64> {
        let job = self
            .jobs
            .iter()
            .find(|job| job.holder == n && job.key == key);
        let ended_job = || self.ended_jobs[&(n, key)].clone();
        job.map_or_else(ended_job, |job| job.token_versions.clone())
    }

    fn cancel_job(&mut self, n: usize, key: GenerationKey) {
        let position = self
            .jobs
            .iter()
            .position(|job| job.holder == n && job.key == key);
        if let Some(i) = position {
            let job = self.jobs.swap_remove(i);
            self.ended_jobs.insert((n, key), job.token_versions);
        }
    }

    /// Stores a finished sample and starts its scoring.
    fn store_sample(&mut self, n: usize, key: GenerationKey) {
        let token_versions = self.ended_jobs[&(n, key)].clone();
        let serial = self.holders[n].run.serial_of(key).unwrap();
        self.stored_samples
            .insert((self.holders[n].fence, serial), token_versions);
        self.holders[n].scoring.push(key);
    }

    /// Sends the trainer's next request, at times to two holders at once.
    fn run_trainer(&mut self) {
        if self.chance(0.01) {
            // The trainer restarts from a checkpoint, at most three steps behind its
            // highest cursor.
            let steps_back = self.rng.random_range(0..3);
            let oldest = self.trainer.max_cursor.saturating_sub(3);
            self.trainer.cursor = self.trainer.cursor.saturating_sub(steps_back).max(oldest);
            self.trainer.has_batch = false;
        }
        if !self.tick.is_multiple_of(4) {
            return;
        }
        let (cursor, has_batch) = (self.trainer.cursor, self.trainer.has_batch);
        // Each step creates a new version; a repeated step creates the same one.
        let version = cursor + 1;
        let last = self.holders.len() - 1;
        // An entry with stale information sends the request to the previous holder.
        let previous = last.saturating_sub(1);
        let recipients = if self.chance(0.3) {
            vec![previous, last]
        } else {
            vec![last]
        };
        for n in recipients {
            self.last_ticket += 1;
            let ticket = Ticket(self.last_ticket);
            self.requests.insert(ticket, cursor);
            let owner = OWNER;
            let event = if has_batch {
                self.trainer.version = self.trainer.version.max(version);
                Event::Done {
                    ticket,
                    owner,
                    cursor,
                    version: self.trainer.version,
                }
            } else {
                Event::Pulled {
                    ticket,
                    owner,
                    cursor,
                }
            };
            self.send_event(n, event);
        }
    }

    fn handle_answer(&mut self, ticket: Ticket, answer: &Answer) {
        let cursor = self.requests[&ticket];
        if let Answer::Batch(batch) = answer {
            // Also checked for answers that don't reach the trainer.
            assert_eq!(batch.cursor, cursor);
            self.check_batch(batch);
        }
        if self.chance(0.1) || cursor != self.trainer.cursor {
            return;
        }
        match answer {
            Answer::Batch(_) => self.trainer.has_batch = true,
            Answer::Recorded if self.trainer.has_batch => {
                self.trainer.cursor += 1;
                self.trainer.max_cursor = self.trainer.max_cursor.max(self.trainer.cursor);
                self.trainer.has_batch = false;
            }
            Answer::Refused(kind) => {
                let expected = [
                    ErrorKind::Fenced,
                    ErrorKind::StoreDown,
                    ErrorKind::BadCursor,
                    ErrorKind::StepOpen,
                ];
                assert!(expected.contains(kind), "{kind:?}");
            }
            _ => {}
        }
    }

    fn check_batch(&mut self, batch: &Batch) {
        if let Some(first) = self.trainer.batches.get(&batch.cursor) {
            assert_eq!(first, batch, "a cursor has two batches");
            return;
        }
        for record in &batch.records {
            let earlier_cursor = self.trainer.delivered.insert(record.slot, batch.cursor);
            assert_eq!(earlier_cursor, None, "a sample is in two batches");
            let oldest = record.oldest_version().unwrap();
            assert!(
                oldest + SPEC.max_staleness >= self.trainer.version,
                "a sample exceeds the staleness bound"
            );
        }
        assert_eq!(
            batch.records.len(),
            usize::try_from(SPEC.group_size * SPEC.step_groups).unwrap()
        );
        self.trainer.batches.insert(batch.cursor, batch.clone());
    }

    /// Ends all faults, and makes sure that there is a live holder.
    pub fn end_faults(&mut self) {
        self.faults_ended = true;
        self.outage_end = 0;
        if let Some(last) = self.holders.last_mut() {
            last.paused_ticks = 0;
            last.call_deadline = last
                .call_deadline
                .map(|deadline| deadline.max(self.tick + 1));
        }
        if self.holders.last().is_none_or(|last| !last.alive) {
            self.take_over();
        }
    }
}

fn spans(token_versions: &[u64], start: usize) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for (position, version) in token_versions.iter().enumerate().skip(start) {
        if spans.last().is_none_or(|last| last.version != *version) {
            let first = u32::try_from(position).unwrap();
            spans.push(Span {
                version: *version,
                first,
            });
        }
    }
    spans
}
