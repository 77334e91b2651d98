//! The load on which the policies are compared.

use hibiscusroad::train::Spec;

/// The policy that generates and delivers samples.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The policy of this project, [`Run`](hibiscusroad::train::Run).
    Ours,
    /// The same as [`Policy::Ours`], but without outages of the table, as if only
    /// the trainer's cursor were recorded.
    Cursor,
    /// All groups of a step start at once in arrival order, and the batch is
    /// delivered when all have finished.
    Plain,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Ours, Self::Cursor, Self::Plain];

    /// Returns the name that the printed table shows.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Cursor => "cursor",
            Self::Plain => "plain",
        }
    }
}

/// The parameters of a simulation; times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The settings of both runs.
    pub spec: Spec,
    /// Number of engines.
    pub engines: usize,
    /// Generations that an engine runs at once.
    pub lanes: usize,
    /// Tokens per second of a lane.
    pub token_rate: f64,
    /// The first engine's speed relative to the others'.
    pub slow_factor: f64,
    /// Share of `duration` after which the second engine is lost.
    pub loss_point: f64,
    /// How long each trainer works on a step.
    pub compute_time: [f64; 2],
    /// Steps from one weight version to the next.
    pub version_steps: u64,
    /// How long an engine generates nothing for a run whose weights it swaps.
    pub swap_time: f64,
    /// Maximum number of engines that swap a run's weights at the same time.
    pub max_swaps: usize,
    /// How long the table is down, from the middle of `duration` on.
    pub outage: f64,
    /// The simulated time.
    pub duration: f64,
}

impl Load {
    /// Returns the load of the non-profit, which weighs idle time more.
    #[must_use]
    pub const fn pobrezie() -> Self {
        Self {
            spec: Spec::new().staleness_weight(0.2),
            engines: 9,
            lanes: 16,
            token_rate: 40.0,
            slow_factor: 0.4,
            loss_point: 0.4,
            compute_time: [30.0, 40.0],
            version_steps: 3,
            swap_time: 4.0,
            max_swaps: 3,
            outage: 0.0,
            duration: 7200.0,
        }
    }

    /// Returns the load of the floorplan firm, which weighs staleness more.
    #[must_use]
    pub const fn lakeshore() -> Self {
        let mut load = Self::pobrezie();
        load.spec = load.spec.staleness_weight(0.8);
        load
    }

    /// Returns the number of samples of a step.
    #[must_use]
    pub fn step_samples(&self) -> usize {
        usize::try_from(self.spec.group_size * self.spec.step_groups).unwrap_or(usize::MAX)
    }
}
