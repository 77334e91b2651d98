//! Sampling of log lines under load.

use hibiscusroad_daemon::logs::{Budget, Rank};
use std::time::{Duration, Instant};

/// Simulates a number of seconds with `requests` requests each, and three lines per request.
///
/// Returns the number of admitted lines in each second, and the number of requests of which
/// only some lines were admitted.
fn simulate(
    budget: &mut Budget,
    start: Instant,
    seconds: u64,
    requests: u32,
) -> (Vec<usize>, usize) {
    let (mut admitted_lines, mut partial) = (Vec::new(), 0);
    for second in 0..seconds {
        let mut lines = 0;
        for n in 0..requests {
            let id = format!("{second}-{n}");
            let now = start + Duration::from_secs(second) + Duration::from_millis(10);
            let admitted = [(); 3].map(|()| budget.admit(now, Rank::Normal, Some(&id)));
            let count = admitted.iter().filter(|admitted| **admitted).count();
            lines += count;
            partial += usize::from(count == 1 || count == 2);
        }
        admitted_lines.push(lines);
    }
    (admitted_lines, partial)
}

#[test]
fn all_lines_are_admitted_within_the_budget() {
    let mut budget = Budget::new(200);
    let (lines, partial) = simulate(&mut budget, Instant::now(), 5, 60);
    assert_eq!((lines, partial), (vec![180; 5], 0));
}

// The load is ten times the budget. From the second second on, requests are sampled as a
// whole.
#[test]
fn under_load_requests_are_sampled_as_a_whole() {
    let mut budget = Budget::new(200);
    let start = Instant::now();
    let (lines, _) = simulate(&mut budget, start, 1, 700);
    assert_eq!(lines, [200], "the first second exceeds the budget");
    let later = start + Duration::from_secs(1);
    let (lines, partial) = simulate(&mut budget, later, 6, 700);
    assert!(lines.iter().all(|n| (100..=200).contains(n)), "{lines:?}");
    // At most one request per second is partial, where the limit is reached.
    assert!(partial <= 6, "{partial}");
}

// Failures are admitted after normal lines have used up their limit, but only up to a limit
// of their own.
#[test]
fn failures_have_a_higher_limit() {
    let mut budget = Budget::new(100);
    let now = Instant::now();
    let (lines, _) = simulate(&mut budget, now, 1, 500);
    assert_eq!(lines, [100]);
    let now = now + Duration::from_millis(20);
    let failures = (0..500).filter(|n| {
        let id = format!("failed-{n}");
        budget.admit(now, Rank::Failure, Some(&id))
    });
    assert_eq!(failures.count(), 100);
}

#[test]
fn long_lines_use_up_the_budget() {
    let mut budget = Budget::new(100);
    let now = Instant::now();
    let mut lines = 0;
    while budget.admit(now, Rank::Normal, None) {
        budget.record_bytes(10 << 10);
        lines += 1;
    }
    assert_eq!(lines, 5, "51,200 bytes a second");
}

// After a burst, the sampling rate recovers.
#[test]
fn sampling_rate_recovers_after_a_burst() {
    let mut budget = Budget::new(200);
    let start = Instant::now();
    simulate(&mut budget, start, 4, 2_000);
    let (lines, _) = simulate(&mut budget, start + Duration::from_secs(4), 10, 20);
    assert_eq!(lines.last(), Some(&60));
}
