//! Pacing of the changes of a busy table.

use hibiscusroad::change_pacing::{BytePacing, ChangePacing};
use std::time::{Duration, Instant};

/// Follows a table that changes at an interval for some time; returns the number of
/// deliveries and the longest delay of a change.
fn follow(interval: Duration, time: Duration) -> (u32, Duration) {
    let start = Instant::now();
    let mut pacing = ChangePacing::new(start);
    let (mut deliveries, mut longest) = (0, Duration::ZERO);
    let mut now = start;
    let mut oldest_change = start;
    while now < start + time {
        // The request is answered at the first change that was not delivered.
        now = now.max(oldest_change);
        deliveries += 1;
        longest = longest.max(now - oldest_change);
        while oldest_change <= now {
            oldest_change += interval;
        }
        now += pacing.record_delivery(now);
    }
    (deliveries, longest)
}

// Guards against deliveries that grow with the number of endpoints.
#[test]
fn deliveries_of_a_busy_table_are_bounded() {
    for changes_per_second in [5, 35, 350, 3_500] {
        let interval = Duration::from_secs(1) / changes_per_second;
        let (deliveries, longest) = follow(interval, Duration::from_mins(1));
        assert!(deliveries <= 130, "{changes_per_second}: {deliveries}");
        let limit = Duration::from_millis(550);
        assert!(longest <= limit, "{changes_per_second}: {longest:?}");
    }
}

// Guards against single changes, as of an endpoint that leaves, that arrive late.
#[test]
fn changes_of_a_quiet_table_are_not_delayed() {
    for interval in [600, 1_000, 4_000] {
        let (_, longest) = follow(Duration::from_millis(interval), Duration::from_mins(1));
        assert_eq!(longest, Duration::ZERO, "{interval} ms");
    }
    let start = Instant::now();
    let mut pacing = ChangePacing::new(start);
    for _ in 0..8 {
        assert_eq!(pacing.record_delivery(start), Duration::ZERO);
    }
    assert!(pacing.record_delivery(start) > Duration::ZERO);
}

// Guards against records of loads that arrive late in a burst, and against bytes that grow
// with the number of engines.
#[test]
fn bytes_of_large_rows_are_bounded_after_a_burst() {
    let start = Instant::now();
    let mut pacing = BytePacing::new(start);
    let (mut now, mut bytes) = (start, 0);
    while bytes < 30_000 {
        bytes += 1_500;
        assert_eq!(pacing.record_delivery(now, 1_500), Duration::ZERO);
        now += Duration::from_millis(20);
    }
    while now < start + Duration::from_mins(1) {
        bytes += 15_000;
        now += pacing.record_delivery(now, 15_000) + Duration::from_millis(5);
    }
    assert!(bytes <= 32_000 + 11_000 * 60 + 15_000, "{bytes}");
}
