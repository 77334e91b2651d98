//! Plans which engine loads which weights next.
//!
//! Loading a version stops an engine for about a second, longer when many engines load at
//! once, and a new version of each model arrives every few seconds. Steps accept weights
//! that are some versions old (their lag, usually one), so half of the engines may skip a
//! version and load the next. With several models, each engine is assigned to one of
//! them, in proportion to the work of their steps; slow engines are left out. Where trainers
//! compete for engines, the speed of the engines counts in place of their number.
//!
//! An engine that doesn't answer is not counted as usable, and is ordered again only while no
//! other one waits for its turn: the number of concurrent loads is limited, and such engines
//! would take all turns.
//!
//! Stale engines are loaded in turn, so that after an outage each model gets the same
//! share of its engines back. Among equal shares, the most urgent model goes first.

use crate::rollout::{
    load_goal::{MIN_ENGINES, affinity},
    model_shares::{self, Pool},
};
use serde::{Deserialize, Serialize};
use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet},
    time::Duration,
};

pub use crate::rollout::load_goal::{EngineStatus, ModelGoal};

/// Before any load is measured, one engine in this many loads at once, but at least
/// [`MIN_INITIAL_LOADS`] engines do. The source of the weights is assumed to be sized for
/// the number of engines.
const ENGINES_PER_LOAD: usize = 8;
const MIN_INITIAL_LOADS: usize = 2;
/// The next level of concurrent loads must raise the total rate by this factor.
const MIN_RATE_GAIN: f64 = 1.1;
/// Ratio of two levels of concurrent loads, where it exceeds one load. It is above
/// [`MIN_RATE_GAIN`], so that a level that pays off can show it at any number of loads.
const LEVEL_RATIO: (usize, usize) = (5, 4);
/// Weight of a new sample in the average load time.
const SAMPLE_WEIGHT: f64 = 0.3;

/// A load to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightLoad {
    /// The engine.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Chooses the loads to order now, limiting the loads in progress to `max_loads`.
#[must_use]
pub fn plan(engines: &[EngineStatus], goals: &[ModelGoal], max_loads: usize) -> Vec<WeightLoad> {
    let busy = engines.iter().filter(|engine| engine.loading).count();
    let mut candidates = Vec::new();
    for (goal, mut assigned) in goals.iter().zip(assign(engines, goals)) {
        let version = |idx: &usize| engines[*idx].weights.get(&goal.model).copied().unwrap_or(0);
        let oldest = goal.newest.saturating_sub(goal.lag);
        let is_unresponsive = |idx: &usize| engines[*idx].unanswered > 0;
        // They are assigned with the newest weights first, so the same ones are kept.
        assigned.sort_by_key(is_unresponsive);
        assigned.truncate(goal.items.unwrap_or(usize::MAX).max(MIN_ENGINES));
        // The least loaded engines go first, because the fewest runs are held up there.
        assigned.sort_by_key(|idx| {
            (
                is_unresponsive(idx),
                version(idx),
                engines[*idx].running_requests,
                engines[*idx].id.clone(),
            )
        });
        let responsive = assigned.iter().copied().filter(|idx| !is_unresponsive(idx));
        let responsive: Vec<usize> = responsive.collect();
        let newer = responsive.iter().filter(|idx| version(idx) > oldest);
        // Half of the engines should stay usable after the next version.
        let mut missing = responsive.len().div_ceil(2).saturating_sub(newer.count());
        let quota = responsive.len().max(1) as f64;
        let usable = responsive.iter().filter(|idx| version(idx) >= oldest);
        let mut usable = usable.count();
        for idx in assigned {
            let stale = version(&idx) < oldest;
            if version(&idx) >= goal.newest || !(stale || missing > 0) {
                continue;
            }
            missing = missing.saturating_sub(1);
            candidates.push(Candidate {
                unresponsive: is_unresponsive(&idx),
                stale,
                usable_share: if stale { usable as f64 / quota } else { 0.0 },
                versions_behind: goal.newest - version(&idx),
                engine: idx,
                goal,
            });
            usable += usize::from(stale);
        }
    }
    candidates.sort_by(Candidate::cmp_urgency);
    let mut chosen = HashSet::new();
    let can_load =
        |load: &Candidate<'_>| !engines[load.engine].loading && !engines[load.engine].blocked;
    let loads = candidates.into_iter().filter(can_load);
    loads
        .filter(|load| chosen.insert(load.engine))
        .take(max_loads.saturating_sub(busy))
        .map(|load| WeightLoad {
            endpoint: engines[load.engine].id.clone(),
            model: load.goal.model.clone(),
            version: load.goal.newest,
        })
        .collect()
}

/// A load that would be useful.
struct Candidate<'a> {
    /// Whether the engine did not answer.
    unresponsive: bool,
    /// Whether the engine's version is too old for any step of the model.
    stale: bool,
    /// The share of the model's engines that steps can use after the preceding loads.
    usable_share: f64,
    versions_behind: u64,
    engine: usize,
    goal: &'a ModelGoal,
}

impl Candidate<'_> {
    /// Orders the most urgent load first.
    fn cmp_urgency(&self, other: &Self) -> Ordering {
        let responsive = self.unresponsive.cmp(&other.unresponsive);
        let stale = other.stale.cmp(&self.stale);
        let share = self.usable_share.total_cmp(&other.usable_share);
        let rank = self.goal.priority.cmp(&other.goal.priority);
        let behind = other.versions_behind.cmp(&self.versions_behind);
        let urgency = stale.then(share).then(rank).then(behind);
        responsive.then(urgency)
    }
}

/// Assigns engines to models, preferring those with the newest weights, so that engines
/// stay with their models whichever process decides.
fn assign(engines: &[EngineStatus], goals: &[ModelGoal]) -> Vec<Vec<usize>> {
    let mut assigned = vec![Vec::new(); goals.len()];
    if let Some(pools) = model_shares::divide(engines, goals) {
        for pool in pools {
            assign_pool(engines, goals, pool, &mut assigned);
        }
        return assigned;
    }
    let healthy = (0..engines.len()).filter(|idx| !engines[*idx].slow);
    let healthy: Vec<usize> = healthy.collect();
    let pool = Pool {
        quotas: quotas(healthy.len(), goals),
        engines: healthy,
    };
    assign_pool(engines, goals, pool, &mut assigned);
    assigned
}

/// Assigns the engines of a pool.
fn assign_pool(
    engines: &[EngineStatus],
    goals: &[ModelGoal],
    pool: Pool,
    assigned: &mut [Vec<usize>],
) {
    let mut quotas = pool.quotas;
    let mut pairs = Vec::new();
    for model in 0..goals.len() {
        for idx in pool.engines.iter().copied() {
            pairs.push((affinity(&engines[idx], goals, model), idx));
        }
    }
    pairs.sort_unstable();
    let mut is_assigned = vec![false; engines.len()];
    for ((_, _, model), idx) in pairs {
        if quotas[model] > 0 && !is_assigned[idx] {
            quotas[model] -= 1;
            is_assigned[idx] = true;
            assigned[model].push(idx);
        }
    }
}

/// Divides `count` engines among models in proportion to their work.
fn quotas(count: usize, goals: &[ModelGoal]) -> Vec<usize> {
    let total: f64 = goals.iter().map(|goal| goal.work.max(1.0)).sum();
    let mut quotas = vec![MIN_ENGINES.min(count / goals.len().max(1)); goals.len()];
    let given: usize = quotas.iter().sum();
    for _ in given..count {
        let deficit = |model: &usize| {
            goals[*model].work.max(1.0) / total * count as f64 - quotas[*model] as f64
        };
        let neediest = (0..goals.len()).max_by(|a, b| deficit(a).total_cmp(&deficit(b)));
        if let Some(model) = neediest {
            quotas[model] += 1;
        }
    }
    quotas
}

/// Learns how many concurrent loads give the highest total rate.
///
/// The number from which on loads slow each other down differs between deployments and
/// is not configured. Numbers of loads are tried by levels, each a quarter above the one
/// before, as long as the last increase paid off. Steps of one load would stop at ten:
/// beyond, no single load raises the rate by [`MIN_RATE_GAIN`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadConcurrency {
    /// Average seconds per load, by the level of concurrent loads.
    seconds: HashMap<usize, f64>,
}

impl LoadConcurrency {
    /// Creates a state without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the duration of a load that ran while `concurrent` loads were in progress.
    pub fn record_load(&mut self, concurrent: usize, duration: Duration) {
        let seconds = duration.as_secs_f64().max(0.001);
        let mean = self.seconds.entry(level(concurrent)).or_insert(seconds);
        *mean += (seconds - *mean) * SAMPLE_WEIGHT;
    }

    /// Returns how many loads to run at once on this number of engines.
    #[must_use]
    pub fn max_loads(&self, engines: usize) -> usize {
        let rate = |loads: usize| {
            self.seconds
                .get(&loads)
                .map(|seconds| loads as f64 / seconds)
        };
        let max = level(engines.max(MIN_INITIAL_LOADS));
        let mut best = level(MIN_INITIAL_LOADS.max(engines / ENGINES_PER_LOAD));
        // The initial number may be too high.
        while best > 1
            && matches!((rate(level(best - 1)), rate(best)), (Some(fewer), Some(current)) if fewer * MIN_RATE_GAIN > current)
        {
            best = level(best - 1);
        }
        while best < max {
            let next = next_level(best);
            match (rate(best), rate(next)) {
                (Some(_), None) => return next,
                (Some(current), Some(more)) if more > current * MIN_RATE_GAIN => best = next,
                _ => break,
            }
        }
        // Fewer may do as well, if the initial number was too high.
        let fewer = level(best - 1);
        if rate(best).is_some() && rate(fewer).is_none() && fewer >= MIN_INITIAL_LOADS {
            return fewer;
        }
        best
    }
}

/// Returns the highest level that is not above this number of loads.
fn level(loads: usize) -> usize {
    let mut level = 1;
    while next_level(level) <= loads {
        level = next_level(level);
    }
    level
}

fn next_level(level: usize) -> usize {
    (level + 1).max(level * LEVEL_RATIO.0 / LEVEL_RATIO.1)
}
