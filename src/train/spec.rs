//! The settings of a run, which a trainer chooses when it opens the run.

use std::time::Duration;

/// The settings of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// The number of samples per prompt, which are scored relative to each other.
    pub group_size: u32,
    /// The number of groups in the batch of a step.
    pub step_groups: u32,
    /// The staleness bound: how many versions the oldest token of a sample may be
    /// behind the trainer.
    pub max_staleness: u64,
    /// The weight of low staleness against low idle time, from 0 to 1.
    ///
    /// At 0, as many groups are started ahead as the staleness bound allows. At
    /// 1, groups are started just in time.
    pub staleness_weight: f64,
    /// The share of running generations that may have a hedge at the same time.
    pub hedge_share: f64,
    /// How long a pull waits for its batch before the answer is "not yet".
    pub pull_timeout: Duration,
}

impl Spec {
    /// Creates settings with 8 samples per group, 16 groups per step and a
    /// staleness bound of 2 versions.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            group_size: 8,
            step_groups: 16,
            max_staleness: 2,
            staleness_weight: 0.5,
            hedge_share: 0.05,
            pull_timeout: Duration::from_secs(20),
        }
    }

    /// Sets the number of samples per prompt.
    #[must_use]
    pub const fn group_size(mut self, size: u32) -> Self {
        self.group_size = size;
        self
    }

    /// Sets the number of groups per step.
    #[must_use]
    pub const fn step_groups(mut self, groups: u32) -> Self {
        self.step_groups = groups;
        self
    }

    /// Sets the staleness bound, in versions.
    #[must_use]
    pub const fn max_staleness(mut self, versions: u64) -> Self {
        self.max_staleness = versions;
        self
    }

    /// Sets the weight of low staleness against low idle time.
    #[must_use]
    pub const fn staleness_weight(mut self, weight: f64) -> Self {
        self.staleness_weight = weight;
        self
    }

    /// Sets the share of running generations that may have a hedge.
    #[must_use]
    pub const fn hedge_share(mut self, share: f64) -> Self {
        self.hedge_share = share;
        self
    }
}

impl Default for Spec {
    fn default() -> Self {
        Self::new()
    }
}
