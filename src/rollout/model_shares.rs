//! Divides engines among models by speed, where trainers compete for them.
//!
//! Load: some engines emit events in less than half the time of the others, and no model
//! has enough engines. If engines were only counted, a model could get none of the fast
//! ones, and its long texts would end late. Fast engines are therefore divided first, in
//! proportion to the work of each model, and the others such that each model's speed is in
//! proportion to its work.
//!
//! The division starts from the engines that each model has, and changes it only where a
//! model is a whole engine away from its share: a change costs a load of weights. Shares
//! are thus exact to less than one engine, and a step that is a little larger than the one
//! before moves nothing.

use crate::rollout::{
    load_goal::{EngineStatus, MIN_ENGINES, ModelGoal, affinity},
    tier::{ServiceSpeed, Tier},
};
use std::time::Duration;

/// An engine is fast if its pace is at most this factor of the median. Engines of one kind
/// differ by a third at most.
const FAST_FACTOR: f64 = 0.7;
/// The ratio of speeds is rounded to multiples of this, so that measurements don't move
/// engines.
const RATIO_STEP: f64 = 0.5;

/// Engines that are divided together, and the number that each model gets.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) engines: Vec<usize>,
    pub(super) quotas: Vec<usize>,
}

/// Divides engines among models; `None` if no pace is known.
pub(super) fn divide(engines: &[EngineStatus], goals: &[ModelGoal]) -> Option<[Pool; 2]> {
    let speed = ServiceSpeed::from_paces(engines.iter().filter_map(pace))?;
    let is_usable = |engine: &EngineStatus| {
        let is_slow = pace(engine).is_none_or(|pace| speed.tier(pace) == Tier::Slow);
        !(engine.slow && is_slow)
    };
    let is_fast =
        |idx: &usize| pace(&engines[*idx]).is_some_and(|pace| pace <= speed.median * FAST_FACTOR);
    let usable = (0..engines.len()).filter(|idx| is_usable(&engines[*idx]));
    let (fast, others): (Vec<usize>, Vec<usize>) = usable.partition(is_fast);
    let ratio = speed_ratio(engines, &fast, &others);
    let shares = work_shares(goals);

    let ideal: Vec<f64> = shares.iter().map(|s| s * fast.len() as f64).collect();
    let fast_quotas = adjust(home_counts(engines, goals, &fast), fast.len(), &ideal);

    let total = ratio * fast.len() as f64 + others.len() as f64;
    let min = MIN_ENGINES.min((fast.len() + others.len()) / goals.len().max(1));
    let ideal = shares.iter().zip(&fast_quotas).map(|(share, quota)| {
        let rest = share * total - ratio * *quota as f64;
        rest.max(min.saturating_sub(*quota) as f64)
    });
    let ideal = scale(ideal.collect(), others.len(), |model| {
        min.saturating_sub(fast_quotas[model]) as f64
    });
    let other_quotas = adjust(home_counts(engines, goals, &others), others.len(), &ideal);
    Some([
        Pool {
            engines: fast,
            quotas: fast_quotas,
        },
        Pool {
            engines: others,
            quotas: other_quotas,
        },
    ])
}

fn pace(engine: &EngineStatus) -> Option<f64> {
    engine.pace.as_ref().map(Duration::as_secs_f64)
}

/// Returns how many times faster the fast engines are than the others.
fn speed_ratio(engines: &[EngineStatus], fast: &[usize], others: &[usize]) -> f64 {
    let median = |pool: &[usize]| {
        let paces = pool.iter().filter_map(|idx| pace(&engines[*idx]));
        ServiceSpeed::from_paces(paces).map(|speed| speed.median)
    };
    let Some((fast, others)) = median(fast).zip(median(others)) else {
        return 1.0;
    };
    let steps = others / fast.max(f64::MIN_POSITIVE) / RATIO_STEP;
    (steps.round() * RATIO_STEP).max(1.0)
}

/// Returns the share of each model in the work.
fn work_shares(goals: &[ModelGoal]) -> Vec<f64> {
    let total: f64 = goals.iter().map(|goal| goal.work.max(1.0)).sum();
    goals
        .iter()
        .map(|goal| goal.work.max(1.0) / total)
        .collect()
}

/// Scales shares down to a total of `count`, as far as their minimum allows.
fn scale(mut ideal: Vec<f64>, count: usize, min: impl Fn(usize) -> f64) -> Vec<f64> {
    let spare = |(model, share): (usize, &f64)| share - min(model);
    let total_spare: f64 = ideal.iter().enumerate().map(spare).sum();
    let excess = ideal.iter().sum::<f64>() - count as f64;
    if excess > 0.0 && total_spare > 0.0 {
        let kept = 1.0 - (excess / total_spare).min(1.0);
        for (model, share) in ideal.iter_mut().enumerate() {
            *share = min(model) + (*share - min(model)) * kept;
        }
    }
    ideal
}

/// Counts the engines of a pool by the model whose newest weights they have.
fn home_counts(engines: &[EngineStatus], goals: &[ModelGoal], pool: &[usize]) -> Vec<usize> {
    let mut counts = vec![0; goals.len()];
    for engine in pool.iter().map(|idx| &engines[*idx]) {
        let models = (0..goals.len()).filter(|m| engine.weights.contains_key(&goals[*m].model));
        if let Some(home) = models.min_by_key(|model| affinity(engine, goals, *model)) {
            counts[home] += 1;
        }
    }
    counts
}

/// Gives free engines to the models that lack most, and moves others only while a model is
/// a whole engine away from its share.
fn adjust(mut counts: Vec<usize>, total: usize, ideal: &[f64]) -> Vec<usize> {
    let lack = |counts: &[usize], model: usize| ideal[model] - counts[model] as f64;
    let extremes = |counts: &[usize]| {
        let compare = |a: &usize, b: &usize| lack(counts, *a).total_cmp(&lack(counts, *b));
        let models = 0..counts.len();
        models.clone().max_by(compare).zip(models.min_by(compare))
    };
    for _ in counts.iter().sum::<usize>()..total {
        if let Some((most_lacking, _)) = extremes(&counts) {
            counts[most_lacking] += 1;
        }
    }
    // Each move brings the counts closer to the shares, so this many moves suffice.
    for _ in 0..total {
        let Some((most_lacking, least_lacking)) = extremes(&counts) else {
            break;
        };
        let (lacking, excess) = (lack(&counts, most_lacking), -lack(&counts, least_lacking));
        if lacking.max(excess) < 1.0 || lacking + excess <= 1.0 || counts[least_lacking] == 0 {
            break;
        }
        counts[most_lacking] += 1;
        counts[least_lacking] -= 1;
    }
    counts
}
