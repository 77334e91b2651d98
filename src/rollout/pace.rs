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

/// Least time between two writes of an owner. Eight owners make eight of the store's 800 writes a
/// second.
const MIN_SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// Least ratio of the time between two writes of an owner to the latency of a write. Heartbeats
/// share a part of the store with the paces and can't wait.
const LATENCIES_PER_WRITE: u32 = 10;

/// Returns the time between two writes of an owner's paces while writes take `latency`.
#[must_use]
pub fn share_interval(latency: Duration) -> Duration {
    MIN_SHARE_INTERVAL.max(latency * LATENCIES_PER_WRITE)
}

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
    /// The store's steady clock, in milliseconds, when an owner last knew that engines
    /// report how slow their hosts are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    shared_hosts: Option<u64>,
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

    /// Records that engines of the service report how slow their hosts are.
    pub fn record_shared_hosts(&mut self, store_now: Duration) {
        let now = u64::try_from(store_now.as_millis()).unwrap_or(0);
        self.shared_hosts = self.shared_hosts.max(Some(now));
    }

    /// Returns whether an owner has recently known that engines report how slow their
    /// hosts are. The holder of the weight-loading duty may own no batch and see no report.
    #[must_use]
    pub fn has_shared_hosts(&self, store_now: Duration) -> bool {
        self.shared_hosts
            .is_some_and(|at| at >= oldest_sample(store_now))
    }

    /// Merges all samples of another table into this one.
    pub fn merge(&mut self, other: &Self) {
        self.shared_hosts = self.shared_hosts.max(other.shared_hosts);
        for (engine, sample) in &other.engines {
            self.record(engine, *sample);
        }
    }

    /// Drops samples that have expired at the store's time `now`.
    pub fn expire(&mut self, now: Duration) {
        let oldest = oldest_sample(now);
        self.engines
            .retain(|_, sample| sample.measured_at >= oldest);
        self.shared_hosts = self.shared_hosts.filter(|at| *at >= oldest);
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

/// Returns the store's steady clock, in milliseconds, before which samples have expired.
fn oldest_sample(now: Duration) -> u64 {
    u64::try_from(now.saturating_sub(SAMPLE_TTL).as_millis()).unwrap_or(0)
}
