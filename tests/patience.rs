//! Timeouts that adapt to the latency of a service.

use hibiscusroad::timeout::AdaptiveTimeout;
use std::time::Duration;

const MIN_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_800);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Simulates calls in sequence, each with the latency of its answer or `None` for a lost one.
///
/// Returns the time spent on calls that timed out, and how many of them had an answer.
fn simulate(latencies: impl Iterator<Item = Option<u64>>) -> (Duration, u32) {
    let mut timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    let (mut waited, mut abandoned) = (Duration::ZERO, 0);
    for latency in latencies {
        match latency.map(ms) {
            Some(latency) if latency <= timeout.current() => timeout.record_answer(latency),
            answer => {
                waited += timeout.current();
                abandoned += u32::from(answer.is_some());
                timeout.record_timeout();
            }
        }
    }
    (waited, abandoned)
}

// Guards against waiting for the longest timeout whenever an answer is lost.
#[test]
fn lost_answers_cost_short_waits() {
    let latencies = (0..40).map(|n| (n % 2 == 0).then_some(7));
    let (waited, abandoned) = simulate(latencies);
    assert!(waited < ms(450) * 20, "{waited:?}");
    assert_eq!(abandoned, 0);
}

// Guards against abandoning every answer of a store that becomes eighty times slower.
#[test]
fn timeout_grows_to_the_latency_of_slow_answers() {
    let quick = std::iter::repeat_n(Some(7), 20);
    let slow = std::iter::repeat_n(Some(560), 30);
    let (_, abandoned) = simulate(quick.chain(slow));
    assert!(abandoned <= 2, "{abandoned}");
    let mixed = (0..60).map(|n| Some(if n % 5 == 0 { 10 } else { 600 }));
    let (_, abandoned) = simulate(mixed);
    assert!(abandoned <= 2, "{abandoned}");
}

#[test]
fn timeout_stays_within_its_bounds() {
    let mut timeout = AdaptiveTimeout::new(MIN_TIMEOUT, MAX_TIMEOUT);
    for _ in 0..50 {
        timeout.record_answer(ms(1));
    }
    assert_eq!(timeout.current(), MIN_TIMEOUT);
    for _ in 0..9 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), MAX_TIMEOUT);
}
