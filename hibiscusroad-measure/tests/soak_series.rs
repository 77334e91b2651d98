//! A soak in which engines leave without an announcement, and one in which writes of texts are
//! late. They are a program of their own, since more soaks take each other's time.

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

// Guards against texts joined from several runs, when writes of pieces without an answer are
// carried out after newer ones while owners are stopped and killed in series.
#[test]
fn texts_are_of_one_run_when_their_writes_are_late() {
    let options = Options {
        time: Duration::from_secs(30),
        seed: 1,
        processes: 3,
        late_writes: true,
        ..Options::default()
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("resumed runs") >= 10, "{}", found.text());
}
