//! Paces of engines, as the owners of batches share them.
//!
//! The pace of an engine is the time from one event of a text to the next. Owners share
//! the paces that they measure through one row per service in the store, so that a new
//! owner need not first run long items on slow engines. The newest sample of an engine
//! counts, whoever took it. Sample times are those of the store's steady clock, which
//! all processes know.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// Lifetime of a sample. Engines that are gone must not fill the row, and the pace of
/// one that nobody has used for so long may have changed.
const SAMPLE_TTL: Duration = Duration::from_mins(1);

/// One measurement of the pace of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// Microseconds from one event to the next.
    #[serde(rename = "micros")]
    pub event_micros: u32,
    /// The store's steady clock at the measurement, in milliseconds.
    #[serde(rename = "at")]
    pub measured_at: u64,
}

/// The paces of a service's engines, by engine ID and incarnation.
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

    /// Returns whether the table holds no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Records a sample, unless a newer one of the same engine is known.
    pub fn record(&mut self, engine: &str, sample: Sample) {
        let known = self.engines.get(engine);
        if known.is_none_or(|known| known.measured_at < sample.measured_at) {
            self.engines.insert(engine.to_owned(), sample);
        }
    }

    /// Merges all samples of another table into this one.
    pub fn merge(&mut self, other: &Self) {
        for (engine, sample) in &other.engines {
            self.record(engine, *sample);
        }
    }

    /// Drops samples that have expired at the store's time `now`.
    pub fn expire(&mut self, now: Duration) {
        let oldest = u64::try_from(now.saturating_sub(SAMPLE_TTL).as_millis()).unwrap_or(0);
        self.engines
            .retain(|_, sample| sample.measured_at >= oldest);
    }

    /// Iterates over the samples of all engines.
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
