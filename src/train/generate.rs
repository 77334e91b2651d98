//! Generations: start, report, finish, and what breaks.

use crate::train::{
    GenKey,
    event::{Prefix, Step},
    journal::Change,
    row::{Record, Slot, Span},
    run::Run,
    sample::{Generation, Phase, Sample, Text},
};
use std::time::Instant;

impl Run {
    pub(crate) fn sample(&mut self, slot: Slot) -> Option<&mut Sample> {
        let index = usize::try_from(slot.index).ok()?;
        self.groups.get_mut(&slot.group)?.samples.get_mut(index)
    }

    /// Returns the oldest version that the next batch may hold.
    pub(crate) fn floor(&self) -> u64 {
        self.head().version.saturating_sub(self.spec.bound)
    }

    /// Starts waiting samples in prompt order, up to the share of the engines.
    pub(crate) fn start_samples(&mut self, now: Instant) {
        let running = self.generations.values().filter(|g| !g.finished).count();
        let room = self.max_running.saturating_sub(running);
        let mut waiting = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if waiting.len() >= room {
                    break;
                }
                if sample.phase == Phase::Waiting {
                    waiting.push(Slot {
                        group: *number,
                        index,
                    });
                }
            }
        }
        for slot in waiting {
            let Some(base) = self.sample(slot).map(|sample| sample.prefix.clone()) else {
                continue;
            };
            let main = self.launch(now, slot, base, false);
            if let Some(sample) = self.sample(slot) {
                sample.phase = Phase::Running { main, hedge: None };
            }
        }
    }

    pub(crate) fn launch(&mut self, now: Instant, slot: Slot, base: Text, hurried: bool) -> GenKey {
        let urgent = hurried || self.is_urgent(slot.group);
        let prefix = base.source.map(|generation| Prefix {
            generation,
            tokens: base.tokens,
        });
        self.last_serial += 1;
        self.counts.started += 1;
        let generation = self.generations.insert(Generation {
            slot,
            serial: self.last_serial,
            urgent,
            text: base.clone(),
            base,
            started: now,
            reports: None,
            finished: false,
        });
        self.steps.push_back(Step::Start {
            generation,
            slot,
            urgent,
            prefix,
            min_version: self.floor(),
        });
        generation
    }

    /// Takes in what an engine reported.
    pub(crate) fn progress(&mut self, now: Instant, key: GenKey, tokens: u32, spans: &[Span]) {
        let floor = self.floor();
        let Some(generation) = self.generations.get_mut(key) else {
            return;
        };
        if generation.finished || tokens < generation.text.tokens {
            return;
        }
        let slot = generation.slot;
        let Some(text) = generation.base.extended(tokens, spans) else {
            self.distrust(key);
            return;
        };
        self.counts.tokens += u64::from(tokens - generation.text.tokens);
        generation.record_report(now, key, text);
        if generation
            .text
            .oldest_version()
            .is_none_or(|old| old >= floor)
        {
            self.overtake(key);
        } else if self.is_copy(slot, key) {
            self.drop_copy(slot, key);
            self.steps.push_back(Step::Cancel(key));
        } else {
            self.renew(slot);
        }
    }

    /// Throws away a generation of which nobody knows what made its tokens; the
    /// sample goes on from what was there before it.
    fn distrust(&mut self, key: GenKey) {
        if let Some(generation) = self.generations.get_mut(key) {
            let own = generation.text.tokens - generation.base.tokens;
            self.counts.wasted += u64::from(own);
            generation.text = generation.base.clone();
        }
        self.steps.push_back(Step::Cancel(key));
        self.fail(key);
    }

    fn is_copy(&mut self, slot: Slot, key: GenKey) -> bool {
        let phase = self.sample(slot).map(|sample| &sample.phase);
        matches!(phase, Some(Phase::Running { hedge: Some(hedge), .. }) if *hedge == key)
    }

    /// Lets go of a second copy; the first one goes on.
    pub(crate) fn drop_copy(&mut self, slot: Slot, key: GenKey) {
        self.forget(key);
        if let Some(sample) = self.sample(slot)
            && let Phase::Running { hedge, .. } = &mut sample.phase
        {
            *hedge = None;
        }
    }

    pub(crate) fn finish(&mut self, now: Instant, key: GenKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        let took = now.saturating_duration_since(generation.started);
        let rate = generation.token_rate(now);
        // A second copy that ends before it has passed the first one's length
        // is not taken: it would win by being short.
        if self.is_copy(slot, key) {
            self.drop_copy(slot, key);
            return;
        }
        let Some(Phase::Running { hedge, .. }) = self.sample(slot).map(|s| s.phase.clone()) else {
            return;
        };
        if let Some(hedge) = hedge {
            self.cancel(hedge);
        }
        self.pace.sample_finished(took, rate);
        if let Some(generation) = self.generations.get_mut(key) {
            generation.finished = true;
        }
        self.set(slot, Phase::Scoring(key));
        self.steps.push_back(Step::Score {
            generation: key,
            slot,
        });
    }

    /// Notes that a generation broke off; the sample goes on from its prefix.
    pub(crate) fn fail(&mut self, key: GenKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let (slot, text) = (generation.slot, generation.text.clone());
        if self.is_copy(slot, key) {
            self.drop_copy(slot, key);
            return;
        }
        let Some(Phase::Running { hedge, .. }) = self.sample(slot).map(|s| s.phase.clone()) else {
            return;
        };
        // The second copy is behind; going on from the first one's text keeps
        // the sample free of a choice between two lengths.
        if let Some(hedge) = hedge {
            self.cancel(hedge);
        }
        self.generations.remove(key);
        if let Some(sample) = self.sample(slot) {
            sample.prefix = text;
            sample.phase = Phase::Waiting;
        }
    }

    pub(crate) fn score(&mut self, key: GenKey, score: f64) {
        if !score.is_finite() {
            self.retry_score(key);
            return;
        }
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        if self.sample(slot).map(|s| &s.phase) != Some(&Phase::Scoring(key)) {
            return;
        }
        let Some(generation) = self.generations.remove(key) else {
            return;
        };
        let record = Record {
            slot,
            spans: generation.text.spans,
            tokens: generation.text.tokens,
            score,
            fence: self.journal.fence(),
            serial: generation.serial,
        };
        self.journal.add(Change::AddSample(record.clone()));
        self.set(slot, Phase::Writing(record));
    }

    pub(crate) fn retry_score(&mut self, key: GenKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        if self.sample(slot).map(|s| &s.phase) == Some(&Phase::Scoring(key)) {
            self.steps.push_back(Step::Score {
                generation: key,
                slot,
            });
        }
    }

    /// Drops a sample that is over the bound, and has it generated anew.
    pub(crate) fn renew(&mut self, slot: Slot) {
        let Some(sample) = self.sample(slot) else {
            return;
        };
        let old = std::mem::take(sample);
        self.steps.push_back(Step::Release(slot));
        let tokens = match old.phase {
            Phase::Waiting => old.prefix.tokens,
            Phase::Running { main, hedge } => {
                if let Some(hedge) = hedge {
                    self.cancel(hedge);
                }
                let tokens = self.generations.get(main).map_or(0, |g| g.text.tokens);
                self.generations.remove(main);
                self.steps.push_back(Step::Cancel(main));
                tokens
            }
            Phase::Scoring(key) => self.generations.remove(key).map_or(0, |g| g.text.tokens),
            Phase::Writing(record) | Phase::Recorded(record) => record.tokens,
        };
        self.counts.wasted += u64::from(tokens);
        self.counts.dropped += 1;
        self.journal.add(Change::DropSample(slot));
    }

    /// Stops a generation whose tokens beyond its base are lost.
    pub(crate) fn cancel(&mut self, key: GenKey) {
        self.forget(key);
        self.steps.push_back(Step::Cancel(key));
    }

    pub(crate) fn forget(&mut self, key: GenKey) {
        if let Some(generation) = self.generations.remove(key) {
            let own = generation.text.tokens - generation.base.tokens;
            self.counts.wasted += u64::from(own);
        }
    }

    pub(crate) fn set(&mut self, slot: Slot, phase: Phase) {
        if let Some(sample) = self.sample(slot) {
            sample.phase = phase;
        }
    }
}
