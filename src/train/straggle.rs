//! Stragglers: raised, moved, carried over, and never chosen by length.
//!
//! A step whose last samples are slow stalls the trainer; taking the first that
//! end instead would train on short answers. So a sample that is late is made
//! faster, and never replaced by another draw that happens to end earlier:
//!
//! * The groups that the next batch is short of go before others.
//! * A generation on a slow or silent engine gets a second copy elsewhere, from
//!   the same prefix. The copy takes over when it has passed the first one's
//!   length while both still run: then both are only known to be longer than
//!   that, so the choice says nothing of their ends. A copy that ends earlier
//!   is thrown away, and so is one whose original ends first.

use crate::train::{
    GenKey,
    event::Step,
    row::Slot,
    run::{Group, Run},
    sample::{Generation, Phase},
};
use std::time::{Duration, Instant};

/// A generation with less than this share of the usual rate is slow.
///
/// Batches of different sizes differ by less; an engine that is throttled or
/// failing is slower.
const SLOW: f64 = 0.5;

/// Reports come several times a second; after this time without one the engine
/// or the connection is taken to be lost.
const SILENT: Duration = Duration::from_secs(10);

/// How long a generation runs before its rate is judged.
const WARM: Duration = Duration::from_secs(5);

/// The share of a batch that must be whole before its rest is urgent: if all
/// were, none would be.
const CLOSING: f64 = 0.5;

impl Run {
    /// Says whether the next batch, or one before, waits for this group.
    pub(crate) fn is_due(&self, group: u64) -> bool {
        group / u64::from(self.spec.groups.max(1)) <= self.head().next_cursor
    }

    pub(crate) fn is_urgent(&self, group: u64) -> bool {
        let per = u64::from(self.spec.groups.max(1));
        let late = group / per < self.head().next_cursor;
        late || self.is_due(group) && self.is_closing()
    }

    fn is_closing(&self) -> bool {
        let whole = self.groups.values().filter(|g| g.is_complete()).count();
        whole as f64 >= CLOSING * f64::from(self.spec.groups)
    }

    /// Raises and moves what the next batch waits for.
    pub(crate) fn handle_stragglers(&mut self, now: Instant) {
        let closing = self.is_closing();
        let per = u64::from(self.spec.groups.max(1));
        let next = self.head().next_cursor;
        let mut slow = Vec::new();
        for (key, generation) in &mut self.generations {
            let step = generation.slot.group / per;
            let urgent = step < next || step == next && closing;
            if urgent && !generation.urgent {
                generation.urgent = true;
                self.steps.push_back(Step::Raise(key));
            }
            if is_slow(generation, self.pace.token_rate(), now) {
                slow.push((!urgent, generation.slot, key));
            }
        }
        // Not only what is urgent: a long sample that spends two steps on a
        // slow engine can't make it inside the bound any more when it is due.
        slow.sort_unstable();
        for (_, _, key) in slow {
            self.hedge(now, key);
        }
    }

    /// Starts a second copy within the budget: one for each so many
    /// generations, and one at least, so that a small run is helped as well.
    fn hedge(&mut self, now: Instant, key: GenKey) {
        let running = self.groups.values().map(hedges).sum::<usize>();
        let budget = (self.generations.len() as f64 * self.spec.hedge_share).max(1.0);
        if running as f64 + 1.0 > budget {
            return;
        }
        let Some(generation) = self.generations.get(key) else {
            return;
        };
        let (slot, text) = (generation.slot, generation.text.clone());
        let free = Phase::Running {
            main: key,
            hedge: None,
        };
        if self.sample_mut(slot).map(|s| &s.phase) != Some(&free) {
            return;
        }
        self.counts.hedges += 1;
        let hedge = Some(self.start_generation(now, slot, text, true));
        self.set_phase(slot, Phase::Running { main: key, hedge });
    }

    /// Lets a second copy take over once it is longer than the first.
    pub(crate) fn overtake(&mut self, key: GenKey) {
        let Some(copy) = self.generations.get(key) else {
            return;
        };
        let (slot, tokens, base) = (copy.slot, copy.text.tokens, copy.base.tokens);
        let Some((main, true)) = self.passed(slot, key, tokens) else {
            return;
        };
        if let Some(old) = self.generations.remove(main) {
            // What the copy goes on from is not wasted.
            self.counts.wasted += u64::from(old.text.tokens - base);
        }
        self.steps.push_back(Step::Cancel(main));
        let main = key;
        self.set_phase(slot, Phase::Running { main, hedge: None });
    }

    /// Returns the generation that `copy` is a second one of, and whether the
    /// copy is longer.
    fn passed(&mut self, slot: Slot, copy: GenKey, tokens: u32) -> Option<(GenKey, bool)> {
        let Phase::Running { main, hedge } = self.sample_mut(slot)?.phase else {
            return None;
        };
        if hedge != Some(copy) {
            return None;
        }
        let passed = self.generations.get(main)?.text.tokens < tokens;
        Some((main, passed))
    }
}

fn hedges(group: &Group) -> usize {
    let hedged = |phase: &Phase| matches!(phase, Phase::Running { hedge: Some(_), .. });
    group.samples.iter().filter(|s| hedged(&s.phase)).count()
}

fn is_slow(generation: &Generation, usual: Option<f64>, now: Instant) -> bool {
    let Some(reports) = generation.reports else {
        return false;
    };
    if now.saturating_duration_since(reports.last) > SILENT {
        return true;
    }
    let warm = now.saturating_duration_since(reports.first) > WARM;
    let rate = generation.token_rate(now);
    warm && rate
        .zip(usual)
        .is_some_and(|(rate, usual)| rate < SLOW * usual)
}
