//! Random histories of one run with lost answers, lost holders and failed swaps.

#[path = "train_world/mod.rs"]
mod world;

use crate::world::World;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // While holders, engines and the table fail, each cursor has one batch, no sample is
    // delivered twice, versions are those that ran, and no sample exceeds the staleness
    // bound. Steps continue once the faults end.
    #[test]
    fn samples_are_delivered_once_with_true_versions(seed: u64, ticks in 50_u32..600) {
        let mut world = World::new(seed);
        for _ in 0..ticks {
            world.tick();
        }
        world.end_faults();
        let steps_before = world.steps();
        for _ in 0..400 {
            world.tick();
        }
        prop_assert!(world.steps() > steps_before + 2, "{} then {}", steps_before, world.steps());
    }
}

// Guards against histories that exercise nothing: they must deliver, hedge and drop samples.
#[test]
fn histories_cover_steps_hedges_and_drops() {
    let (mut steps, mut hedges, mut dropped) = (0, 0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.tick();
        }
        steps += world.steps();
        hedges += world.counts().hedges;
        dropped += world.counts().dropped;
    }
    println!("{steps} steps, {hedges} hedges, {dropped} dropped samples");
    assert!(steps > 100 && hedges > 100 && dropped > 100);
}
