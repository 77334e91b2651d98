//! New weights go out in waves, and what engines report decides who is used.

use hibiscusroad::{
    route::shift::EngineKey,
    train::{RolloutPlan, Weights},
};
use std::time::{Duration, Instant};

const LOAD: Duration = Duration::from_secs(4);
const AIM: Duration = Duration::from_secs(33);
const FENCE: u64 = 9;

/// Lets seconds pass; engines report `outcome` of their order after a load.
fn roll_out(
    weights: &mut Weights,
    now: &mut Instant,
    seconds: u32,
    mut outcome: impl FnMut(EngineKey, u64) -> u64,
    mut look: impl FnMut(&Weights),
) -> usize {
    let mut loading: Vec<(Instant, EngineKey, u64)> = Vec::new();
    let mut orders = 0;
    for _ in 0..seconds {
        *now += Duration::from_secs(1);
        let (ready, later): (Vec<_>, Vec<_>) = loading.into_iter().partition(|job| job.0 <= *now);
        loading = later;
        for (_, engine, version) in ready {
            weights.report(*now, engine, outcome(engine, version));
        }
        for fenced in weights.tick(*now) {
            assert_eq!(fenced.fence, FENCE);
            orders += 1;
            let order = fenced.order;
            loading.push((*now + LOAD, order.engine, order.version));
        }
        look(weights);
    }
    orders
}

// A swap fails and leaves the engine on a version that nobody ordered. Its
// report shows it; no sample may start there until another order has put it
// right, since a trainer can't use what that version generates.
#[test]
fn an_unintended_version_leaves_the_pool_until_put_right() {
    let mut now = Instant::now();
    let mut weights = Weights::new(now, FENCE, 5, 2, 4.0);
    let engines: Vec<EngineKey> = (0..8).map(|_| weights.add_engine(5)).collect();
    weights.roll_out(6);
    let bad = engines[3];
    let (mut failed, mut out, mut back) = (false, false, false);
    let outcome = |engine, version| {
        let odd = engine == bad && !failed;
        failed |= odd;
        if odd { 2 } else { version }
    };
    let orders = roll_out(&mut weights, &mut now, 60, outcome, |weights| {
        assert!(weights.serving() >= 2);
        let usable = weights.is_usable(bad, 4);
        out |= !usable;
        back = out && usable;
    });
    assert!(out && back);
    assert_eq!(weights.stale(), 0);
    assert_eq!(orders, engines.len() + 1);
}

// A new version is out, and the trainer has gone on twice since: the one before
// the last is not under any order, but under the bound no sample may use it.
#[test]
fn an_engine_behind_the_bound_is_not_used() {
    let mut weights = Weights::new(Instant::now(), FENCE, 5, 0, 4.0);
    let engine = weights.add_engine(5);
    assert!(weights.is_usable(engine, 5));
    assert!(!weights.is_usable(engine, 6));
    weights.roll_out(6);
    assert!(weights.is_usable(engine, 4));
    weights.roll_out(7);
    assert!(!weights.is_usable(engine, 4));
}

// 600 engines in 33 s, a quarter changing at once: four waves, so that an
// engine has at most 8 s from order to report. At 6 s a load the store alone
// must begin 47 loads a second; where engines copy from each other, the first
// wave alone needs the store, at 15 a second.
#[test]
fn six_hundred_engines_within_33_seconds() {
    let plan = RolloutPlan {
        engines: 600,
        wave_size: 150,
        load_time: Duration::from_secs(6),
        store_rate: 1.0,
        peer_copies: 0,
    };
    let alone = plan.min_store_rate(AIM).unwrap();
    let copied = RolloutPlan {
        peer_copies: 1,
        ..plan
    }
    .min_store_rate(AIM)
    .unwrap();
    println!("store alone {alone}/s, with copies {copied}/s");
    let slow = RolloutPlan {
        load_time: Duration::from_millis(8500),
        ..plan
    };
    assert_eq!(slow.min_store_rate(AIM), None);
    assert_eq!((alone, copied), (47, 15));
    for (copies, rate) in [(0, alone), (1, copied)] {
        let plan = RolloutPlan {
            peer_copies: copies,
            store_rate: f64::from(rate),
            ..plan
        };
        assert!(plan.duration() <= AIM);
        let less = RolloutPlan {
            store_rate: f64::from(rate - 1),
            ..plan
        };
        assert!(less.duration() > AIM);
    }
}

// The same by the waves that are really ordered, at 4 s a load and 47 loads a
// second: 600 engines report the new version in time, 450 serving all the while.
#[test]
fn the_waves_keep_to_the_plan() {
    let mut now = Instant::now();
    let mut weights = Weights::new(now, FENCE, 5, 450, 47.0);
    for _ in 0..600 {
        weights.add_engine(5);
    }
    weights.roll_out(6);
    let (mut seconds, mut done) = (0, None);
    roll_out(
        &mut weights,
        &mut now,
        60,
        |_, version| version,
        |weights| {
            seconds += 1;
            assert!(weights.serving() >= 450);
            if weights.stale() == 0 {
                done.get_or_insert(seconds);
            }
        },
    );
    println!("done after {done:?} s");
    assert!(done.is_some_and(|done| done <= AIM.as_secs()));
}
