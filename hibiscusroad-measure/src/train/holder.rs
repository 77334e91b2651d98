//! The holders of the runs: they carry out what the core wants done.

use super::{
    driver::{Model, TURN, Trainer, job},
    engine::{Id, Job},
    load::Policy,
};
use hibiscusroad::train::{Action, Event, GenerationKey, Run, Write};
use std::mem;

/// Seconds after which a call of the table is given up.
const LIMIT: f64 = 1.5;
/// Seconds that a scorer takes.
const SCORING: f64 = 1.0;

impl Model<'_> {
    /// Says whether the table gives no answer now.
    fn is_down(&self) -> bool {
        let from = self.load.span / 2.0;
        let down = (from..from + self.load.outage).contains(&self.now);
        down && self.policy == Policy::Ours
    }

    pub(super) fn hold(&mut self, n: usize) {
        let at = self.instant();
        let now = self.now;
        let inbox = mem::take(&mut self.trainers[n].inbox);
        let (due, later): (Vec<_>, Vec<_>) = inbox.into_iter().partition(|(at, _)| *at <= now);
        self.trainers[n].inbox = later;
        let Some(mut run) = self.trainers[n].run.take() else {
            return;
        };
        for (_, event) in due {
            run.handle(at, event);
        }
        run.handle(at, Event::Tick);
        while let Some(action) = run.next_action() {
            self.carry_out(n, &run, action);
        }
        self.trainers[n].run = Some(run);
    }

    fn carry_out(&mut self, n: usize, run: &Run, action: Action) {
        let now = self.now;
        let later = |model: &mut Self, after: f64, event: Event| {
            model.trainers[n].inbox.push((now + after, event));
        };
        match action {
            Action::ReadHead | Action::Write(_) if self.is_down() => {
                later(self, LIMIT, Event::CallFailed);
            }
            Action::ReadHead => {
                let head = self.trainers[n].head.clone();
                later(self, TURN, Event::Head(head));
            }
            Action::ReadRows => {
                let rows = self.trainers[n].rows.values().cloned().collect();
                later(self, TURN, Event::Rows(rows));
            }
            Action::Write(write) => {
                self.trainers[n].write(*write);
                later(self, TURN, Event::Committed);
            }
            Action::Start {
                generation,
                urgent,
                prefix,
                ..
            } => {
                let from = prefix.map(|prefix| prefix.generation);
                let first = prefix.map_or(0.0, |prefix| f64::from(prefix.tokens));
                let mut length = self.draw();
                while length <= first {
                    // What is longer than the prefix is drawn as it would go on.
                    length = self.draw();
                }
                let mut job = job(n, Id::Ours(generation), length);
                job.urgent = urgent;
                job.first = first;
                job.tokens = first;
                job.told = first;
                if let Some(begun) = from.and_then(|from| self.trainers[n].begun.get(&from)) {
                    let begun = *begun;
                    self.trainers[n].begun.insert(generation, begun);
                }
                let avoid = from.and_then(|from| self.find(n, from));
                self.place(job, avoid.map(|(engine, _)| engine));
            }
            Action::Prioritize(key) => {
                if let Some((engine, i)) = self.find(n, key) {
                    self.engines[engine].jobs[i].urgent = true;
                }
            }
            Action::Cancel(key) => {
                if let Some((engine, i)) = self.find(n, key) {
                    let job = self.engines[engine].jobs.remove(i);
                    self.lost += job.tokens - job.told;
                }
            }
            Action::Score { generation, slot } => {
                let begun = self.trainers[n].begun.get(&generation).copied();
                let age = begun.unwrap_or(now);
                self.trainers[n].ages.insert((slot.group, slot.index), age);
                later(
                    self,
                    SCORING,
                    Event::Scored {
                        generation,
                        score: 1.0,
                    },
                );
            }
            Action::DiscardTexts(_) => {}
            Action::Answer(_, answer) => self.answer(n, run, answer),
        }
    }

    fn find(&self, run: usize, key: GenerationKey) -> Option<(usize, usize)> {
        let is = |job: &Job| job.run == run && job.id == Id::Ours(key);
        let mut all = self.engines.iter().enumerate();
        all.find_map(|(n, engine)| engine.jobs.iter().position(is).map(|i| (n, i)))
    }
}

impl Trainer {
    fn write(&mut self, write: Write) {
        for name in &write.deletes {
            self.rows.remove(name);
        }
        for row in write.puts {
            self.rows.insert(row.name(), row);
        }
        self.head = Some((write.expected_version + 1, write.head));
    }
}
