//! Which lines a process leaves out when there are too many.

use hibiscusroad_daemon::logs::{Budget, Rank};
use std::time::{Duration, Instant};

/// Offers lines of requests for some seconds, each request with three lines in one
/// second, and returns how many were kept a second, and how many stories were torn.
fn play(budget: &mut Budget, start: Instant, seconds: u64, requests: u32) -> (Vec<usize>, usize) {
    let (mut kept, mut torn) = (Vec::new(), 0);
    for second in 0..seconds {
        let mut lines = 0;
        for n in 0..requests {
            let id = format!("{second}-{n}");
            let now = start + Duration::from_secs(second) + Duration::from_millis(10);
            let admitted = [(); 3].map(|()| budget.admit(now, Rank::Usual, Some(&id)));
            let count = admitted.iter().filter(|admitted| **admitted).count();
            lines += count;
            torn += usize::from(count == 1 || count == 2);
        }
        kept.push(lines);
    }
    (kept, torn)
}

#[test]
fn all_lines_are_kept_within_the_budget() {
    let mut budget = Budget::new(200);
    let (kept, torn) = play(&mut budget, Instant::now(), 5, 60);
    assert_eq!((kept, torn), (vec![180; 5], 0));
}

// Ten times as many lines come as fit. After the first second, which nobody could
// foresee, whole requests are left out: on-call engineers have some stories from
// beginning to end rather than pieces of all.
#[test]
fn under_load_requests_are_kept_whole() {
    let mut budget = Budget::new(200);
    let start = Instant::now();
    let (kept, _) = play(&mut budget, start, 1, 700);
    assert_eq!(kept, [200], "no more than the budget, even at first");
    let later = start + Duration::from_secs(1);
    let (kept, torn) = play(&mut budget, later, 6, 700);
    assert!(
        kept.iter().all(|lines| (100..=200).contains(lines)),
        "{kept:?}"
    );
    // A story is torn only where the bound of the second is met.
    assert!(torn <= 6, "{torn}");
}

// The budget of a second is used up by a flood of usual lines. A failure is still
// told; a flood of failures has an end as well.
#[test]
fn failures_come_before_successes() {
    let mut budget = Budget::new(100);
    let now = Instant::now();
    let (kept, _) = play(&mut budget, now, 1, 500);
    assert_eq!(kept, [100]);
    let now = now + Duration::from_millis(20);
    let failures = (0..500).filter(|n| {
        let id = format!("failed-{n}");
        budget.admit(now, Rank::Failure, Some(&id))
    });
    assert_eq!(failures.count(), 100);
}

#[test]
fn long_lines_use_up_the_budget_sooner() {
    let mut budget = Budget::new(100);
    let now = Instant::now();
    let mut lines = 0;
    while budget.admit(now, Rank::Usual, None) {
        budget.spent(10 << 10);
        lines += 1;
    }
    assert_eq!(lines, 5, "51,200 bytes a second");
}

// After a burst the share grows back: stories that come then are kept again.
#[test]
fn the_share_grows_back() {
    let mut budget = Budget::new(200);
    let start = Instant::now();
    play(&mut budget, start, 4, 2_000);
    let (kept, _) = play(&mut budget, start + Duration::from_secs(4), 10, 20);
    assert_eq!(kept.last(), Some(&60));
}
