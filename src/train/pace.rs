//! How many groups are started ahead of the trainer.
//!
//! A trainer takes a batch every few minutes and changes its weights every few
//! batches. With too few groups ahead it waits for the last samples of each step.
//! With too many, samples exceed the staleness bound and are dropped, and the
//! engines' work on them is wasted.

use crate::train::spec::Spec;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of recent samples whose durations are kept: a few steps' worth, so that
/// the estimate follows a trend within minutes.
const DURATION_HISTORY: usize = 512;

/// The quantile of sample durations that sets the minimum lead. Longer samples are
/// carried over to a later step.
const LEAD_QUANTILE: f64 = 0.95;

/// The weight of the newest value in a moving average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// How many versions engines may be behind the trainer during a rollout.
const ROLLOUT_LAG: u64 = 1;

/// The estimated pace of a run's samples and steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    durations: VecDeque<Duration>,
    /// The `LEAD_QUANTILE` of `durations`.
    long_duration: Option<Duration>,
    /// When the last step was completed.
    last_step: Option<Instant>,
    step_duration: Option<Duration>,
    /// The number of steps since the version changed.
    version_steps: u64,
    /// The mean number of steps from one version to the next.
    version_interval: Option<f64>,
    /// The mean tokens per second of a generation.
    token_rate: Option<f64>,
}

impl Pace {
    /// Records the duration of a sample, and its tokens per second.
    pub(crate) fn sample_finished(&mut self, duration: Duration, token_rate: Option<f64>) {
        if self.durations.len() == DURATION_HISTORY {
            self.durations.pop_front();
        }
        self.durations.push_back(duration);
        if let Some(rate) = token_rate {
            self.token_rate = Some(moving_average(self.token_rate, rate));
        }
    }

    /// Records that a step was completed, with or without a new version.
    pub(crate) fn step_completed(&mut self, now: Instant, new_version: bool) {
        if let Some(last) = self.last_step.replace(now) {
            let elapsed = now.saturating_duration_since(last).as_secs_f64();
            let step = moving_average(self.step_duration.map(|step| step.as_secs_f64()), elapsed);
            self.step_duration = Some(Duration::from_secs_f64(step));
        }
        self.version_steps += 1;
        if new_version {
            self.version_interval = Some(moving_average(
                self.version_interval,
                self.version_steps as f64,
            ));
            self.version_steps = 0;
        }
        self.long_duration = quantile(&self.durations);
    }

    /// Returns the mean tokens per second of a generation.
    pub(crate) const fn token_rate(&self) -> Option<f64> {
        self.token_rate
    }

    /// Returns whether the next step may end with a new version.
    pub(crate) fn may_change_version(&self) -> bool {
        self.version_interval
            .is_none_or(|interval| self.version_steps as f64 + 1.5 >= interval)
    }

    /// Returns how many groups may be open.
    ///
    /// The maximum is the number of groups that are used before they exceed the
    /// staleness bound. The minimum is enough to complete the next batch while the
    /// trainer works on this one. The staleness setting chooses between the two.
    pub(crate) fn max_open_groups(&self, spec: &Spec) -> u64 {
        let interval = self.version_interval.unwrap_or(1.0);
        let usable_versions = spec.max_staleness.saturating_sub(ROLLOUT_LAG) as f64;
        let max_steps = (usable_versions * interval).max(1.0);
        let lead = match (self.long_duration, self.step_duration) {
            (Some(long), Some(step)) => long.as_secs_f64() / step.as_secs_f64().max(1e-3),
            _ => 1.0,
        };
        let min_steps = (1.0 + lead).min(max_steps);
        let steps = max_steps + (min_steps - max_steps) * spec.staleness_weight.clamp(0.0, 1.0);
        let groups = (steps * f64::from(spec.step_groups)).ceil();
        truncate(groups).max(u64::from(spec.step_groups))
    }
}

fn moving_average(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + SMOOTHING_FACTOR * (new - old))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of groups is small and not negative"
)]
const fn truncate(value: f64) -> u64 {
    value as u64
}

fn quantile(durations: &VecDeque<Duration>) -> Option<Duration> {
    let mut sorted: Vec<Duration> = durations.iter().copied().collect();
    sorted.sort_unstable();
    let index = truncate(sorted.len() as f64 * LEAD_QUANTILE);
    sorted
        .get(usize::try_from(index).unwrap_or(usize::MAX))
        .copied()
}
