//! Generations: start, progress, end and failure.

use crate::train::{
    GenerationKey,
    event::{Action, Prefix},
    journal::Change,
    row::{Record, Slot, Span},
    run::Run,
    sample::{Generation, Phase, Sample, Text},
};
use std::time::Instant;

impl Run {
    pub(crate) fn sample_mut(&mut self, slot: Slot) -> Option<&mut Sample> {
        let index = usize::try_from(slot.index).ok()?;
        self.groups.get_mut(&slot.group)?.samples.get_mut(index)
    }

    /// Returns the oldest version that the next batch may contain.
    pub(crate) fn min_version(&self) -> u64 {
        self.head().version.saturating_sub(self.spec.max_staleness)
    }

    /// Starts waiting samples in the order of prompts, up to the run's share of the
    /// engines.
    pub(crate) fn start_samples(&mut self, now: Instant) {
        let running = self.generations.values().filter(|g| !g.finished).count();
        let free = self.max_running.saturating_sub(running);
        let mut waiting = Vec::new();
        for (number, group) in &self.groups {
            for (index, sample) in (0..).zip(&group.samples) {
                if waiting.len() >= free {
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
            let Some(base) = self.sample_mut(slot).map(|sample| sample.prefix.clone()) else {
                continue;
            };
            let main = self.start_generation(now, slot, base, false);
            if let Some(sample) = self.sample_mut(slot) {
                sample.phase = Phase::Running { main, hedge: None };
            }
        }
    }

    pub(crate) fn start_generation(
        &mut self,
        now: Instant,
        slot: Slot,
        base: Text,
        is_hedge: bool,
    ) -> GenerationKey {
        let urgent = is_hedge || self.is_urgent(slot.group);
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
        self.actions.push_back(Action::Start {
            generation,
            slot,
            urgent,
            prefix,
            min_version: self.min_version(),
        });
        generation
    }

    /// Handles the progress that an engine reported.
    pub(crate) fn handle_progress(
        &mut self,
        now: Instant,
        key: GenerationKey,
        tokens: u32,
        spans: &[Span],
    ) {
        let min_version = self.min_version();
        let Some(generation) = self.generations.get_mut(key) else {
            return;
        };
        if generation.finished || tokens < generation.text.tokens {
            return;
        }
        let slot = generation.slot;
        let Some(text) = generation.base.extended(tokens, spans) else {
            self.discard_generation(key);
            return;
        };
        self.counts.tokens += u64::from(tokens - generation.text.tokens);
        generation.record_report(now, key, text);
        if generation
            .text
            .oldest_version()
            .is_none_or(|version| version >= min_version)
        {
            self.promote_hedge(key);
        } else if self.is_hedge(slot, key) {
            self.remove_hedge(slot, key);
            self.actions.push_back(Action::Cancel(key));
        } else {
            self.restart_sample(slot);
        }
    }

    /// Discards a generation whose tokens have no known version. The sample continues
    /// from the text before it.
    fn discard_generation(&mut self, key: GenerationKey) {
        if let Some(generation) = self.generations.get_mut(key) {
            let new_tokens = generation.text.tokens - generation.base.tokens;
            self.counts.wasted += u64::from(new_tokens);
            generation.text = generation.base.clone();
        }
        self.actions.push_back(Action::Cancel(key));
        self.handle_failed(key);
    }

    fn is_hedge(&mut self, slot: Slot, key: GenerationKey) -> bool {
        let phase = self.sample_mut(slot).map(|sample| &sample.phase);
        matches!(phase, Some(Phase::Running { hedge: Some(hedge), .. }) if *hedge == key)
    }

    /// Removes a hedge; the original generation continues.
    pub(crate) fn remove_hedge(&mut self, slot: Slot, key: GenerationKey) {
        self.remove_generation(key);
        if let Some(sample) = self.sample_mut(slot)
            && let Phase::Running { hedge, .. } = &mut sample.phase
        {
            *hedge = None;
        }
    }

    pub(crate) fn handle_finished(&mut self, now: Instant, key: GenerationKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        let duration = now.saturating_duration_since(generation.started);
        let token_rate = generation.token_rate(now);
        // A hedge that ends before it is longer than the original is discarded,
        // since choosing it would favour short samples.
        if self.is_hedge(slot, key) {
            self.remove_hedge(slot, key);
            return;
        }
        let Some(Phase::Running { hedge, .. }) = self.sample_mut(slot).map(|s| s.phase.clone())
        else {
            return;
        };
        if let Some(hedge) = hedge {
            self.cancel(hedge);
        }
        self.pace.sample_finished(duration, token_rate);
        if let Some(generation) = self.generations.get_mut(key) {
            generation.finished = true;
        }
        self.set_phase(slot, Phase::Scoring(key));
        self.actions.push_back(Action::Score {
            generation: key,
            slot,
        });
    }

    /// Handles a failed generation. The sample continues from its text.
    pub(crate) fn handle_failed(&mut self, key: GenerationKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let (slot, text) = (generation.slot, generation.text.clone());
        if self.is_hedge(slot, key) {
            self.remove_hedge(slot, key);
            return;
        }
        let Some(Phase::Running { hedge, .. }) = self.sample_mut(slot).map(|s| s.phase.clone())
        else {
            return;
        };
        // The hedge is behind. Continuing from the original's text avoids a choice
        // between two lengths.
        if let Some(hedge) = hedge {
            self.cancel(hedge);
        }
        self.generations.remove(key);
        if let Some(sample) = self.sample_mut(slot) {
            sample.prefix = text;
            sample.phase = Phase::Waiting;
        }
    }

    pub(crate) fn handle_score(&mut self, key: GenerationKey, score: f64) {
        if !score.is_finite() {
            self.retry_score(key);
            return;
        }
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        if self.sample_mut(slot).map(|s| &s.phase) != Some(&Phase::Scoring(key)) {
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
        self.set_phase(slot, Phase::Writing(record));
    }

    pub(crate) fn retry_score(&mut self, key: GenerationKey) {
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let slot = generation.slot;
        if self.sample_mut(slot).map(|s| &s.phase) == Some(&Phase::Scoring(key)) {
            self.actions.push_back(Action::Score {
                generation: key,
                slot,
            });
        }
    }

    /// Drops a sample that exceeds the staleness bound. It is generated again.
    pub(crate) fn restart_sample(&mut self, slot: Slot) {
        let Some(sample) = self.sample_mut(slot) else {
            return;
        };
        let dropped = std::mem::take(sample);
        self.actions.push_back(Action::DiscardTexts(slot));
        let tokens = match dropped.phase {
            Phase::Waiting => dropped.prefix.tokens,
            Phase::Running { main, hedge } => {
                if let Some(hedge) = hedge {
                    self.cancel(hedge);
                }
                let tokens = self.generations.get(main).map_or(0, |g| g.text.tokens);
                self.generations.remove(main);
                self.actions.push_back(Action::Cancel(main));
                tokens
            }
            Phase::Scoring(key) => self.generations.remove(key).map_or(0, |g| g.text.tokens),
            Phase::Writing(record) | Phase::Recorded(record) => record.tokens,
        };
        self.counts.wasted += u64::from(tokens);
        self.counts.dropped += 1;
        self.journal.add(Change::DropSample(slot));
    }

    /// Cancels a generation; its tokens beyond its base are wasted.
    pub(crate) fn cancel(&mut self, key: GenerationKey) {
        self.remove_generation(key);
        self.actions.push_back(Action::Cancel(key));
    }

    /// Removes a generation; its tokens beyond its base are wasted.
    pub(crate) fn remove_generation(&mut self, key: GenerationKey) {
        if let Some(generation) = self.generations.remove(key) {
            let new_tokens = generation.text.tokens - generation.base.tokens;
            self.counts.wasted += u64::from(new_tokens);
        }
    }

    pub(crate) fn set_phase(&mut self, slot: Slot, phase: Phase) {
        if let Some(sample) = self.sample_mut(slot) {
            sample.phase = phase;
        }
    }
}
