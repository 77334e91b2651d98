//! The trainers, the engines and the table around the policies.

use super::{
    engine::{Engine, Id, Job, whole},
    load::{Load, Policy},
    plain::{Plain, Sample},
    score::Score,
};
use hibiscusroad::train::{Event, GenerationKey, Head, Row, RowName, Run, Span, fair_shares};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::{
    collections::{BTreeMap, HashMap},
    mem,
    time::{Duration, Instant},
};

/// Seconds in one turn of the model.
pub(super) const TURN: f64 = 0.1;
/// Seconds between an engine's reports.
const REPORT: f64 = 0.5;
/// Seconds until a lost engine's generations are known to have failed.
const NOTICE: f64 = 5.0;
/// Share of swaps that fail and are ordered again.
const FAILED: f64 = 0.02;
/// Mean length of a sample in tokens, without the long ones.
pub(super) const LENGTH: std::ops::Range<f64> = 100.0..500.0;
/// One in so many samples is ten times longer.
pub(super) const TAIL: u64 = 50;

pub(super) const OWNER: u64 = 1;

/// One trainer, and what holds its run.
pub(super) struct Trainer {
    pub(super) run: Option<Run>,
    pub(super) plain: Plain,
    pub(super) head: Option<(u64, Head)>,
    pub(super) rows: BTreeMap<RowName, Row>,
    pub(super) inbox: Vec<(f64, Event)>,
    pub(super) texts: HashMap<GenerationKey, Vec<Span>>,
    pub(super) begun: HashMap<GenerationKey, f64>,
    pub(super) ages: HashMap<(u64, u32), f64>,
    pub(super) cursor: u64,
    pub(super) version: u64,
    /// Until when it works on a batch.
    pub(super) busy: Option<f64>,
    pub(super) since: f64,
    pub(super) first: Option<f64>,
    pub(super) idle: f64,
    pub(super) steps: Vec<f64>,
}

pub(super) struct Model<'a> {
    pub(super) load: &'a Load,
    pub(super) policy: Policy,
    pub(super) ready: f64,
    pub(super) start: Instant,
    pub(super) now: f64,
    pub(super) rng: Pcg64,
    pub(super) engines: Vec<Engine>,
    pub(super) trainers: [Trainer; 2],
    pub(super) failed: Vec<(f64, usize, Id)>,
    pub(super) lengths: u64,
    pub(super) made: f64,
    pub(super) used: f64,
    pub(super) lanes: f64,
    pub(super) lost: f64,
    pub(super) stale: Vec<f64>,
    pub(super) age: Vec<f64>,
    pub(super) delivered: f64,
    pub(super) broken: usize,
}

/// Runs one policy on one load.
#[must_use]
pub fn run_one(load: &Load, policy: Policy, seed: u64) -> Score {
    let mut model = Model::new(load, policy, seed);
    while model.now < load.span {
        model.turn();
    }
    model.score()
}

impl<'a> Model<'a> {
    fn new(load: &'a Load, policy: Policy, seed: u64) -> Self {
        let mut engines = vec![Engine::new(load.rate); load.engines];
        engines[0].speed *= load.slow;
        let trainer = || Trainer {
            run: (policy != Policy::Plain).then(|| Run::new(load.spec, OWNER, 0, 1)),
            plain: Plain::default(),
            head: None,
            rows: BTreeMap::new(),
            inbox: Vec::new(),
            texts: HashMap::new(),
            begun: HashMap::new(),
            ages: HashMap::new(),
            cursor: 0,
            version: 0,
            busy: None,
            since: 0.0,
            first: None,
            idle: 0.0,
            steps: Vec::new(),
        };
        Self {
            load,
            policy,
            start: Instant::now(),
            now: 0.0,
            rng: Pcg64::seed_from_u64(seed),
            engines,
            trainers: [trainer(), trainer()],
            failed: Vec::new(),
            lengths: 0,
            made: 0.0,
            used: 0.0,
            lanes: 0.0,
            lost: 0.0,
            stale: Vec::new(),
            age: Vec::new(),
            delivered: 0.0,
            broken: 0,
            ready: 0.0,
        }
    }

    pub(super) fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn turn(&mut self) {
        self.now += TURN;
        for trainer in &self.trainers {
            let samples = trainer.rows.keys();
            let ready = samples
                .filter(|name| matches!(name, RowName::Sample(_)))
                .count();
            self.ready += ready as f64 / self.load.samples() as f64 * TURN / 2.0;
        }
        self.lose();
        self.swap();
        for n in 0..self.engines.len() {
            if self.engines[n].alive {
                self.engine(n);
            }
        }
        self.notice();
        self.share();
        for n in 0..2 {
            self.train(n);
            self.hold(n);
        }
    }

    fn engine(&mut self, n: usize) {
        let (now, lanes) = (self.now, self.load.lanes);
        let made = self.engines[n].turn(now, TURN, lanes);
        self.made += made;
        self.used += made / (self.engines[n].speed * TURN);
        self.lanes += lanes as f64;
        let jobs = mem::take(&mut self.engines[n].jobs);
        for job in jobs {
            if let Some(job) = self.report(job) {
                self.engines[n].jobs.push(job);
            }
        }
    }

    /// Reports a job now and then; returns it if it goes on.
    fn report(&mut self, mut job: Job) -> Option<Job> {
        let over = job.tokens >= job.length;
        let due = job.tokens - job.told >= self.load.rate * REPORT * self.load.slow;
        match job.id {
            Id::Ours(generation) if due || over => {
                let tokens = whole(job.tokens);
                job.told = job.tokens;
                let trainer = &mut self.trainers[job.run];
                // A span whose first token isn't whole yet is not reported.
                let spans: Vec<Span> = job
                    .spans
                    .iter()
                    .copied()
                    .filter(|span| span.first < tokens)
                    .collect();
                trainer.texts.insert(generation, spans.clone());
                if let Some(begun) = job.begun {
                    trainer.begun.entry(generation).or_insert(begun);
                }
                let progress = Event::Progress {
                    generation,
                    tokens,
                    spans,
                };
                trainer.inbox.push((self.now, progress));
                if over {
                    trainer.inbox.push((self.now, Event::Finished(generation)));
                }
            }
            Id::Plain(_) if over => self.trainers[job.run].plain.done.push(Sample {
                tokens: job.tokens,
                spans: job.spans.clone(),
                begun: job.begun.unwrap_or(self.now),
            }),
            _ => {}
        }
        (!over).then_some(job)
    }

    /// Loses the second engine at its time.
    fn lose(&mut self) {
        if !self.engines[1].alive || self.now < self.load.span * self.load.lost {
            return;
        }
        self.engines[1].alive = false;
        for job in mem::take(&mut self.engines[1].jobs) {
            if let Id::Ours(_) = job.id {
                self.lost += job.tokens - job.told.max(job.first);
            }
            if let Id::Plain(_) = job.id {
                self.trainers[job.run].plain.wasted += job.tokens;
            }
            self.failed.push((self.now + NOTICE, job.run, job.id));
        }
    }

    fn notice(&mut self) {
        for (at, run, id) in mem::take(&mut self.failed) {
            if at > self.now {
                self.failed.push((at, run, id));
                continue;
            }
            match id {
                Id::Ours(key) => self.trainers[run].inbox.push((at, Event::Failed(key))),
                Id::Plain(n) => self.place_plain(run, n),
            }
        }
    }

    /// Changes weights in waves; a swap that fails is ordered again.
    fn swap(&mut self) {
        for run in 0..2 {
            let version = self.trainers[run].version;
            let under_way = self
                .engines
                .iter()
                .filter(|e| e.swaps[run].is_some())
                .count();
            let mut room = self.load.wave.saturating_sub(under_way);
            for engine in self.engines.iter_mut().filter(|engine| engine.alive) {
                if room == 0 || engine.versions[run] == version || engine.swaps[run].is_some() {
                    continue;
                }
                room -= 1;
                let failed = self.rng.random_bool(FAILED);
                let got = if failed {
                    engine.versions[run]
                } else {
                    version
                };
                engine.swaps[run] = Some((self.now + self.load.swap, got));
            }
        }
    }

    fn share(&mut self) {
        let alive = self.engines.iter().filter(|engine| engine.alive).count();
        let wanted = self
            .trainers
            .each_ref()
            .map(|t| t.run.as_ref().map_or(0, Run::demand));
        let given = fair_shares(alive * self.load.lanes, &wanted);
        let at = self.instant();
        for (trainer, limit) in self.trainers.iter_mut().zip(given) {
            if let Some(run) = &mut trainer.run {
                run.handle(at, Event::LimitChanged(limit));
            }
        }
    }

    pub(super) fn draw(&mut self) -> f64 {
        self.lengths += 1;
        let length = self.rng.random_range(LENGTH).floor();
        if self.rng.random_range(0..TAIL) == 0 {
            length * 10.0
        } else {
            length
        }
    }

    /// Puts a job on the engine with the fewest, not on the one it comes from.
    pub(super) fn place(&mut self, job: Job, avoid: Option<usize>) {
        let alive = |n: &usize| self.engines[*n].alive && Some(*n) != avoid;
        let best = (0..self.engines.len())
            .filter(alive)
            .min_by_key(|n| self.engines[*n].jobs.len());
        if let Some(n) = best {
            self.engines[n].jobs.push(job);
        }
    }

    pub(super) fn place_plain(&mut self, run: usize, n: usize) {
        let length = self.draw();
        let job = job(run, Id::Plain(n), length);
        self.place(job, None);
    }
}

pub(super) const fn job(run: usize, id: Id, length: f64) -> Job {
    Job {
        run,
        id,
        urgent: false,
        first: 0.0,
        tokens: 0.0,
        length,
        spans: Vec::new(),
        told: 0.0,
        begun: None,
    }
}
