//! The trainers: they work, wait and count what they get.

use super::{
    driver::{LENGTH, Model, OWNER, TAIL, TURN},
    score::{Score, quantile, spread},
};
use hibiscusroad::train::{Answer, Event, Run, Ticket};
use std::mem;

impl Model<'_> {
    pub(super) fn answer(&mut self, n: usize, run: &Run, answer: Answer) {
        match answer {
            Answer::Batch(batch) => {
                for record in &batch.records {
                    let slot = (record.slot.group, record.slot.index);
                    let begun = self.trainers[n].ages.remove(&slot).unwrap_or(self.now);
                    self.deliver(n, record.oldest_version(), f64::from(record.tokens), begun);
                }
                self.work(n);
            }
            Answer::NotYet => self.pull(n),
            Answer::Recorded => {
                self.trainers[n].version = run.head().version;
                self.trainers[n].cursor += 1;
                self.pull(n);
            }
            Answer::Refused(kind) => panic!("refused: {kind:?}"),
        }
    }

    fn deliver(&mut self, n: usize, oldest: Option<u64>, tokens: f64, begun: f64) {
        let version = self.trainers[n].version;
        let behind = version - oldest.unwrap_or(version);
        if behind > self.load.spec.max_staleness {
            self.broken += 1;
        }
        self.stale.push(behind as f64);
        self.age.push(self.now - begun);
        self.delivered += tokens;
    }

    /// The trainer begins to work on a batch.
    fn work(&mut self, n: usize) {
        let now = self.now;
        let trainer = &mut self.trainers[n];
        trainer.busy = Some(now + self.load.compute[n]);
        if trainer.first.is_some() {
            trainer.idle += now - trainer.since;
        } else {
            trainer.first = Some(now);
        }
    }

    fn pull(&mut self, n: usize) {
        let cursor = self.trainers[n].cursor;
        let event = Event::Pulled {
            ticket: Ticket(cursor),
            owner: OWNER,
            cursor,
        };
        self.trainers[n].inbox.push((self.now + TURN, event));
    }

    pub(super) fn train(&mut self, n: usize) {
        let now = self.now;
        let samples = self.load.samples();
        if self.trainers[n].busy.is_some_and(|until| until <= now) {
            let compute = self.load.compute[n];
            let between = self.load.between;
            let trainer = &mut self.trainers[n];
            trainer.busy = None;
            trainer
                .steps
                .push(compute + (now - compute - trainer.since).max(0.0));
            trainer.since = now;
            let cursor = trainer.cursor;
            let bump = (cursor + 1).is_multiple_of(between);
            let version = trainer.version + u64::from(bump);
            if trainer.run.is_some() {
                let ticket = Ticket(cursor);
                let done = Event::Done {
                    ticket,
                    owner: OWNER,
                    cursor,
                    version,
                };
                trainer.inbox.push((now, done));
            } else {
                trainer.version = version;
                trainer.cursor += 1;
            }
        }
        if self.trainers[n].run.is_some() {
            if self.trainers[n].first.is_none() && now <= 1.5 * TURN {
                self.pull(n);
            }
            return;
        }
        if !self.trainers[n].plain.started {
            self.trainers[n].plain.started = true;
            for i in 0..samples {
                self.place_plain(n, i);
            }
        }
        if self.trainers[n].busy.is_none() && self.trainers[n].plain.done.len() == samples {
            let done = mem::take(&mut self.trainers[n].plain.done);
            for sample in done {
                let oldest = sample.spans.iter().map(|span| span.version).min();
                self.deliver(n, oldest, sample.tokens, sample.begun);
            }
            self.trainers[n].plain.started = false;
            self.work(n);
        }
    }

    pub(super) fn score(self) -> Score {
        let mut steps: Vec<f64> = self
            .trainers
            .iter()
            .flat_map(|t| t.steps[1..].to_vec())
            .collect();
        steps.sort_by(f64::total_cmp);
        let time: f64 = self
            .trainers
            .iter()
            .map(|t| t.since - t.first.unwrap_or(t.since))
            .sum();
        let idle: f64 = self.trainers.iter().map(|t| t.idle).sum();
        let mean = self.trainers.each_ref().map(|t| {
            let steps = &t.steps[1..];
            steps.iter().sum::<f64>() / steps.len().max(1) as f64
        });
        // The engines suffice for this load, so a step can't be shorter than
        // the trainer's own work, and needn't be longer.
        let over = f64::midpoint(
            mean[0] / self.load.compute[0],
            mean[1] / self.load.compute[1],
        );
        let counted: f64 = self
            .trainers
            .iter()
            .filter_map(|t| t.run.as_ref())
            .map(|run| run.counts().wasted as f64)
            .sum();
        let runs = self.trainers.iter().filter_map(|t| t.run.as_ref());
        let dropped: u64 = runs.map(|run| run.counts().dropped).sum();
        let count = self.stale.len().max(1) as f64;
        let plain: f64 = self.trainers.iter().map(|t| t.plain.wasted).sum();
        let expected = f64::midpoint(LENGTH.start, LENGTH.end) * (1.0 + 9.0 / TAIL as f64);
        Score {
            idle: idle / time,
            over,
            length: self.delivered / count / expected,
            stale: spread(self.stale),
            age: spread(self.age),
            wasted: (counted + plain + self.lost) / self.made,
            step: [quantile(&steps, 0.5), quantile(&steps, 0.99)],
            used: self.used / self.lanes,
            batches: steps.len() + 2,
            dropped: dropped as f64 / count,
            ready: self.ready / self.now,
            broken: self.broken,
        }
    }
}
