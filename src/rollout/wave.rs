//! Which engine loads which weights next.
//!
//! Load: a new version of each model every few seconds, a load that stops an
//! engine for about a second and gets slower when more than a few load at once.
//! Harm: if every engine loads every version, engines stand still for a quarter
//! of the time, and with three models loads can't even keep up, until steps
//! find no engine that is fresh enough.
//!
//! A step allows weights some versions older than the newest (its lag, one as a
//! rule). So an engine need not load each version: with a lag of one half of
//! the engines may skip one and load the next. And with several models each
//! engine keeps only one of them fresh, by shares of the work that each model's
//! steps bring.
//!
//! An engine that is several times slower than the others, as some are for seconds,
//! counts for nothing: a model of three engines with two of them slow would do its
//! step on one, while the others have engines to spare.
//!
//! After an outage all models are stale at once. If the most urgent one got all its
//! engines first, the steps of the others would stand still meanwhile: up to 9 s, as
//! measured with three models on 38 engines. So stale engines are loaded in turns,
//! and of models that have the same share of their engines the most urgent first.

use serde::{Deserialize, Serialize};
use std::{
    cmp::Ordering,
    collections::{HashMap, HashSet},
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Engines that a model keeps at least, so that losing one doesn't stop it.
const LEAST: usize = 2;
/// Loads at once before anything was measured: one in so many engines, and
/// [`AT_ONCE`] at least. What weights are loaded from is made for the number of
/// engines; one in five to one in eight were seen to load without slowing down.
const ENGINES_AT_ONCE: usize = 8;
const AT_ONCE: usize = 2;
/// More at once has to load so much faster in all to be kept.
const GAIN: f64 = 1.1;
/// Weight of a new sample of how long a load takes.
const WEIGHT: f64 = 0.3;
/// Most loads at once that are ever tried.
const MOST: usize = 32;

/// An engine as the holder of the duty sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loader {
    /// Its id.
    pub id: String,
    /// Versions of its models.
    pub weights: HashMap<String, u64>,
    /// Whether an order is in progress there.
    pub busy: bool,
    /// Whether it is to be left alone for now, though no order is in progress.
    pub barred: bool,
    /// Whether it is much slower than the others.
    pub slow: bool,
    /// Requests that run there, as far as known.
    pub load: u32,
}

/// What the trainer of a model needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// The model.
    pub model: String,
    /// The newest version that was named.
    pub named: u64,
    /// By how many versions its steps may lag.
    pub lag: u64,
    /// Its share of the work, in any unit.
    pub work: f64,
    /// The rank of its steps; 0 is the highest.
    pub priority: u8,
}

/// A load to order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The engine.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Chooses the loads to order now, at most as many as `at_once` leaves free.
#[must_use]
pub fn plan(engines: &[Loader], goals: &[Goal], at_once: usize) -> Vec<Load> {
    let busy = engines.iter().filter(|engine| engine.busy).count();
    let mut wanted = Vec::new();
    for (goal, mut mine) in goals.iter().zip(assign(engines, goals)) {
        let version = |n: &usize| engines[*n].weights.get(&goal.model).copied().unwrap_or(0);
        let oldest = goal.named.saturating_sub(goal.lag);
        // Least loaded first: fewest runs are held up.
        mine.sort_by_key(|n| (version(n), engines[*n].load, engines[*n].id.clone()));
        let lasting = mine.iter().filter(|n| version(n) > oldest).count();
        let mut missing = mine.len().div_ceil(2).saturating_sub(lasting);
        let quota = mine.len().max(1) as f64;
        let mut usable = mine.iter().filter(|n| version(n) >= oldest).count();
        for n in mine {
            let stale = version(&n) < oldest;
            if version(&n) >= goal.named || !(stale || missing > 0) {
                continue;
            }
            missing = missing.saturating_sub(1);
            wanted.push(Wanted {
                stale,
                share: if stale { usable as f64 / quota } else { 0.0 },
                behind: goal.named - version(&n),
                engine: n,
                goal,
            });
            usable += usize::from(stale);
        }
    }
    wanted.sort_by(Wanted::cmp_urgency);
    let mut taken = HashSet::new();
    let open = |load: &Wanted<'_>| !engines[load.engine].busy && !engines[load.engine].barred;
    let free = wanted.into_iter().filter(open);
    free.filter(|load| taken.insert(load.engine))
        .take(at_once.saturating_sub(busy))
        .map(|load| Load {
            endpoint: engines[load.engine].id.clone(),
            model: load.goal.model.clone(),
            version: load.goal.named,
        })
        .collect()
}

/// A load that would be of use.
struct Wanted<'a> {
    /// No step can use the engine for the model as it is.
    stale: bool,
    /// The share of the model's engines that steps can use, with the loads before.
    share: f64,
    /// By how many versions the engine is behind.
    behind: u64,
    engine: usize,
    goal: &'a Goal,
}

impl Wanted<'_> {
    /// Orders the most urgent load first.
    fn cmp_urgency(&self, other: &Self) -> Ordering {
        let stale = other.stale.cmp(&self.stale);
        let share = self.share.total_cmp(&other.share);
        let rank = self.goal.priority.cmp(&other.goal.priority);
        let behind = other.behind.cmp(&self.behind);
        stale.then(share).then(rank).then(behind)
    }
}

/// Gives each model its engines, those first whose weights are the newest, so
/// that the same ones stay with it whoever decides.
fn assign(engines: &[Loader], goals: &[Goal]) -> Vec<Vec<usize>> {
    let sound = engines.iter().filter(|engine| !engine.slow).count();
    let mut quotas = quotas(sound, goals);
    let mut pairs = Vec::new();
    for (g, goal) in goals.iter().enumerate() {
        for (n, engine) in engines.iter().enumerate().filter(|(_, e)| !e.slow) {
            let version = engine.weights.get(&goal.model).copied().unwrap_or(0);
            let tie = xxh3_64_with_seed(engine.id.as_bytes(), g as u64);
            pairs.push((goal.named.saturating_sub(version), tie, g, n));
        }
    }
    pairs.sort_unstable();
    let mut found = vec![Vec::new(); goals.len()];
    let mut taken = vec![false; engines.len()];
    for (_, _, g, n) in pairs {
        if quotas[g] > 0 && !taken[n] {
            quotas[g] -= 1;
            taken[n] = true;
            found[g].push(n);
        }
    }
    found
}

/// Shares `n` engines among models by their work.
fn quotas(n: usize, goals: &[Goal]) -> Vec<usize> {
    let total: f64 = goals.iter().map(|goal| goal.work.max(1.0)).sum();
    let mut quotas = vec![LEAST.min(n / goals.len().max(1)); goals.len()];
    let given: usize = quotas.iter().sum();
    for _ in given..n {
        let need = |g: &usize| goals[*g].work.max(1.0) / total * n as f64 - quotas[*g] as f64;
        let most = (0..goals.len()).max_by(|a, b| need(a).total_cmp(&need(b)));
        if let Some(g) = most {
            quotas[g] += 1;
        }
    }
    quotas
}

/// Learns how many loads at once are fastest in all.
///
/// The number at which loads get slower differs between deployments and is told
/// nowhere. One more at once is tried as long as it paid before.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Pace {
    /// Seconds that a load took, by how many ran at once.
    seconds: HashMap<usize, f64>,
}

impl Pace {
    /// Creates a pace without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how long a load took while so many ran at once.
    pub fn loaded(&mut self, at_once: usize, took: Duration) {
        let took = took.as_secs_f64().max(0.001);
        let known = self.seconds.entry(at_once).or_insert(took);
        *known += (took - *known) * WEIGHT;
    }

    /// Returns how many loads to run at once before so many engines.
    #[must_use]
    pub fn at_once(&self, engines: usize) -> usize {
        let rate = |n: usize| self.seconds.get(&n).map(|seconds| n as f64 / seconds);
        let mut best = AT_ONCE.max(engines / ENGINES_AT_ONCE).min(MOST);
        // Fewer may be faster, if the first guess was too high.
        while best > 1
            && matches!((rate(best - 1), rate(best)), (Some(fewer), Some(here)) if fewer * GAIN > here)
        {
            best -= 1;
        }
        while best < MOST {
            match (rate(best), rate(best + 1)) {
                (Some(_), None) => return best + 1,
                (Some(here), Some(more)) if more > here * GAIN => best += 1,
                _ => return best,
            }
        }
        best
    }
}
