//! The simulation: its state, the engines and how jobs are placed on them.

use super::{
    engine::{Engine, Job, JobId, whole_tokens},
    load::{Load, Policy},
    plain::{PlainRun, Sample},
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

/// Seconds in one tick of the simulation.
pub(super) const TICK_SECS: f64 = 0.1;
/// Seconds between the reports of a job at the slow engine's speed.
const REPORT_INTERVAL_SECS: f64 = 0.5;
/// Seconds until the generations of a lost engine are reported as failed.
const FAILURE_REPORT_SECS: f64 = 5.0;
/// Share of weight swaps that fail and are retried.
const SWAP_FAILURE_SHARE: f64 = 0.02;
/// Range of a sample's tokens, except for long samples.
pub(super) const SAMPLE_TOKENS: std::ops::Range<f64> = 100.0..500.0;
/// One in this many samples is long: its tokens are multiplied by ten.
pub(super) const LONG_SAMPLE_PERIOD: u64 = 50;

/// The key with which the trainers open their runs.
pub(super) const OWNER: u64 = 1;

/// A trainer, and the table rows and events of its run.
pub(super) struct Trainer {
    pub(super) run: Option<Run>,
    pub(super) plain: PlainRun,
    pub(super) head: Option<(u64, Head)>,
    pub(super) rows: BTreeMap<RowName, Row>,
    /// Events for the run, with the time when they arrive.
    pub(super) inbox: Vec<(f64, Event)>,
    pub(super) reported_spans: HashMap<GenerationKey, Vec<Span>>,
    /// When the first token of each generation's sample was generated.
    pub(super) start_times: HashMap<GenerationKey, f64>,
    /// The same by group and index of the sample.
    pub(super) slot_starts: HashMap<(u64, u32), f64>,
    pub(super) cursor: u64,
    pub(super) version: u64,
    /// When the current step ends, if there is one.
    pub(super) busy_until: Option<f64>,
    /// When the last step ended.
    pub(super) step_end: f64,
    /// When the first batch was received.
    pub(super) first_batch: Option<f64>,
    pub(super) idle_time: f64,
    pub(super) step_times: Vec<f64>,
}

/// The state of a simulation.
pub(super) struct Simulation<'a> {
    pub(super) load: &'a Load,
    pub(super) policy: Policy,
    /// Finished samples as a share of a step's, integrated over time.
    pub(super) ready_integral: f64,
    pub(super) start: Instant,
    pub(super) now: f64,
    pub(super) rng: Pcg64,
    pub(super) engines: Vec<Engine>,
    pub(super) trainers: [Trainer; 2],
    /// Jobs of lost engines, with the time when their failure is reported.
    pub(super) failures: Vec<(f64, usize, JobId)>,
    pub(super) length_draws: u64,
    pub(super) generated_tokens: f64,
    /// Lanes in use, summed over engines and ticks.
    pub(super) used_lanes: f64,
    /// Lanes of live engines, summed over engines and ticks.
    pub(super) total_lanes: f64,
    pub(super) lost_tokens: f64,
    pub(super) staleness: Vec<f64>,
    pub(super) sample_ages: Vec<f64>,
    pub(super) delivered_tokens: f64,
    pub(super) bound_violations: usize,
}

/// Simulates one policy on one load.
#[must_use]
pub fn run_one(load: &Load, policy: Policy, seed: u64) -> Score {
    let mut simulation = Simulation::new(load, policy, seed);
    while simulation.now < load.duration {
        simulation.tick();
    }
    simulation.score()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, policy: Policy, seed: u64) -> Self {
        let mut engines = vec![Engine::new(load.token_rate); load.engines];
        engines[0].speed *= load.slow_factor;
        let trainer = || Trainer {
            run: (policy != Policy::Plain).then(|| Run::new(load.spec, OWNER, 0, 1)),
            plain: PlainRun::default(),
            head: None,
            rows: BTreeMap::new(),
            inbox: Vec::new(),
            reported_spans: HashMap::new(),
            start_times: HashMap::new(),
            slot_starts: HashMap::new(),
            cursor: 0,
            version: 0,
            busy_until: None,
            step_end: 0.0,
            first_batch: None,
            idle_time: 0.0,
            step_times: Vec::new(),
        };
        Self {
            load,
            policy,
            start: Instant::now(),
            now: 0.0,
            rng: Pcg64::seed_from_u64(seed),
            engines,
            trainers: [trainer(), trainer()],
            failures: Vec::new(),
            length_draws: 0,
            generated_tokens: 0.0,
            used_lanes: 0.0,
            total_lanes: 0.0,
            lost_tokens: 0.0,
            staleness: Vec::new(),
            sample_ages: Vec::new(),
            delivered_tokens: 0.0,
            bound_violations: 0,
            ready_integral: 0.0,
        }
    }

    pub(super) fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }

    fn tick(&mut self) {
        self.now += TICK_SECS;
        for trainer in &self.trainers {
            let samples = trainer.rows.keys();
            let ready = samples
                .filter(|name| matches!(name, RowName::Sample(_)))
                .count();
            self.ready_integral += ready as f64 / self.load.step_samples() as f64 * TICK_SECS / 2.0;
        }
        self.lose_engine();
        self.swap_weights();
        for n in 0..self.engines.len() {
            if self.engines[n].alive {
                self.tick_engine(n);
            }
        }
        self.report_failures();
        self.share_lanes();
        for n in 0..2 {
            self.tick_trainer(n);
            self.tick_holder(n);
        }
    }

    fn tick_engine(&mut self, n: usize) {
        let (now, lanes) = (self.now, self.load.lanes);
        let generated = self.engines[n].advance(now, TICK_SECS, lanes);
        self.generated_tokens += generated;
        self.used_lanes += generated / (self.engines[n].speed * TICK_SECS);
        self.total_lanes += lanes as f64;
        let jobs = mem::take(&mut self.engines[n].jobs);
        for job in jobs {
            if let Some(job) = self.report_progress(job) {
                self.engines[n].jobs.push(job);
            }
        }
    }

    /// Reports a job's progress if a report is due, and returns the job unless it
    /// has finished.
    fn report_progress(&mut self, mut job: Job) -> Option<Job> {
        let finished = job.tokens >= job.length;
        let due = job.tokens - job.reported_tokens
            >= self.load.token_rate * REPORT_INTERVAL_SECS * self.load.slow_factor;
        match job.id {
            JobId::Generation(generation) if due || finished => {
                let tokens = whole_tokens(job.tokens);
                job.reported_tokens = job.tokens;
                let trainer = &mut self.trainers[job.run];
                // A span is not reported before its first token is complete.
                let spans: Vec<Span> = job
                    .spans
                    .iter()
                    .copied()
                    .filter(|span| span.first < tokens)
                    .collect();
                trainer.reported_spans.insert(generation, spans.clone());
                if let Some(started_at) = job.started_at {
                    trainer.start_times.entry(generation).or_insert(started_at);
                }
                let progress = Event::Progress {
                    generation,
                    tokens,
                    spans,
                };
                trainer.inbox.push((self.now, progress));
                if finished {
                    trainer.inbox.push((self.now, Event::Finished(generation)));
                }
            }
            JobId::Plain(_) if finished => self.trainers[job.run].plain.finished.push(Sample {
                tokens: job.tokens,
                spans: job.spans.clone(),
                started_at: job.started_at.unwrap_or(self.now),
            }),
            _ => {}
        }
        (!finished).then_some(job)
    }

    /// Loses the second engine at the load's `loss_point`.
    fn lose_engine(&mut self) {
        if !self.engines[1].alive || self.now < self.load.duration * self.load.loss_point {
            return;
        }
        self.engines[1].alive = false;
        for job in mem::take(&mut self.engines[1].jobs) {
            if let JobId::Generation(_) = job.id {
                self.lost_tokens += job.tokens - job.reported_tokens.max(job.prefix_tokens);
            }
            if let JobId::Plain(_) = job.id {
                self.trainers[job.run].plain.wasted_tokens += job.tokens;
            }
            self.failures
                .push((self.now + FAILURE_REPORT_SECS, job.run, job.id));
        }
    }

    /// Reports the failures that are due.
    fn report_failures(&mut self) {
        for (at, run, id) in mem::take(&mut self.failures) {
            if at > self.now {
                self.failures.push((at, run, id));
                continue;
            }
            match id {
                JobId::Generation(key) => self.trainers[run].inbox.push((at, Event::Failed(key))),
                JobId::Plain(n) => self.place_plain_job(run, n),
            }
        }
    }

    /// Starts swaps of weights on up to `max_swaps` engines at a time. A failed swap
    /// leaves the engine at its old version and is retried.
    fn swap_weights(&mut self) {
        for run in 0..2 {
            let version = self.trainers[run].version;
            let swapping = self
                .engines
                .iter()
                .filter(|e| e.swaps[run].is_some())
                .count();
            let mut free_swaps = self.load.max_swaps.saturating_sub(swapping);
            for engine in self.engines.iter_mut().filter(|engine| engine.alive) {
                if free_swaps == 0 || engine.versions[run] == version || engine.swaps[run].is_some()
                {
                    continue;
                }
                free_swaps -= 1;
                let failed = self.rng.random_bool(SWAP_FAILURE_SHARE);
                let result = if failed {
                    engine.versions[run]
                } else {
                    version
                };
                engine.swaps[run] = Some((self.now + self.load.swap_time, result));
            }
        }
    }

    /// Shares the live engines' lanes among the runs by their demand.
    fn share_lanes(&mut self) {
        let alive = self.engines.iter().filter(|engine| engine.alive).count();
        let demands = self
            .trainers
            .each_ref()
            .map(|t| t.run.as_ref().map_or(0, Run::demand));
        let limits = fair_shares(alive * self.load.lanes, &demands);
        let at = self.instant();
        for (trainer, limit) in self.trainers.iter_mut().zip(limits) {
            if let Some(run) = &mut trainer.run {
                run.handle(at, Event::LimitChanged(limit));
            }
        }
    }

    /// Draws the number of tokens of a sample.
    pub(super) fn draw_length(&mut self) -> f64 {
        self.length_draws += 1;
        let length = self.rng.random_range(SAMPLE_TOKENS).floor();
        if self.rng.random_range(0..LONG_SAMPLE_PERIOD) == 0 {
            length * 10.0
        } else {
            length
        }
    }

    /// Places a job on the live engine with the fewest jobs, except for `avoid`.
    pub(super) fn place_job(&mut self, job: Job, avoid: Option<usize>) {
        let alive = |n: &usize| self.engines[*n].alive && Some(*n) != avoid;
        let best = (0..self.engines.len())
            .filter(alive)
            .min_by_key(|n| self.engines[*n].jobs.len());
        if let Some(n) = best {
            self.engines[n].jobs.push(job);
        }
    }

    pub(super) fn place_plain_job(&mut self, run: usize, n: usize) {
        let length = self.draw_length();
        let job = new_job(run, JobId::Plain(n), length);
        self.place_job(job, None);
    }
}

pub(super) const fn new_job(run: usize, id: JobId, length: f64) -> Job {
    Job {
        run,
        id,
        urgent: false,
        prefix_tokens: 0.0,
        tokens: 0.0,
        length,
        spans: Vec::new(),
        reported_tokens: 0.0,
        started_at: None,
    }
}
