//! Compares the speed of an engine with that of its peers.
//!
//! Engines of one service are compared with each other, because the speed that counts as
//! slow differs between deployments and is not configured.

/// An engine is slow if its pace exceeds the median by this factor, more than the healthy
/// engines of a service differ: by a third, while a disturbed one is three times slower or more.
const SLOW_FACTOR: f64 = 1.7;
/// A long run leaves an engine that is slower than the fastest peers by this factor.
const MILD_FACTOR: f64 = 1.12;
/// The pace of the fastest engines is taken at position `count / FASTEST_DIVISOR`.
const FASTEST_DIVISOR: usize = 4;

/// The paces of the engines of a service, in seconds per event.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceSpeed {
    /// The median pace.
    pub(super) median: f64,
    /// The pace of the fastest engines.
    pub(super) best: f64,
}

/// Speed of an engine relative to its peers; the fastest tier is the greatest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    Slow,
    Mild,
    Fast,
}

impl ServiceSpeed {
    /// Computes the speed of a service from the paces of its engines; `None` if there
    /// are none.
    pub(super) fn from_paces(paces: impl Iterator<Item = f64>) -> Option<Self> {
        let mut paces: Vec<f64> = paces.collect();
        paces.sort_by(f64::total_cmp);
        Some(Self {
            median: *paces.get(paces.len() / 2)?,
            best: *paces.get(paces.len() / FASTEST_DIVISOR)?,
        })
    }

    /// Returns the tier of an engine with this pace.
    pub(super) fn tier(self, pace: f64) -> Tier {
        if pace > self.median * SLOW_FACTOR {
            Tier::Slow
        } else if pace > self.best * MILD_FACTOR {
            Tier::Mild
        } else {
            Tier::Fast
        }
    }
}
