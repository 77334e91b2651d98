//! What is known of engines and wanted of models when loads of weights are planned.

use std::{collections::HashMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of engines per model, so that losing one doesn't stop the model.
pub(super) const MIN_ENGINES: usize = 2;

/// An engine, as the holder of the duty sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineStatus {
    /// The ID of the engine.
    pub id: String,
    /// The versions that it has, by model.
    pub weights: HashMap<String, u64>,
    /// Whether an order is in progress there.
    pub loading: bool,
    /// Whether it must not be ordered for now, although no order is in progress.
    pub blocked: bool,
    /// Whether it is much slower than its peers.
    pub slow: bool,
    /// Number of calls in a row that it did not answer.
    pub unanswered: u32,
    /// Number of requests known to run there.
    pub running_requests: u32,
    /// Its time per event, if engines are to be divided by speed and the time is known.
    pub pace: Option<Duration>,
}

/// What the steps of a model need.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelGoal {
    /// The model.
    pub model: String,
    /// The newest version that was announced.
    pub newest: u64,
    /// Number of versions by which its steps may lag.
    pub lag: u64,
    /// Its share of the work, in any unit.
    pub work: f64,
    /// Number of items of a step, once there was one.
    pub items: Option<usize>,
    /// The rank of its steps, 0 being the highest.
    pub priority: u8,
}

/// Returns the sort key by which an engine prefers a model: the versions that it is behind,
/// a tie-breaker and the model.
pub(super) fn affinity(
    engine: &EngineStatus,
    goals: &[ModelGoal],
    model: usize,
) -> (u64, u64, usize) {
    let goal = &goals[model];
    let version = engine.weights.get(&goal.model).copied().unwrap_or(0);
    let tie_breaker = xxh3_64_with_seed(engine.id.as_bytes(), model as u64);
    (goal.newest.saturating_sub(version), tie_breaker, model)
}
