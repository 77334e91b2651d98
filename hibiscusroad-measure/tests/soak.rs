//! Short soaks of gateways, and regression tests for seeds with past violations.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, Found, Options},
};
use std::{thread, time::Duration};

/// Seeds with past violations, the duration of fault injection in seconds, and the cause.
const REGRESSIONS: &[(u64, u64, &str)] = &[
    (
        20,
        15,
        "a batch was given up by a process that knew no configuration yet",
    ),
    (
        26,
        15,
        "the same; and a trainer had not come to its end 25 s after the faults",
    ),
    (46, 15, "as 20"),
    (49, 15, "as 20"),
    (59, 15, "as 20"),
    (
        607,
        20,
        "a caller with a new key was denied for good by a gateway that heard of it late",
    ),
    (604, 20, "as 607"),
];

fn run_soak(seed: u64, seconds: u64, processes: usize) -> Found {
    let options = Options {
        time: Duration::from_secs(seconds),
        seed,
        processes,
        contention: false,
        late_writes: false,
        engines: None,
    };
    soak::run(&options, &Interrupt::default()).unwrap()
}

// Callers receive complete answers or correct refusals, trainers find every item once at a
// fixed position, and all batches end after the faults.
#[test]
fn promises_hold_under_drawn_faults() {
    let found = run_soak(1, 8, 4);
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("answered") > 50, "{}", found.text());
    assert!(found.count("steps") >= 2, "{}", found.text());
    assert!(found.count("reports") >= 2, "{}", found.text());
}

// Shares, fair queues, placement by expected end and holds for loads must break no promise while
// faults strike.
#[test]
fn promises_hold_where_contention_is_expected() {
    let options = Options {
        time: Duration::from_secs(8),
        seed: 2,
        processes: 4,
        contention: true,
        late_writes: false,
        engines: None,
    };
    let found = soak::run(&options, &Interrupt::default()).unwrap();
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("answered") > 50, "{}", found.text());
    assert!(found.count("steps") >= 2, "{}", found.text());
}

#[test]
fn plans_that_broke_a_promise_break_none() {
    let soaks = REGRESSIONS.iter().map(|(seed, seconds, cause)| {
        let handle = thread::spawn(move || run_soak(*seed, *seconds, 5));
        (seed, cause, handle)
    });
    let soaks: Vec<_> = soaks.collect();
    // Joins all threads before any assertion: a running thread would leave its processes behind.
    let results: Vec<_> = soaks
        .into_iter()
        .map(|(seed, cause, handle)| (seed, cause, handle.join()))
        .collect();
    for (seed, cause, found) in results {
        let found = found.unwrap();
        assert!(
            found.is_clean(),
            "seed {seed}, once {cause}:\n{}",
            found.text()
        );
    }
}
