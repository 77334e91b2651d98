//! How much is started ahead of the trainer.
//!
//! Made for a trainer that takes a batch each few minutes and changes its
//! weights every few batches. Too little ahead, and it waits for the last
//! samples of each step; too much, and samples are dropped over the bound, and
//! engines that others could use worked for nothing.

use crate::train::spec::Spec;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Generations whose times are remembered: a few steps' worth, so that a
/// trainer whose samples grow longer is followed within minutes.
const REMEMBERED: usize = 512;

/// The share of generations that have to fit into the lead; the longer ones are
/// what carrying over is for.
const QUANTILE: f64 = 0.95;

/// Weight of the newest value in a running mean.
const NEWEST: f64 = 0.3;

/// Versions that engines may be behind the trainer while new weights spread.
const LAG: u64 = 1;

/// What a run learned of its times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    took: VecDeque<Duration>,
    long: Option<Duration>,
    done: Option<Instant>,
    step: Option<Duration>,
    /// Steps since the version changed, and between two changes.
    since: u64,
    between: Option<f64>,
    rate: Option<f64>,
}

impl Pace {
    /// Notes how long a sample took, and how many tokens a second it made.
    pub(crate) fn finished(&mut self, took: Duration, rate: Option<f64>) {
        if self.took.len() == REMEMBERED {
            self.took.pop_front();
        }
        self.took.push_back(took);
        if let Some(rate) = rate {
            self.rate = Some(mean(self.rate, rate));
        }
    }

    /// Notes that a step was done, with or without a new version.
    pub(crate) fn done(&mut self, now: Instant, bump: bool) {
        if let Some(last) = self.done.replace(now) {
            let took = now.saturating_duration_since(last).as_secs_f64();
            let step = mean(self.step.map(|step| step.as_secs_f64()), took);
            self.step = Some(Duration::from_secs_f64(step));
        }
        self.since += 1;
        if bump {
            self.between = Some(mean(self.between, self.since as f64));
            self.since = 0;
        }
        self.long = quantile(&self.took);
    }

    /// Returns the usual tokens a second of one generation.
    pub(crate) const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Says whether the next step may end with a new version.
    pub(crate) fn may_bump(&self) -> bool {
        self.between
            .is_none_or(|between| self.since as f64 + 1.5 >= between)
    }

    /// Returns how many groups may be open.
    ///
    /// At most those that are used before the bound runs out, engines being a
    /// version behind; at least those that make the next batch whole while the
    /// trainer works on this one. The setting chooses between the two.
    pub(crate) fn window(&self, spec: &Spec) -> u64 {
        let between = self.between.unwrap_or(1.0);
        let room = spec.bound.saturating_sub(LAG) as f64;
        let most = (room * between).max(1.0);
        let lead = match (self.long, self.step) {
            (Some(long), Some(step)) => long.as_secs_f64() / step.as_secs_f64().max(1e-3),
            _ => 1.0,
        };
        let least = (1.0 + lead).min(most);
        let steps = most + (least - most) * spec.staleness.clamp(0.0, 1.0);
        let groups = (steps * f64::from(spec.groups)).ceil();
        whole(groups).max(u64::from(spec.groups))
    }
}

fn mean(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + NEWEST * (new - old))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of groups is small and not negative"
)]
const fn whole(value: f64) -> u64 {
    value as u64
}

fn quantile(took: &VecDeque<Duration>) -> Option<Duration> {
    let mut all: Vec<Duration> = took.iter().copied().collect();
    all.sort_unstable();
    let index = whole(all.len() as f64 * QUANTILE);
    all.get(usize::try_from(index).unwrap_or(usize::MAX))
        .copied()
}
