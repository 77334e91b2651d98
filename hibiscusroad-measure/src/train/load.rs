//! The load that the policies are put through.

use hibiscusroad::train::Spec;

/// Who decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The decisions of the project.
    Ours,
    /// The same with the trainer's cursor as the only record: the table is
    /// never waited for, and a lost holder's finished samples are lost.
    Cursor,
    /// A step's groups at once, first come first served, waiting for all.
    Plain,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Ours, Self::Cursor, Self::Plain];

    /// Returns the name in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Cursor => "cursor",
            Self::Plain => "plain",
        }
    }
}

/// One load; times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The runs' settings.
    pub spec: Spec,
    /// Engines.
    pub engines: usize,
    /// Generations that an engine runs at once.
    pub lanes: usize,
    /// Tokens a second of each.
    pub rate: f64,
    /// The first engine's speed over the others'.
    pub slow: f64,
    /// Share of the run after which the second engine is lost.
    pub lost: f64,
    /// How long each trainer works on a step.
    pub compute: [f64; 2],
    /// Steps from one version to the next.
    pub between: u64,
    /// How long an engine stands still for a run whose weights it changes.
    pub swap: f64,
    /// Engines that change weights together.
    pub wave: usize,
    /// How long the table is down, from the middle on.
    pub outage: f64,
    /// How long all of it lasts.
    pub span: f64,
}

impl Load {
    /// Returns the load of the non-profit, which minds idle time.
    #[must_use]
    pub const fn pobrezie() -> Self {
        Self {
            spec: Spec::new().staleness_weight(0.2),
            engines: 9,
            lanes: 16,
            rate: 40.0,
            slow: 0.4,
            lost: 0.4,
            compute: [30.0, 40.0],
            between: 3,
            swap: 4.0,
            wave: 3,
            outage: 0.0,
            span: 7200.0,
        }
    }

    /// Returns the load of the floorplan firm, which minds staleness.
    #[must_use]
    pub const fn lakeshore() -> Self {
        let mut load = Self::pobrezie();
        load.spec = load.spec.staleness_weight(0.8);
        load
    }

    /// Returns the samples of a step.
    #[must_use]
    pub fn samples(&self) -> usize {
        usize::try_from(self.spec.group_size * self.spec.step_groups).unwrap_or(usize::MAX)
    }
}
