//! A short soak with engines that are like real ones.
//!
//! It is apart from the other soaks: beside it in one process, the stand-in stores of these were
//! slow to answer.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, EngineOptions, Options},
};
use std::time::Duration;

// Loads of weights, full engines, long texts, groups that are carried over and engines that fail
// in series must leave no item at no engine while engines have room.
#[test]
fn items_stand_at_engines_that_fail_in_series() {
    let options = Options {
        time: Duration::from_secs(22),
        seed: 103,
        processes: 5,
        contention: false,
        late_writes: false,
        engines: Some(EngineOptions::default()),
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("steps") >= 2, "{}", found.text());
}
