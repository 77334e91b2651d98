//! Short soaks of gateways, and every seed that ever broke a promise.

use hibiscusroad_measure::{
    interrupt::Interrupt,
    soak::{self, Found, Options},
};
use std::{thread, time::Duration};

/// Seeds that broke a promise, their seconds, and the cause. They were found at five
/// gateways, three to five soaks at once.
const BROKE: &[(u64, u64, &str)] = &[
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

fn play(seed: u64, seconds: u64, processes: usize) -> Found {
    let options = Options {
        time: Duration::from_secs(seconds),
        seed,
        processes,
    };
    soak::run(&options, &Interrupt::default()).unwrap()
}

// Callers see whole answers of their own or true refusals, trainers see every
// item once at a position that stays, and all batches end once the faults do,
// whatever fails in between.
#[test]
fn promises_hold_under_drawn_faults() {
    let found = play(1, 8, 4);
    assert!(found.is_clean(), "{}", found.text());
    assert!(found.count("answered") > 50, "{}", found.text());
    assert!(found.count("steps") >= 2, "{}", found.text());
    assert!(found.count("reports") >= 2, "{}", found.text());
}

// The same, for each plan that once showed a fault.
#[test]
fn plans_that_broke_a_promise_break_none() {
    let plays = BROKE.iter().map(|(seed, seconds, cause)| {
        let play = thread::spawn(move || play(*seed, *seconds, 5));
        (seed, cause, play)
    });
    let plays: Vec<_> = plays.collect();
    // All come to their end before any is judged: a thread that is left behind
    // would leave its processes behind.
    let ended: Vec<_> = plays
        .into_iter()
        .map(|(s, c, play)| (s, c, play.join()))
        .collect();
    for (seed, cause, found) in ended {
        let found = found.unwrap();
        assert!(
            found.is_clean(),
            "seed {seed}, once {cause}:\n{}",
            found.text()
        );
    }
}
