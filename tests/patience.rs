//! Time limits that follow the pace of a service.

use hibiscusroad::patience::Patience;
use std::time::Duration;

const LEAST: Duration = Duration::from_millis(250);
const MOST: Duration = Duration::from_millis(1_800);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Sends calls one after the other; returns how much time went into waits in
/// vain, and how many answers were given up though they came.
fn play(calls: impl Iterator<Item = Option<u64>>) -> (Duration, u32) {
    let mut patience = Patience::new(LEAST, MOST);
    let (mut waited, mut given_up) = (Duration::ZERO, 0);
    for call in calls {
        match call.map(ms) {
            Some(took) if took <= patience.limit() => patience.answered(took),
            answer => {
                waited += patience.limit();
                given_up += u32::from(answer.is_some());
                patience.expired();
            }
        }
    }
    (waited, given_up)
}

// The store carries writes out and loses half of the answers. Each costs a
// quarter of a second or two, not the limit of a slow store.
#[test]
fn lost_answers_cost_little() {
    let calls = (0..40).map(|n| (n % 2 == 0).then_some(7));
    let (waited, given_up) = play(calls);
    assert!(waited < ms(450) * 20, "{waited:?}");
    assert_eq!(given_up, 0);
}

// The store becomes eighty times slower. The first answers are given up, the
// rest are waited for.
#[test]
fn slow_answers_are_waited_for() {
    let quick = std::iter::repeat_n(Some(7), 20);
    let slow = std::iter::repeat_n(Some(560), 30);
    let (_, given_up) = play(quick.chain(slow));
    assert!(given_up <= 2, "{given_up}");
    let mixed = (0..60).map(|n| Some(if n % 5 == 0 { 10 } else { 600 }));
    let (_, given_up) = play(mixed);
    assert!(given_up <= 2, "{given_up}");
}

#[test]
fn limit_stays_within_its_bounds() {
    let mut patience = Patience::new(LEAST, MOST);
    for _ in 0..50 {
        patience.answered(ms(1));
    }
    assert_eq!(patience.limit(), LEAST);
    for _ in 0..9 {
        patience.expired();
    }
    assert_eq!(patience.limit(), MOST);
}
