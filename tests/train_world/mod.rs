//! Holders, engines, a table and a trainer around one run, in virtual time.
//!
//! Every message may be late or get no answer. Holders stand still, are killed,
//! or go on without knowing that another took over. Engines break, and swap to
//! versions that nobody asked for. What each token was made by is kept apart,
//! and compared with what is delivered.

use hibiscusroad::{
    ErrorKind,
    train::{
        Answer, Batch, Counts, Event, GenKey, Head, Prefix, Record, Row, RowName, Run, Slot, Span,
        Spec, Step, Ticket, Write,
    },
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub const SPEC: Spec = Spec::new().size(2).groups(2).bound(2).hedge_share(0.3);
const TURN: Duration = Duration::from_millis(500);
const OWNER: u64 = 7;
const ENGINES: usize = 3;

/// How long a holder waits for the table, in turns.
const PATIENCE: u32 = 6;

#[derive(Default)]
struct Table {
    version: u64,
    head: Option<Head>,
    rows: BTreeMap<RowName, Row>,
}

impl Table {
    fn write(&mut self, write: &Write) -> bool {
        if write.expect != self.version {
            return false;
        }
        if let Some(head) = &self.head {
            assert!(head.fence <= write.head.fence, "an older holder wrote");
        }
        let names = write.puts.iter().map(Row::name);
        let names: Vec<RowName> = names.chain(write.deletes.iter().copied()).collect();
        let unique: BTreeSet<RowName> = names.iter().copied().collect();
        assert_eq!(unique.len(), names.len(), "a row twice in a transaction");
        for name in &write.deletes {
            self.check_lost(name, &write.head);
            self.rows.remove(name);
        }
        for row in &write.puts {
            if let (Row::Batch(new), Some(old)) = (row, self.rows.get(&row.name())) {
                assert_eq!(Row::Batch(new.clone()), *old, "a batch changed");
            }
            self.rows.insert(row.name(), row.clone());
        }
        self.version += 1;
        self.head = Some(write.head.clone());
        true
    }

    // A recorded sample leaves the table only if it is in a batch, or over the
    // bound.
    fn check_lost(&self, name: &RowName, head: &Head) {
        if let Some(Row::Sample(record)) = self.rows.get(name) {
            let old = record.oldest().unwrap() + SPEC.bound < head.version;
            assert!(
                old || head.is_delivered(record.slot.group),
                "a sample is lost"
            );
        }
    }
}

enum Call {
    Head,
    Rows,
    Write(Box<Write>),
}

struct Message {
    holder: usize,
    call: Call,
    arrives: u32,
    answered: Option<u32>,
}

struct Job {
    holder: usize,
    key: GenKey,
    engine: usize,
    /// The version of each token, from the sample's first.
    truth: Vec<u64>,
    first: usize,
    length: usize,
    over: bool,
}

struct Holder {
    run: Run,
    fence: u64,
    paused: u32,
    waits: Option<u32>,
    inbox: Vec<(u32, Event)>,
    scoring: Vec<GenKey>,
    alive: bool,
}

#[derive(Default)]
struct Trainer {
    cursor: u64,
    /// The highest cursor that it ever had.
    most: u64,
    version: u64,
    seen: BTreeMap<u64, Batch>,
    slots: BTreeMap<Slot, u64>,
    has: bool,
}

pub struct World {
    start: Instant,
    turn: u32,
    rng: Pcg64,
    calm: bool,
    table: Table,
    holders: Vec<Holder>,
    messages: Vec<Message>,
    jobs: Vec<Job>,
    ended: BTreeMap<(usize, GenKey), Vec<u64>>,
    truths: BTreeMap<(u64, u64), Vec<u64>>,
    engines: Vec<u64>,
    /// The turn at which the table's outage ends.
    outage: u32,
    trainer: Trainer,
    ticket: u64,
    asked: BTreeMap<Ticket, u64>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            start: Instant::now(),
            turn: 0,
            rng: Pcg64::seed_from_u64(seed),
            calm: false,
            table: Table::default(),
            holders: Vec::new(),
            messages: Vec::new(),
            jobs: Vec::new(),
            ended: BTreeMap::new(),
            truths: BTreeMap::new(),
            engines: vec![0; ENGINES],
            outage: 0,
            trainer: Trainer::default(),
            ticket: 0,
            asked: BTreeMap::new(),
        };
        world.take_over();
        world
    }

    /// Returns the steps that the trainer has done.
    pub fn steps(&self) -> u64 {
        self.trainer.cursor
    }

    /// Returns what became of tokens and samples at all holders.
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
        self.start + TURN * self.turn
    }

    fn chance(&mut self, share: f64) -> bool {
        !self.calm && self.rng.random_bool(share)
    }

    /// Another process becomes the holder; the one before may not know.
    fn take_over(&mut self) {
        let fence = self.holders.len() as u64 + 1;
        let mut run = Run::new(SPEC, OWNER, 0, fence);
        run.handle(self.now(), Event::Share(12));
        self.holders.push(Holder {
            run,
            fence,
            paused: 0,
            waits: None,
            inbox: Vec::new(),
            scoring: Vec::new(),
            alive: true,
        });
    }

    pub fn turn(&mut self) {
        self.turn += 1;
        self.trouble();
        self.engines();
        self.table();
        for n in 0..self.holders.len() {
            self.hold(n);
        }
        self.train();
    }

    fn trouble(&mut self) {
        if self.chance(0.02) {
            self.take_over();
        }
        let last = self.holders.len() - 1;
        if self.chance(0.02) {
            let n = self.rng.random_range(0..=last);
            self.holders[n].paused = self.rng.random_range(1..60);
        }
        if self.chance(0.01) {
            self.outage = self.turn + self.rng.random_range(1..40);
        }
        if self.chance(0.01) {
            self.holders[last].alive = false;
            self.take_over();
        }
        if self.chance(0.02) {
            // A swap that failed: any version at all, also one not yet ordered.
            let n = self.rng.random_range(0..ENGINES);
            self.engines[n] = self.rng.random_range(0..=self.trainer.version);
        }
        if self.chance(0.3) || self.calm {
            // A swap that went well.
            let n = self.rng.random_range(0..ENGINES);
            self.engines[n] = self.trainer.version;
        }
        if self.chance(0.03) && !self.jobs.is_empty() {
            let n = self.rng.random_range(0..self.jobs.len());
            let job = self.jobs.swap_remove(n);
            self.ended.insert((job.holder, job.key), job.truth);
            self.tell(job.holder, Event::Failed(job.key));
        }
    }

    fn tell(&mut self, n: usize, event: Event) {
        let late = if self.chance(0.2) {
            self.rng.random_range(1..5)
        } else {
            0
        };
        // Events of one process come in order.
        let last = self.holders[n].inbox.last().map_or(0, |(at, _)| *at);
        self.holders[n]
            .inbox
            .push(((self.turn + late).max(last), event));
    }

    fn engines(&mut self) {
        for i in 0..self.jobs.len() {
            let job = &self.jobs[i];
            let (n, key, engine) = (job.holder, job.key, job.engine);
            if job.over || engine == 0 && !self.calm && self.turn % 60 < 45 {
                // The first engine is slow.
                continue;
            }
            let speed = self.rng.random_range(1..6);
            let version = self.engines[engine];
            let job = &mut self.jobs[i];
            let room = job.length.saturating_sub(job.truth.len());
            job.truth
                .extend(std::iter::repeat_n(version, speed.min(room)));
            let mut spans = spans(&job.truth, job.first);
            let tokens = u32::try_from(job.truth.len()).unwrap();
            let over = job.truth.len() >= job.length;
            if spans.len() > 1 && self.chance(0.1) {
                // A report that doesn't say what made its first tokens.
                spans.remove(0);
            }
            let generation = key;
            self.tell(
                n,
                Event::Progress {
                    generation,
                    tokens,
                    spans,
                },
            );
            if over {
                self.jobs[i].over = true;
                self.tell(n, Event::Finished(key));
            }
        }
        let (over, going): (Vec<Job>, Vec<Job>) = std::mem::take(&mut self.jobs)
            .into_iter()
            .partition(|job| job.over);
        self.jobs = going;
        for job in over {
            self.ended.insert((job.holder, job.key), job.truth);
        }
    }

    fn table(&mut self) {
        let (due, later): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.arrives <= self.turn);
        self.messages = later;
        for message in due {
            let event = match message.call {
                Call::Head => {
                    let head = self.table.head.clone();
                    Event::Head(head.map(|head| (self.table.version, head)))
                }
                Call::Rows => Event::Rows(self.table.rows.values().cloned().collect()),
                Call::Write(write) => {
                    if self.table.write(&write) {
                        self.check_written(&write);
                        Event::Committed
                    } else {
                        Event::Lost
                    }
                }
            };
            let holder = &mut self.holders[message.holder];
            if let Some(at) = message.answered
                && holder.waits.take().is_some()
            {
                holder.inbox.push((at, event));
                holder.inbox.sort_by_key(|(at, _)| *at);
            }
        }
    }

    // What is in the table as generated by a version was generated by it.
    fn check_written(&self, write: &Write) {
        for row in &write.puts {
            let records: &[Record] = match row {
                Row::Sample(record) => std::slice::from_ref(record),
                Row::Batch(batch) => &batch.records,
            };
            for record in records {
                let truth = &self.truths[&(record.fence, record.serial)];
                assert_eq!(truth.len(), usize::try_from(record.tokens).unwrap());
                assert_eq!(record.spans, spans(truth, 0), "a version is not true");
            }
        }
    }

    fn hold(&mut self, n: usize) {
        let holder = &mut self.holders[n];
        if !holder.alive {
            return;
        }
        if holder.paused > 0 {
            holder.paused -= 1;
            return;
        }
        if holder.waits.is_some_and(|until| until <= self.turn) {
            // The connection is given up with its answer.
            holder.waits = None;
            holder.inbox.push((self.turn, Event::Lost));
        }
        let (now, turn) = (self.now(), self.turn);
        let holder = &mut self.holders[n];
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut holder.inbox)
            .into_iter()
            .partition(|(at, _)| *at <= turn);
        holder.inbox = later;
        for (_, event) in due {
            self.holders[n].run.handle(now, event);
            self.carry_out(n);
        }
        for key in std::mem::take(&mut self.holders[n].scoring) {
            let event = if self.chance(0.1) {
                Event::ScoreLost(key)
            } else {
                Event::Scored {
                    generation: key,
                    score: 0.5,
                }
            };
            self.tell(n, event);
        }
        self.holders[n].run.handle(now, Event::Tick);
        self.carry_out(n);
    }

    fn carry_out(&mut self, n: usize) {
        while let Some(step) = self.holders[n].run.next_step() {
            match step {
                Step::ReadHead => self.call(n, Call::Head),
                Step::ReadRows => self.call(n, Call::Rows),
                Step::Write(write) => self.call(n, Call::Write(write)),
                Step::Start {
                    generation, prefix, ..
                } => {
                    self.launch(n, generation, prefix);
                }
                Step::Raise(_) | Step::Release(_) => {}
                Step::Cancel(key) => self.cancel(n, key),
                Step::Score { generation, .. } => self.note(n, generation),
                Step::Answer(ticket, answer) => self.answer(ticket, &answer),
            }
        }
    }

    fn call(&mut self, n: usize, call: Call) {
        assert!(self.holders[n].waits.is_none(), "two calls at once");
        let there = if self.chance(0.1) {
            self.rng.random_range(0..20)
        } else {
            0
        };
        if self.turn < self.outage {
            self.holders[n].waits = Some(self.turn + 2);
            return;
        }
        let lost = self.chance(0.15);
        let back = self.rng.random_range(0..2);
        let arrives = self.turn + 1 + there;
        let until = self.turn + PATIENCE;
        let answered = (!lost && arrives + back < until).then_some(arrives + back);
        self.holders[n].waits = Some(until);
        self.messages.push(Message {
            holder: n,
            call,
            arrives,
            answered,
        });
    }

    fn launch(&mut self, n: usize, key: GenKey, prefix: Option<Prefix>) {
        let mut truth = prefix.map_or_else(Vec::new, |p| self.truth(n, p.generation));
        let prefix = prefix.map_or(0, |p| usize::try_from(p.tokens).unwrap());
        truth.truncate(prefix);
        assert_eq!(truth.len(), prefix, "a prefix that was never there");
        let long = self.rng.random_bool(0.1);
        let length = prefix + self.rng.random_range(1..20) * if long { 10 } else { 1 };
        let engine = self.rng.random_range(0..ENGINES);
        self.jobs.push(Job {
            holder: n,
            key,
            engine,
            first: prefix,
            truth,
            length,
            over: false,
        });
    }

    fn truth(&self, n: usize, key: GenKey) -> Vec<u64> {
        let job = self
            .jobs
            .iter()
            .find(|job| job.holder == n && job.key == key);
        let ended = || self.ended[&(n, key)].clone();
        job.map_or_else(ended, |job| job.truth.clone())
    }

    fn cancel(&mut self, n: usize, key: GenKey) {
        let found = self
            .jobs
            .iter()
            .position(|job| job.holder == n && job.key == key);
        if let Some(i) = found {
            let job = self.jobs.swap_remove(i);
            self.ended.insert((n, key), job.truth);
        }
    }

    /// Keeps a sample's text under its holder's name for it.
    fn note(&mut self, n: usize, key: GenKey) {
        let truth = self.ended[&(n, key)].clone();
        let serial = self.holders[n].run.serial_of(key).unwrap();
        self.truths.insert((self.holders[n].fence, serial), truth);
        self.holders[n].scoring.push(key);
    }

    /// The trainer asks any holders, at times two at once, and loses answers.
    fn train(&mut self) {
        if self.chance(0.01) {
            // It restarts from its last checkpoint, of at most three steps ago.
            let back = self.rng.random_range(0..3);
            let oldest = self.trainer.most.saturating_sub(3);
            self.trainer.cursor = self.trainer.cursor.saturating_sub(back).max(oldest);
            self.trainer.has = false;
        }
        if !self.turn.is_multiple_of(4) {
            return;
        }
        let (cursor, has) = (self.trainer.cursor, self.trainer.has);
        // Each step makes a new version; a repeated one makes the same.
        let version = cursor + 1;
        let last = self.holders.len() - 1;
        // An entry that has old news sends the trainer to the holder before.
        let before = last.saturating_sub(1);
        let asked = if self.chance(0.3) {
            vec![before, last]
        } else {
            vec![last]
        };
        for n in asked {
            self.ticket += 1;
            let ticket = Ticket(self.ticket);
            self.asked.insert(ticket, cursor);
            let owner = OWNER;
            let event = if has {
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
            self.tell(n, event);
        }
    }

    fn answer(&mut self, ticket: Ticket, answer: &Answer) {
        let cursor = self.asked[&ticket];
        if let Answer::Batch(batch) = answer {
            // Also what doesn't reach the trainer must be the same batch.
            assert_eq!(batch.cursor, cursor);
            self.check_batch(batch);
        }
        if self.chance(0.1) || cursor != self.trainer.cursor {
            return;
        }
        match answer {
            Answer::Batch(_) => self.trainer.has = true,
            Answer::Noted if self.trainer.has => {
                self.trainer.cursor += 1;
                self.trainer.most = self.trainer.most.max(self.trainer.cursor);
                self.trainer.has = false;
            }
            Answer::Refused(kind) => {
                let known = [
                    ErrorKind::Fenced,
                    ErrorKind::StoreDown,
                    ErrorKind::BadCursor,
                    ErrorKind::StepOpen,
                ];
                assert!(known.contains(kind), "{kind:?}");
            }
            _ => {}
        }
    }

    fn check_batch(&mut self, batch: &Batch) {
        if let Some(first) = self.trainer.seen.get(&batch.cursor) {
            assert_eq!(first, batch, "the same cursor got two batches");
            return;
        }
        for record in &batch.records {
            let other = self.trainer.slots.insert(record.slot, batch.cursor);
            assert_eq!(other, None, "a sample in two batches");
            let oldest = record.oldest().unwrap();
            assert!(
                oldest + SPEC.bound >= self.trainer.version,
                "over the bound"
            );
        }
        assert_eq!(
            batch.records.len(),
            usize::try_from(SPEC.size * SPEC.groups).unwrap()
        );
        self.trainer.seen.insert(batch.cursor, batch.clone());
    }

    /// Ends the trouble: a table that answers, engines that swap, and the
    /// holder that there is, if it lives.
    pub fn calm(&mut self) {
        self.calm = true;
        self.outage = 0;
        if let Some(last) = self.holders.last_mut() {
            last.paused = 0;
            last.waits = last.waits.map(|until| until.max(self.turn + 1));
        }
        if self.holders.last().is_none_or(|last| !last.alive) {
            self.take_over();
        }
    }
}

fn spans(truth: &[u64], from: usize) -> Vec<Span> {
    let mut spans: Vec<Span> = Vec::new();
    for (n, version) in truth.iter().enumerate().skip(from) {
        if spans.last().is_none_or(|last| last.version != *version) {
            let first = u32::try_from(n).unwrap();
            spans.push(Span {
                version: *version,
                first,
            });
        }
    }
    spans
}
