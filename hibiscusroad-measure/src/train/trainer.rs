//! The trainers: their steps, and the figures of delivered samples.

use super::{
    driver::{LONG_SAMPLE_PERIOD, OWNER, SAMPLE_TOKENS, Simulation, TICK_SECS},
    score::{Score, quantile, summarize},
};
use hibiscusroad::train::{Answer, Event, Run, Ticket};
use std::mem;

impl Simulation<'_> {
    /// Handles the answer of a run to its trainer.
    pub(super) fn handle_answer(&mut self, n: usize, run: &Run, answer: Answer) {
        match answer {
            Answer::Batch(batch) => {
                for record in &batch.records {
                    let slot = (record.slot.group, record.slot.index);
                    let start_time = self.trainers[n]
                        .slot_starts
                        .remove(&slot)
                        .unwrap_or(self.now);
                    self.record_delivery(
                        n,
                        record.oldest_version(),
                        f64::from(record.tokens),
                        start_time,
                    );
                }
                self.start_step(n);
            }
            Answer::NotYet => self.request_batch(n),
            Answer::Recorded => {
                self.trainers[n].version = run.head().version;
                self.trainers[n].cursor += 1;
                self.request_batch(n);
            }
            Answer::Refused(kind) => panic!("refused: {kind:?}"),
        }
    }

    /// Records a delivered sample.
    fn record_delivery(&mut self, n: usize, oldest: Option<u64>, tokens: f64, start_time: f64) {
        let version = self.trainers[n].version;
        let behind = version - oldest.unwrap_or(version);
        if behind > self.load.spec.max_staleness {
            self.bound_violations += 1;
        }
        self.staleness.push(behind as f64);
        self.sample_ages.push(self.now - start_time);
        self.delivered_tokens += tokens;
    }

    /// Starts a trainer's step on a batch that it received.
    fn start_step(&mut self, n: usize) {
        let now = self.now;
        let trainer = &mut self.trainers[n];
        trainer.busy_until = Some(now + self.load.compute_time[n]);
        if trainer.first_batch.is_some() {
            trainer.idle_time += now - trainer.step_end;
        } else {
            trainer.first_batch = Some(now);
        }
    }

    /// Requests the next batch from a trainer's run.
    fn request_batch(&mut self, n: usize) {
        let cursor = self.trainers[n].cursor;
        let event = Event::Pulled {
            ticket: Ticket(cursor),
            owner: OWNER,
            cursor,
        };
        self.trainers[n].inbox.push((self.now + TICK_SECS, event));
    }

    /// Ends a trainer's step if it is due, and requests or takes the next batch.
    pub(super) fn tick_trainer(&mut self, n: usize) {
        let now = self.now;
        let step_samples = self.load.step_samples();
        if self.trainers[n]
            .busy_until
            .is_some_and(|until| until <= now)
        {
            let compute_time = self.load.compute_time[n];
            let version_steps = self.load.version_steps;
            let trainer = &mut self.trainers[n];
            trainer.busy_until = None;
            trainer
                .step_times
                .push(compute_time + (now - compute_time - trainer.step_end).max(0.0));
            trainer.step_end = now;
            let cursor = trainer.cursor;
            let version_rises = (cursor + 1).is_multiple_of(version_steps);
            let version = trainer.version + u64::from(version_rises);
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
            if self.trainers[n].first_batch.is_none() && now <= 1.5 * TICK_SECS {
                self.request_batch(n);
            }
            return;
        }
        if !self.trainers[n].plain.started {
            self.trainers[n].plain.started = true;
            for i in 0..step_samples {
                self.place_plain_job(n, i);
            }
        }
        if self.trainers[n].busy_until.is_none()
            && self.trainers[n].plain.finished.len() == step_samples
        {
            let finished = mem::take(&mut self.trainers[n].plain.finished);
            for sample in finished {
                let oldest = sample.spans.iter().map(|span| span.version).min();
                self.record_delivery(n, oldest, sample.tokens, sample.started_at);
            }
            self.trainers[n].plain.started = false;
            self.start_step(n);
        }
    }

    /// Returns the results.
    pub(super) fn score(self) -> Score {
        let mut steps: Vec<f64> = self
            .trainers
            .iter()
            .flat_map(|t| t.step_times[1..].to_vec())
            .collect();
        steps.sort_by(f64::total_cmp);
        let total_time: f64 = self
            .trainers
            .iter()
            .map(|t| t.step_end - t.first_batch.unwrap_or(t.step_end))
            .sum();
        let idle: f64 = self.trainers.iter().map(|t| t.idle_time).sum();
        let mean = self.trainers.each_ref().map(|t| {
            let steps = &t.step_times[1..];
            steps.iter().sum::<f64>() / steps.len().max(1) as f64
        });
        // A step takes at least the trainer's compute time. The engines are fast
        // enough for this load that it need not take longer.
        let step_ratio = f64::midpoint(
            mean[0] / self.load.compute_time[0],
            mean[1] / self.load.compute_time[1],
        );
        let run_wasted: f64 = self
            .trainers
            .iter()
            .filter_map(|t| t.run.as_ref())
            .map(|run| run.counts().wasted as f64)
            .sum();
        let runs = self.trainers.iter().filter_map(|t| t.run.as_ref());
        let dropped: u64 = runs.map(|run| run.counts().dropped).sum();
        let count = self.staleness.len().max(1) as f64;
        let plain_wasted: f64 = self.trainers.iter().map(|t| t.plain.wasted_tokens).sum();
        let mean_length = f64::midpoint(SAMPLE_TOKENS.start, SAMPLE_TOKENS.end)
            * (1.0 + 9.0 / LONG_SAMPLE_PERIOD as f64);
        Score {
            idle_share: idle / total_time,
            step_ratio,
            length_ratio: self.delivered_tokens / count / mean_length,
            staleness: summarize(self.staleness),
            sample_age: summarize(self.sample_ages),
            wasted_share: (run_wasted + plain_wasted + self.lost_tokens) / self.generated_tokens,
            step_time: [quantile(&steps, 0.5), quantile(&steps, 0.99)],
            lane_usage: self.used_lanes / self.total_lanes,
            batches: steps.len() + 2,
            dropped_ratio: dropped as f64 / count,
            ready_share: self.ready_integral / self.now,
            bound_violations: self.bound_violations,
        }
    }
}
