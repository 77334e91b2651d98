//! What a run gave, and the table of it.

use super::load::Policy;
use std::fmt::Write;

/// What one run gave.
#[derive(Clone, Debug, Default)]
pub struct Score {
    /// Share of the trainers' time spent waiting, after their first batch.
    pub idle: f64,
    /// Mean step time over the least possible for the load.
    pub over: f64,
    /// Versions that samples were behind: mean, 99th percentile, maximum.
    pub stale: [f64; 3],
    /// Seconds from a sample's first token to its delivery, likewise.
    pub age: [f64; 3],
    /// Share of generated tokens that no batch can hold.
    pub wasted: f64,
    /// Step time in seconds: median and 99th percentile.
    pub step: [f64; 2],
    /// Share of the live engines' lanes in use.
    pub used: f64,
    /// Batches delivered.
    pub batches: usize,
    /// Mean length of delivered samples over that of the load.
    pub length: f64,
    /// Samples dropped over the bound, over those delivered.
    pub dropped: f64,
    /// Finished samples that wait for their batch, as a share of a step's; what
    /// a lost holder costs a run without a ledger.
    pub ready: f64,
    /// Samples delivered over the bound.
    pub broken: usize,
}

impl Score {
    /// Returns the head of the table.
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
        cell(percent(self.idle));
        cell(percent(self.over - 1.0));
        for value in self.stale {
            cell(format!("{value:.2}"));
        }
        for value in self.age {
            cell(format!("{value:.1}"));
        }
        cell(percent(self.wasted));
        for value in self.step {
            cell(format!("{value:.1}"));
        }
        cell(percent(self.used));
        cell(format!("{:.3}", self.length));
        cell(percent(self.dropped));
        cell(percent(self.ready));
        cell(self.broken.to_string());
        line
    }
}

fn percent(value: f64) -> String {
    format!("{:.2}%", value * 100.0)
}

/// Returns mean, 99th percentile and maximum.
pub(super) fn spread(mut all: Vec<f64>) -> [f64; 3] {
    all.sort_by(f64::total_cmp);
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    [mean, quantile(&all, 0.99), quantile(&all, 1.0)]
}

/// Returns a quantile of sorted values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a quantile of a length is a smaller length"
)]
pub(super) fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (sorted.len() as f64 * q) as usize;
    sorted.get(index.min(last)).copied().unwrap_or_default()
}
