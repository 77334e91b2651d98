//! Stragglers: slow samples are prioritized and hedged, never replaced by shorter ones.
//!
//! A step whose last samples are slow stalls the trainer, but a batch of the first
//! samples to finish would bias training to short answers. So the work on a slow sample
//! is sped up:
//!
//! * The groups that the next batch still needs go before others.
//! * A generation on a slow or silent engine gets a hedge on another engine, from the
//!   same prefix. The hedge replaces the original once it is longer, while both still
//!   run. At that point neither final length is known, so the choice has no bias. A
//!   hedge that ends earlier is discarded.

use crate::train::{
    GenerationKey,
    event::Action,
    row::Slot,
    run::{Group, Run},
    sample::{Generation, Phase},
};
use std::time::{Duration, Instant};

/// A generation below this share of the usual token rate is slow.
const SLOW_RATE_RATIO: f64 = 0.5;

/// Without a report for this time, the engine or the connection is considered lost.
/// Reports normally come several times per second.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a generation runs before its token rate is compared.
const WARMUP_DURATION: Duration = Duration::from_secs(5);

/// The share of a batch that must be complete before the rest is urgent. Otherwise all
/// groups would be urgent.
const URGENT_THRESHOLD: f64 = 0.5;

impl Run {
    /// Returns whether this group was meant for the next batch or an earlier one.
    pub(crate) fn is_due(&self, group: u64) -> bool {
        group / u64::from(self.spec.step_groups.max(1)) <= self.head().next_cursor
    }

    /// Returns whether this group is overdue, or is needed for a batch that is mostly
    /// complete.
    pub(crate) fn is_urgent(&self, group: u64) -> bool {
        let batch_size = u64::from(self.spec.step_groups.max(1));
        let is_overdue = group / batch_size < self.head().next_cursor;
        is_overdue || self.is_due(group) && self.is_mostly_complete()
    }

    fn is_mostly_complete(&self) -> bool {
        let complete = self.groups.values().filter(|g| g.is_complete()).count();
        complete as f64 >= URGENT_THRESHOLD * f64::from(self.spec.step_groups)
    }

    /// Prioritizes what the next batch needs, and hedges slow generations.
    pub(crate) fn handle_stragglers(&mut self, now: Instant) {
        let mostly_complete = self.is_mostly_complete();
        let batch_size = u64::from(self.spec.step_groups.max(1));
        let next_cursor = self.head().next_cursor;
        let mut slow = Vec::new();
        for (key, generation) in &mut self.generations {
            let step = generation.slot.group / batch_size;
            let urgent = step < next_cursor || step == next_cursor && mostly_complete;
            if urgent && !generation.urgent {
                generation.urgent = true;
                self.actions.push_back(Action::Prioritize(key));
            }
            if is_slow(generation, self.pace.token_rate(), now) {
                slow.push((!urgent, generation.slot, key));
            }
        }
        // Also hedges samples that aren't urgent: a long one would exceed the
        // staleness bound after two steps on a slow engine.
        slow.sort_unstable();
        for (_, _, key) in slow {
            self.start_hedge(now, key);
        }
    }

    /// Starts a hedge within the budget: a share of the running generations, and at
    /// least one, for small runs.
    fn start_hedge(&mut self, now: Instant, key: GenerationKey) {
        let running = self.groups.values().map(count_hedges).sum::<usize>();
        let budget = (self.generations.len() as f64 * self.spec.hedge_share).max(1.0);
        if running as f64 + 1.0 > budget {
            return;
        }
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let (slot, text) = (generation.slot, generation.text.clone());
        let unhedged = Phase::Running {
            main: key,
            hedge: None,
        };
        if self.sample_mut(slot).map(|s| &s.phase) != Some(&unhedged) {
            return;
        }
        self.counts.hedges += 1;
        let hedge = Some(self.start_generation(now, slot, text, true));
        self.set_phase(slot, Phase::Running { main: key, hedge });
    }

    /// Replaces the original by its hedge once the hedge is longer.
    pub(crate) fn promote_hedge(&mut self, key: GenerationKey) {
        let Some(hedge) = self.generations.get(key) else {
            return;
        };
        let (slot, tokens, base) = (hedge.slot, hedge.text.tokens, hedge.base.tokens);
        let Some((main, true)) = self.compare_hedge(slot, key, tokens) else {
            return;
        };
        if let Some(original) = self.generations.remove(main) {
            // The prefix that the hedge continues isn't wasted.
            self.counts.wasted += u64::from(original.text.tokens - base);
        }
        self.actions.push_back(Action::Cancel(main));
        let main = key;
        self.set_phase(slot, Phase::Running { main, hedge: None });
    }

    /// Returns the original of a hedge with this many tokens, and whether the hedge is
    /// longer.
    fn compare_hedge(
        &mut self,
        slot: Slot,
        key: GenerationKey,
        tokens: u32,
    ) -> Option<(GenerationKey, bool)> {
        let Phase::Running { main, hedge } = self.sample_mut(slot)?.phase else {
            return None;
        };
        if hedge != Some(key) {
            return None;
        }
        let is_longer = self.generations.get(main)?.text.tokens < tokens;
        Some((main, is_longer))
    }
}

fn count_hedges(group: &Group) -> usize {
    let is_hedged = |phase: &Phase| matches!(phase, Phase::Running { hedge: Some(_), .. });
    group
        .samples
        .iter()
        .filter(|sample| is_hedged(&sample.phase))
        .count()
}

fn is_slow(generation: &Generation, usual_rate: Option<f64>, now: Instant) -> bool {
    let Some(reports) = generation.reports else {
        return false;
    };
    if now.saturating_duration_since(reports.last) > REPORT_TIMEOUT {
        return true;
    }
    let warmed_up = now.saturating_duration_since(reports.first) > WARMUP_DURATION;
    let rate = generation.token_rate(now);
    warmed_up
        && rate
            .zip(usual_rate)
            .is_some_and(|(rate, usual)| rate < SLOW_RATE_RATIO * usual)
}
