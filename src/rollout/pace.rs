//! How fast engines are, as owners of batches tell each other.
//!
//! Load: every step of a trainer is accepted by another process, engines of one
//! service differ by a third when sound, and a disturbed one is several times
//! slower. Harm: each owner finds out by itself. Its long items, which start first,
//! spend their first second on engines that the owner before knew to be slow, and
//! the step ends that much later.
//!
//! So owners share what they measured through the store, a row a service. The newer
//! sample of an engine counts, whoever took it; times are those of the store's
//! steady clock, which all processes know.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Samples older than this are dropped: engines that are gone must not fill the
/// row, and one that nobody used for so long may have changed.
const KEEP: Duration = Duration::from_mins(1);

/// A measured pace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// Microseconds from one event to the next.
    pub micros: u32,
    /// The store's steady clock when it was measured, in milliseconds.
    pub at: u64,
}

/// The paces of a service's engines, by their ids.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Paces {
    engines: BTreeMap<String, Sample>,
}

impl Paces {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Takes in a sample, unless a newer one of the same engine is known.
    pub fn note(&mut self, engine: &str, sample: Sample) {
        let known = self.engines.get(engine);
        if known.is_none_or(|known| known.at < sample.at) {
            self.engines.insert(engine.to_owned(), sample);
        }
    }

    /// Takes in all samples of another table.
    pub fn merge(&mut self, other: &Self) {
        for (engine, sample) in &other.engines {
            self.note(engine, *sample);
        }
    }

    /// Drops samples that are too old at the store's time `now`.
    pub fn expire(&mut self, now: Duration) {
        let oldest = u64::try_from(now.saturating_sub(KEEP).as_millis()).unwrap_or(0);
        self.engines.retain(|_, sample| sample.at >= oldest);
    }

    /// Goes through all engines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Sample)> {
        self.engines
            .iter()
            .map(|(id, sample)| (id.as_str(), *sample))
    }

    /// Returns the sample of an engine.
    #[must_use]
    pub fn get(&self, engine: &str) -> Option<Sample> {
        self.engines.get(engine).copied()
    }
}
