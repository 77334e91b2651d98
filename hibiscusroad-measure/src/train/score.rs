//! The results of a simulation and their table.

use super::load::Policy;
use std::fmt::Write;

/// The results of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Share of the trainers' time spent waiting, after their first batch.
    pub idle_share: f64,
    /// Mean step time over the trainers' compute time per step.
    pub step_ratio: f64,
    /// Versions that delivered samples were behind: mean, 99th percentile and
    /// maximum.
    pub staleness: [f64; 3],
    /// Seconds from a sample's first token to its delivery: mean, 99th
    /// percentile and maximum.
    pub sample_age: [f64; 3],
    /// Share of generated tokens that can't be part of any batch.
    pub wasted_share: f64,
    /// Step time in seconds: median and 99th percentile.
    pub step_time: [f64; 2],
    /// Share of the live engines' lanes in use.
    pub lane_usage: f64,
    /// Delivered batches.
    pub batches: usize,
    /// Mean length of delivered samples over that of the load.
    pub length_ratio: f64,
    /// Samples dropped for the staleness bound, per delivered sample.
    pub dropped_ratio: f64,
    /// Mean number of finished samples that wait for their batch, as a share of
    /// a step's samples. A run without rows in the table loses them with its
    /// holder.
    pub ready_share: f64,
    /// Samples delivered beyond the staleness bound.
    pub bound_violations: usize,
}

impl Score {
    /// Returns the header of the table.
    #[must_use]
    pub fn header() -> String {
        let mut line = format!("{:<8}", "policy");
        for name in [
            "batches", "idle", "over", "v mean", "v p99", "v max", "s mean", "s p99", "s max",
            "wasted", "step p50", "step p99", "used", "length", "dropped", "ready", "broken",
        ] {
            let _ = write!(line, "{name:>9}");
        }
        line
    }

    /// Returns a row of the table; times are in seconds.
    #[must_use]
    pub fn row(&self, policy: Policy) -> String {
        let mut line = format!("{:<8}", policy.name());
        let mut cell = |text: String| {
            let _ = write!(line, "{text:>9}");
        };
        cell(self.batches.to_string());
        cell(percent(self.idle_share));
        cell(percent(self.step_ratio - 1.0));
        for value in self.staleness {
            cell(format!("{value:.2}"));
        }
        for value in self.sample_age {
            cell(format!("{value:.1}"));
        }
        cell(percent(self.wasted_share));
        for value in self.step_time {
            cell(format!("{value:.1}"));
        }
        cell(percent(self.lane_usage));
        cell(format!("{:.3}", self.length_ratio));
        cell(percent(self.dropped_ratio));
        cell(percent(self.ready_share));
        cell(self.bound_violations.to_string());
        line
    }
}

fn percent(value: f64) -> String {
    format!("{:.2}%", value * 100.0)
}

/// Returns mean, 99th percentile and maximum.
pub(super) fn summarize(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    [mean, quantile(&values, 0.99), quantile(&values, 1.0)]
}

/// Returns a quantile of sorted values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the index is at most the length"
)]
pub(super) fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index.min(last)).copied().unwrap_or_default()
}
