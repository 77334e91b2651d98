//! The holders of the runs, which execute the actions of each run.

use super::{
    driver::{Simulation, TICK_SECS, Trainer, new_job},
    engine::{Job, JobId},
    load::Policy,
};
use hibiscusroad::train::{Action, Event, GenerationKey, Run, Write};
use std::mem;

/// Timeout of a call of the table, in seconds.
const TABLE_TIMEOUT_SECS: f64 = 1.5;
/// Seconds until a sample is scored.
const SCORING_SECS: f64 = 1.0;

impl Simulation<'_> {
    /// Returns whether the table is down for the policy.
    fn is_table_down(&self) -> bool {
        let from = self.load.duration / 2.0;
        let down = (from..from + self.load.outage).contains(&self.now);
        down && self.policy == Policy::Ours
    }

    /// Passes the events that are due to a run and executes its actions.
    pub(super) fn tick_holder(&mut self, n: usize) {
        let at = self.instant();
        let now = self.now;
        let inbox = mem::take(&mut self.trainers[n].inbox);
        let (due, pending): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|(at, _)| *at <= now);
        self.trainers[n].inbox = pending;
        let Some(mut run) = self.trainers[n].run.take() else {
            return;
        };
        for (_, event) in due {
            run.handle(at, event);
        }
        run.handle(at, Event::Tick);
        while let Some(action) = run.next_action() {
            self.execute_action(n, &run, action);
        }
        self.trainers[n].run = Some(run);
    }

    fn execute_action(&mut self, n: usize, run: &Run, action: Action) {
        let now = self.now;
        let schedule = |simulation: &mut Self, delay: f64, event: Event| {
            simulation.trainers[n].inbox.push((now + delay, event));
        };
        match action {
            Action::ReadHead | Action::Write(_) if self.is_table_down() => {
                schedule(self, TABLE_TIMEOUT_SECS, Event::CallFailed);
            }
            Action::ReadHead => {
                let head = self.trainers[n].head.clone();
                schedule(self, TICK_SECS, Event::Head(head));
            }
            Action::ReadRows => {
                let rows = self.trainers[n].rows.values().cloned().collect();
                schedule(self, TICK_SECS, Event::Rows(rows));
            }
            Action::Write(write) => {
                self.trainers[n].apply_write(*write);
                schedule(self, TICK_SECS, Event::Committed);
            }
            Action::Start {
                generation,
                urgent,
                prefix,
                ..
            } => {
                let prefix_generation = prefix.map(|prefix| prefix.generation);
                let prefix_tokens = prefix.map_or(0.0, |prefix| f64::from(prefix.tokens));
                let mut length = self.draw_length();
                while length <= prefix_tokens {
                    // The sample is longer than its prefix.
                    length = self.draw_length();
                }
                let mut job = new_job(n, JobId::Generation(generation), length);
                job.urgent = urgent;
                job.prefix_tokens = prefix_tokens;
                job.tokens = prefix_tokens;
                job.reported_tokens = prefix_tokens;
                if let Some(start_time) =
                    prefix_generation.and_then(|key| self.trainers[n].start_times.get(&key))
                {
                    let start_time = *start_time;
                    self.trainers[n].start_times.insert(generation, start_time);
                }
                let avoid = prefix_generation.and_then(|key| self.find_job(n, key));
                self.place_job(job, avoid.map(|(engine, _)| engine));
            }
            Action::Prioritize(key) => {
                if let Some((engine, i)) = self.find_job(n, key) {
                    self.engines[engine].jobs[i].urgent = true;
                }
            }
            Action::Cancel(key) => {
                if let Some((engine, i)) = self.find_job(n, key) {
                    let job = self.engines[engine].jobs.remove(i);
                    self.lost_tokens += job.tokens - job.reported_tokens;
                }
            }
            Action::Score { generation, slot } => {
                let start_time = self.trainers[n].start_times.get(&generation).copied();
                let start_time = start_time.unwrap_or(now);
                self.trainers[n]
                    .slot_starts
                    .insert((slot.group, slot.index), start_time);
                schedule(
                    self,
                    SCORING_SECS,
                    Event::Scored {
                        generation,
                        score: 1.0,
                    },
                );
            }
            Action::DiscardTexts(_) => {}
            Action::Answer(_, answer) => self.handle_answer(n, run, answer),
        }
    }

    /// Returns the engine of a generation and its index among the jobs.
    fn find_job(&self, run: usize, key: GenerationKey) -> Option<(usize, usize)> {
        let is_job = |job: &Job| job.run == run && job.id == JobId::Generation(key);
        let mut engines = self.engines.iter().enumerate();
        engines.find_map(|(n, engine)| engine.jobs.iter().position(is_job).map(|i| (n, i)))
    }
}

impl Trainer {
    fn apply_write(&mut self, write: Write) {
        for name in &write.deletes {
            self.rows.remove(name);
        }
        for row in write.puts {
            self.rows.insert(row.name(), row);
        }
        self.head = Some((write.expected_version + 1, write.head));
    }
}
