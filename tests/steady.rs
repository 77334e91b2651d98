//! The store's clock, from answers of which some are slow.

use hibiscusroad::steady::Steady;
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn nothing_is_known_before_the_first_answer() {
    assert_eq!(Steady::new().at(Instant::now()), None);
}

// The store turns slow: its answers tell a clock that is a quarter of a second late. What
// was known from a quick answer goes on, and does not jump back.
#[test]
fn slow_answers_do_not_set_the_clock_back() {
    let start = Instant::now();
    let mut clock = Steady::new();
    clock.tell(start, ms(5_000));
    clock.tell(start + ms(1_000), ms(5_750));
    assert_eq!(clock.at(start + ms(1_000)), Some(ms(6_000)));
    // A quicker one than the first sets it right.
    clock.tell(start + ms(2_000), ms(7_002));
    assert_eq!(clock.at(start + ms(3_000)), Some(ms(8_002)));
}

// This host's clock runs faster than the store's. What was told once is not believed for
// ever, or the two would drift apart by seconds in a day.
#[test]
fn an_old_answer_gives_way_to_a_later_one() {
    let start = Instant::now();
    let mut clock = Steady::new();
    clock.tell(start, ms(5_000));
    clock.tell(start + ms(31_000), ms(35_990));
    assert_eq!(clock.at(start + ms(31_000)), Some(ms(35_990)));
}
