//! Histories of one run under lost answers, lost holders and failed swaps.

#[path = "train_world/mod.rs"]
mod world;

use crate::world::World;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    // A trainer pulls through holders that are killed, paused, or taken over
    // without knowing it, while the table loses answers and applies writes
    // late, engines break, and swaps leave versions that nobody asked for. It
    // restarts from checkpoints, and asks two holders at once. Each cursor has
    // one batch, no sample is in two, versions are what ran, nothing is over
    // the bound. When the trouble ends, steps go on.
    #[test]
    fn each_sample_once_and_true(seed: u64, turns in 50_u32..600) {
        let mut world = World::new(seed);
        for _ in 0..turns {
            world.turn();
        }
        world.calm();
        let before = world.steps();
        for _ in 0..400 {
            world.turn();
        }
        prop_assert!(world.steps() > before + 2, "{} then {}", before, world.steps());
    }
}

// The histories above prove little if nothing in them is hedged, dropped or
// delivered. Two hundred of them do all of it many times.
#[test]
fn histories_reach_what_they_are_for() {
    let (mut steps, mut hedges, mut dropped) = (0, 0, 0);
    for seed in 0..200 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.turn();
        }
        steps += world.steps();
        hedges += world.counts().hedges;
        dropped += world.counts().dropped;
    }
    println!("{steps} steps, {hedges} second copies, {dropped} dropped");
    assert!(steps > 100 && hedges > 100 && dropped > 100);
}
