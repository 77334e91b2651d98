//! A short soak of gateways, and every seed that ever broke a promise.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, Options},
};
use std::time::Duration;

// Callers see whole answers of their own or true refusals, trainers see every
// item once at a position that stays, and all batches end once the faults do,
// whatever fails in between.
#[test]
fn promises_hold_under_drawn_faults() {
    let options = Options {
        time: Duration::from_secs(8),
        seed: 1,
        processes: 4,
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("answered") > 50, "{}", found.text());
    assert!(found.count("steps") >= 2, "{}", found.text());
}
