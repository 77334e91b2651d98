//! Tests how engines of different speed are divided among models.

use hibiscusroad::rollout::{
    load_plan::{EngineStatus, ModelGoal, plan},
    steady_pace::SteadyPaces,
};
use proptest::prelude::*;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const FAST: Duration = Duration::from_millis(26);
const USUAL: Duration = Duration::from_millis(58);

/// A version that makes all engines without weights stale.
const FIRST: u64 = 2;

/// Builds engines without weights, the first ones fast.
fn engines(fast: usize, others: usize) -> Vec<EngineStatus> {
    let engines = (0..fast + others).map(|n| EngineStatus {
        id: format!("e{n}"),
        weights: HashMap::new(),
        loading: false,
        blocked: false,
        slow: false,
        unanswered: 0,
        running_requests: 0,
        pace: Some(if n < fast { FAST } else { USUAL }),
    });
    engines.collect()
}

fn goals(work: &[f64], newest: u64) -> Vec<ModelGoal> {
    let goals = work.iter().enumerate().map(|(n, work)| ModelGoal {
        model: format!("m{n}"),
        newest,
        lag: 1,
        work: *work,
        items: None,
        priority: 0,
    });
    goals.collect()
}

/// Carries out the planned loads, each of which replaces the engine's weights, until there
/// are none; returns how many engines changed their model.
fn run_loads(engines: &mut [EngineStatus], goals: &[ModelGoal]) -> usize {
    let mut changes = 0;
    for _ in 0..1000 {
        let planned = plan(engines, goals, engines.len());
        if planned.is_empty() {
            return changes;
        }
        for load in planned {
            let engine = engines.iter_mut().find(|e| e.id == load.endpoint).unwrap();
            let is_change = !engine.weights.is_empty() && !engine.weights.contains_key(&load.model);
            changes += usize::from(is_change);
            engine.weights = HashMap::from([(load.model, load.version)]);
        }
    }
    panic!("the plan never becomes empty");
}

/// Returns the number of fast and of other engines of each model.
fn counts(engines: &[EngineStatus], models: usize) -> Vec<(usize, usize)> {
    let count = |model: usize, is_fast: bool| {
        let has_model = |e: &&EngineStatus| e.weights.contains_key(&format!("m{model}"));
        let of_speed = engines.iter().filter(|e| (e.pace == Some(FAST)) == is_fast);
        of_speed.filter(has_model).count()
    };
    (0..models)
        .map(|m| (count(m, true), count(m, false)))
        .collect()
}

// Guards against a model without fast engines, whose long texts all end late.
#[test]
fn fast_engines_are_divided_in_proportion() {
    let mut found = engines(4, 12);
    run_loads(&mut found, &goals(&[1.0; 4], FIRST));
    assert_eq!(counts(&found, 4), [(1, 3); 4]);
    let mut found = engines(4, 12);
    run_loads(&mut found, &goals(&[2.0, 1.0, 1.0], FIRST));
    assert_eq!(counts(&found, 3), [(2, 6), (1, 3), (1, 3)]);
}

// Guards against models that get as many other engines as those with the fast ones.
#[test]
fn other_engines_make_up_for_missing_fast_ones() {
    let mut found = engines(2, 10);
    run_loads(&mut found, &goals(&[1.0; 4], FIRST));
    let mut counts = counts(&found, 4);
    counts.sort_unstable();
    assert_eq!(counts, [(0, 3), (0, 3), (1, 2), (1, 2)]);
}

// Guards against engines that change their models with each step's size: a change costs a
// load and the runs at that engine.
#[test]
fn small_changes_of_the_work_move_no_engine() {
    let mut found = engines(3, 9);
    run_loads(&mut found, &goals(&[1.0; 3], FIRST));
    for version in FIRST + 1..30 {
        let work = if version % 2 == 0 { 13.0 } else { 8.0 };
        let goals = goals(&[work, 10.0, 10.0], version);
        assert_eq!(run_loads(&mut found, &goals), 0, "version {version}");
    }
}

// Guards against models that stop when an engine that was slow for a moment is left out.
#[test]
fn engine_that_is_slow_for_a_moment_keeps_its_model() {
    let mut found = engines(3, 9);
    run_loads(&mut found, &goals(&[1.0; 3], FIRST));
    for n in 0..found.len() {
        found[n].slow = true;
        assert_eq!(
            run_loads(&mut found, &goals(&[1.0; 3], FIRST)),
            0,
            "engine {n}"
        );
        found[n].slow = false;
    }
}

// Guards against a plan that leaves steadily slow engines in use.
#[test]
fn steadily_slow_engines_are_left_out() {
    let mut found = engines(2, 8);
    found[5].slow = true;
    found[5].pace = Some(USUAL * 3);
    run_loads(&mut found, &goals(&[1.0; 2], FIRST));
    assert!(found[5].weights.is_empty());
    assert_eq!(found.iter().filter(|e| !e.weights.is_empty()).count(), 9);
}

// Guards against a plan that follows the moments in which hosts are slow.
#[test]
fn steady_pace_ignores_slow_moments() {
    let (mut paces, start) = (SteadyPaces::new(), Instant::now());
    let mut steady = Vec::new();
    for n in 0..40 {
        let at = start + Duration::from_secs(n);
        let pace = if n > 0 && n % 4 == 0 {
            FAST * 5 / 2
        } else {
            FAST
        };
        steady.push(paces.record("e", at, pace));
        // A measurement that is read again doesn't count twice.
        paces.record("e", at, USUAL);
    }
    assert_eq!(steady, [FAST; 40]);
    let changed = (40..46).map(|n| paces.record("e", start + Duration::from_secs(n), USUAL));
    assert_eq!(changed.last(), Some(USUAL), "a lasting change shows");
}

proptest! {
    // Guards against models that get an engine more or less than their share, and plans that
    // move engines although nothing has changed.
    #[test]
    fn each_model_gets_its_share_of_speed(
        fast in 0..8_usize,
        others in 8..40_usize,
        work in proptest::collection::vec(0.5..2.0_f64, 2..5),
    ) {
        let mut found = engines(fast, others);
        run_loads(&mut found, &goals(&work, FIRST));
        let total: f64 = work.iter().map(|work| work.max(1.0)).sum();
        for (model, (own_fast, own_others)) in counts(&found, work.len()).into_iter().enumerate() {
            let share = work[model].max(1.0) / total;
            let expected = share * fast as f64;
            prop_assert!((own_fast as f64 - expected).abs() <= 1.0, "{own_fast} of {expected}");
            prop_assert!(own_fast + own_others >= 2);
        }
        prop_assert_eq!(run_loads(&mut found, &goals(&work, 3)), 0);
    }
}
