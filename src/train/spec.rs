//! What a trainer asks for when it opens a run.

use std::time::Duration;

/// The settings of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Samples of one prompt, which are scored against each other.
    pub size: u32,
    /// Groups in one step's batch.
    pub groups: u32,
    /// How many versions a sample's oldest token may be behind the trainer.
    pub bound: u64,
    /// How much the deployment minds staleness against idle time, 0 to 1.
    ///
    /// At 0 as much is started ahead as the bound allows; at 1 each group is
    /// started just in time.
    pub staleness: f64,
    /// Share of a run's generations that may run a second copy at once.
    pub hedges: f64,
    /// How long a pull waits before it is answered "not yet".
    pub patience: Duration,
}

impl Spec {
    /// Creates settings of 8 samples a group, 16 groups a step, and a bound of
    /// 2 versions.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            size: 8,
            groups: 16,
            bound: 2,
            staleness: 0.5,
            hedges: 0.05,
            patience: Duration::from_secs(20),
        }
    }

    /// Sets the samples of one prompt.
    #[must_use]
    pub const fn size(mut self, size: u32) -> Self {
        self.size = size;
        self
    }

    /// Sets the groups in one step.
    #[must_use]
    pub const fn groups(mut self, groups: u32) -> Self {
        self.groups = groups;
        self
    }

    /// Sets the staleness bound, in versions.
    #[must_use]
    pub const fn bound(mut self, bound: u64) -> Self {
        self.bound = bound;
        self
    }

    /// Sets the weight of staleness against idle time.
    #[must_use]
    pub const fn staleness(mut self, staleness: f64) -> Self {
        self.staleness = staleness;
        self
    }

    /// Sets the share of generations that may run twice at once.
    #[must_use]
    pub const fn hedges(mut self, hedges: f64) -> Self {
        self.hedges = hedges;
        self
    }
}

impl Default for Spec {
    fn default() -> Self {
        Self::new()
    }
}
