//! The estimate of the store's clock, from quick and slow answers.

use hibiscusroad::clock_estimate::ClockEstimate;
use std::time::{Duration, Instant};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn estimate_needs_a_sample() {
    assert_eq!(ClockEstimate::new().at(Instant::now()), None);
}

// Guards against an estimate that jumps back when the store becomes slow.
#[test]
fn slow_answers_do_not_set_the_clock_back() {
    let start = Instant::now();
    let mut clock = ClockEstimate::new();
    clock.record_sample(start, ms(5_000));
    clock.record_sample(start + ms(1_000), ms(5_750));
    assert_eq!(clock.at(start + ms(1_000)), Some(ms(6_000)));
    // A quicker answer than the first corrects the estimate.
    clock.record_sample(start + ms(2_000), ms(7_002));
    assert_eq!(clock.at(start + ms(3_000)), Some(ms(8_002)));
}

// Guards against drift where the local clock runs faster than the store's.
#[test]
fn old_sample_is_replaced() {
    let start = Instant::now();
    let mut clock = ClockEstimate::new();
    clock.record_sample(start, ms(5_000));
    clock.record_sample(start + ms(31_000), ms(35_990));
    assert_eq!(clock.at(start + ms(31_000)), Some(ms(35_990)));
}
