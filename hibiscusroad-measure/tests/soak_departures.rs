//! A soak in which engines leave without an announcement. It is a program of its own, since soaks
//! take each other's time.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, EngineOptions, Options},
};
use std::time::Duration;

// Guards against engines that get items, and keep them from running, after their entries were
// changed and removed in one answer of the store.
#[test]
fn engines_whose_entries_are_removed_get_no_items() {
    let options = Options {
        time: Duration::from_secs(45),
        seed: 7105,
        processes: 5,
        contention: false,
        late_writes: false,
        engines: Some(EngineOptions::default()),
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("departures") >= 5, "{}", found.text());
}
