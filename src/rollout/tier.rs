//! How an engine's pace compares with that of its peers.
//!
//! What counts as slow is told nowhere and differs between deployments, so engines of
//! one service are measured against each other.

/// Slower than its median peer by this factor is slow. Engines of one service
/// differ by up to a third when sound; a disturbed one by three and more.
const SLOW: f64 = 1.7;
/// Slower than the fastest peers by this factor is worth a move for a run that
/// has become long: what is left of it ends that much sooner.
const MILD: f64 = 1.12;
/// The fastest peers are one in so many engines.
const FASTEST: usize = 4;

/// How fast the engines of a service are, in seconds an event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usual {
    /// The median.
    pub(super) median: f64,
    /// Of the fastest ones.
    pub(super) best: f64,
}

/// How an engine compares with its peers, best last.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    Slow,
    Mild,
    Fast,
}

impl Usual {
    /// Finds what is usual among paces; none if there are none.
    pub(super) fn of(paces: impl Iterator<Item = f64>) -> Option<Self> {
        let mut paces: Vec<f64> = paces.collect();
        paces.sort_by(f64::total_cmp);
        Some(Self {
            median: *paces.get(paces.len() / 2)?,
            best: *paces.get(paces.len() / FASTEST)?,
        })
    }

    /// Compares a pace with it.
    pub(super) fn tier(self, pace: f64) -> Tier {
        if pace > self.median * SLOW {
            Tier::Slow
        } else if pace > self.best * MILD {
            Tier::Mild
        } else {
            Tier::Fast
        }
    }
}
