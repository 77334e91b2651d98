//! Rollouts of new weights in waves, and the use of engines by the versions they report.

use hibiscusroad::{
    route::reconcile::EngineKey,
    train::{RolloutPlan, Weights},
};
use std::time::{Duration, Instant};

const LOAD_TIME: Duration = Duration::from_secs(4);
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(33);
const FENCE: u64 = 9;

/// Lets seconds pass. Engines report the version from `outcome` one load time after an
/// order, and `inspect` is called every second. Returns the number of orders.
fn run_rollout(
    weights: &mut Weights,
    now: &mut Instant,
    seconds: u32,
    mut outcome: impl FnMut(EngineKey, u64) -> u64,
    mut inspect: impl FnMut(&Weights),
) -> usize {
    let mut loading: Vec<(Instant, EngineKey, u64)> = Vec::new();
    let mut orders = 0;
    for _ in 0..seconds {
        *now += Duration::from_secs(1);
        let (loaded, remaining): (Vec<_>, Vec<_>) =
            loading.into_iter().partition(|load| load.0 <= *now);
        loading = remaining;
        for (_, engine, version) in loaded {
            weights.report(*now, engine, outcome(engine, version));
        }
        for fenced in weights.tick(*now) {
            assert_eq!(fenced.fence, FENCE);
            orders += 1;
            let order = fenced.order;
            loading.push((*now + LOAD_TIME, order.engine, order.version));
        }
        inspect(weights);
    }
    orders
}

// A failed swap leaves an engine on an unintended version. It must not be used until
// another order has corrected it.
#[test]
fn engine_with_an_unintended_version_is_unused_until_corrected() {
    let mut now = Instant::now();
    let mut weights = Weights::new(now, FENCE, 5, 2, 4.0);
    let engines: Vec<EngineKey> = (0..8).map(|_| weights.add_engine(5)).collect();
    weights.roll_out(6);
    let faulty = engines[3];
    let (mut failed, mut excluded, mut readmitted) = (false, false, false);
    let outcome = |engine, version| {
        let fails = engine == faulty && !failed;
        failed |= fails;
        if fails { 2 } else { version }
    };
    let orders = run_rollout(&mut weights, &mut now, 60, outcome, |weights| {
        assert!(weights.serving() >= 2);
        let usable = weights.is_usable(faulty, 4);
        excluded |= !usable;
        readmitted = excluded && usable;
    });
    assert!(excluded && readmitted);
    assert_eq!(weights.stale(), 0);
    assert_eq!(orders, engines.len() + 1);
}

// An engine must not be used below the minimum version, nor more than one version behind
// the target.
#[test]
fn engine_below_the_minimum_or_two_versions_behind_is_unused() {
    let mut weights = Weights::new(Instant::now(), FENCE, 5, 0, 4.0);
    let engine = weights.add_engine(5);
    assert!(weights.is_usable(engine, 5));
    assert!(!weights.is_usable(engine, 6));
    weights.roll_out(6);
    assert!(weights.is_usable(engine, 4));
    weights.roll_out(7);
    assert!(!weights.is_usable(engine, 4));
}

// The weight store must reach the planned rate, which is lower where engines copy from each
// other.
#[test]
fn six_hundred_engines_within_33_seconds() {
    let plan = RolloutPlan {
        engines: 600,
        wave_size: 150,
        load_time: Duration::from_secs(6),
        store_rate: 1.0,
        peer_copies: 0,
    };
    let store_only = plan.min_store_rate(MAX_ROLLOUT_TIME).unwrap();
    let with_copies = RolloutPlan {
        peer_copies: 1,
        ..plan
    }
    .min_store_rate(MAX_ROLLOUT_TIME)
    .unwrap();
    println!("store only {store_only}/s, with copies {with_copies}/s");
    let slow_loads = RolloutPlan {
        load_time: Duration::from_millis(8500),
        ..plan
    };
    assert_eq!(slow_loads.min_store_rate(MAX_ROLLOUT_TIME), None);
    assert_eq!((store_only, with_copies), (47, 15));
    for (copies, rate) in [(0, store_only), (1, with_copies)] {
        let plan = RolloutPlan {
            peer_copies: copies,
            store_rate: f64::from(rate),
            ..plan
        };
        assert!(plan.duration() <= MAX_ROLLOUT_TIME);
        let slower_store = RolloutPlan {
            store_rate: f64::from(rate - 1),
            ..plan
        };
        assert!(slower_store.duration() > MAX_ROLLOUT_TIME);
    }
}

// The orders of `Weights` must keep to the time of the plan, and to the floor of serving
// engines.
#[test]
fn rollout_of_six_hundred_engines_keeps_to_the_plan() {
    let mut now = Instant::now();
    let mut weights = Weights::new(now, FENCE, 5, 450, 47.0);
    for _ in 0..600 {
        weights.add_engine(5);
    }
    weights.roll_out(6);
    let (mut seconds, mut completed_at) = (0, None);
    run_rollout(
        &mut weights,
        &mut now,
        60,
        |_, version| version,
        |weights| {
            seconds += 1;
            assert!(weights.serving() >= 450);
            if weights.stale() == 0 {
                completed_at.get_or_insert(seconds);
            }
        },
    );
    println!("completed after {completed_at:?} s");
    assert!(completed_at.is_some_and(|seconds| seconds <= MAX_ROLLOUT_TIME.as_secs()));
}
