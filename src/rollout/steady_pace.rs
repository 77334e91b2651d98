//! The pace of engines without the changes of a moment.
//!
//! A host that others share is slow for less than a second at a time. A load plan that
//! followed each measurement would move engines between models, and each move costs a
//! load of weights. The median of some measurements in a row shows an engine's own pace
//! as long as fewer than half of them fall into slow moments.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// Number of measurements that count. Owners share one per second and engine; with a
/// fraction of 0.15 of the hosts slow at a time, five of nine are slow once in 180 times.
const SAMPLES: usize = 9;

/// The last measurements of each engine.
#[derive(Debug, Default)]
pub struct SteadyPaces {
    engines: HashMap<String, VecDeque<(Instant, Duration)>>,
}

impl SteadyPaces {
    /// Creates a table without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time per event that was measured at an instant, unless it is known, and
    /// returns the engine's steady one.
    pub fn record(&mut self, engine: &str, measured_at: Instant, pace: Duration) -> Duration {
        let samples = self.engines.entry(engine.to_owned()).or_default();
        if samples.back().is_none_or(|(last, _)| *last < measured_at) {
            samples.push_back((measured_at, pace));
        }
        if samples.len() > SAMPLES {
            samples.pop_front();
        }
        let mut paces: Vec<Duration> = samples.iter().map(|(_, pace)| *pace).collect();
        paces.sort_unstable();
        paces[paces.len() / 2]
    }

    /// Forgets the engines for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}
