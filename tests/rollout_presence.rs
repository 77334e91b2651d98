//! Tests the detection of lost owners through a store that is slow or unreachable.

use hibiscusroad::rollout::presence::{
    FailureDetector, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, Heartbeat, Loss, Member,
};
use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

const OWNER: &str = "gateway-1/aa";

fn member(n: usize, memory: u32) -> Member {
    Member {
        name: format!("gateway-{n}"),
        incarnation: format!("gateway-{n}/aa"),
        memory,
        region: None,
    }
}

fn heartbeat(incarnation: &str, version: u64) -> Heartbeat {
    Heartbeat {
        name: "gateway-1".to_owned(),
        incarnation: incarnation.to_owned(),
        version,
        memory: 512,
        region: None,
        pause: HEARTBEAT_INTERVAL,
    }
}

/// Simulates an owner that renews its row until `stop` and a process that polls until
/// `end`, through a store whose reads take `latency` and whose writes take two or four
/// times as long. Returns when the owner was first taken to be gone.
fn simulate(
    latency: Duration,
    stop: Duration,
    end: Duration,
    offset: Duration,
) -> Option<Duration> {
    let start = Instant::now();
    let mut writes = Vec::new();
    let mut at = Duration::ZERO;
    while at < stop {
        let is_queued = writes.len() % 3 == 2;
        at += latency * if is_queued { 4 } else { 2 };
        writes.push(at);
        at += HEARTBEAT_INTERVAL;
    }
    let mut detector = FailureDetector::new();
    let mut at = offset;
    while at < end {
        // The store reads its state in the middle of the call.
        let as_of = at + latency / 2;
        at += latency;
        let version = writes.iter().filter(|write| **write <= as_of).count() as u64;
        if version > 0 {
            detector.record_poll(start + at, latency, vec![heartbeat(OWNER, version)]);
        }
        if detector.loss(OWNER, start).is_some() {
            return Some(at);
        }
        at += HEARTBEAT_INTERVAL;
    }
    None
}

// Guards against batches that change owners for as long as the store is slow.
#[test]
fn owner_is_not_lost_while_the_store_is_slow() {
    for latency in [4, 50, 200, 320, 450] {
        let latency = Duration::from_millis(latency);
        for offset in (0..40).map(|n| Duration::from_millis(n * 25)) {
            let long = Duration::from_secs(30);
            let lost = simulate(latency, long, long, offset);
            assert_eq!(lost, None, "{latency:?} {offset:?}");
        }
    }
}

// Guards against a killed owner that is noticed late.
#[test]
fn dead_owner_is_detected_soon() {
    let latency = Duration::from_millis(5);
    let stop = Duration::from_secs(5);
    let detected = simulate(latency, stop, Duration::from_secs(10), Duration::ZERO).unwrap();
    assert!(detected > stop, "{detected:?}");
    assert!(
        detected < stop + HEARTBEAT_TIMEOUT + 2 * HEARTBEAT_INTERVAL,
        "{detected:?}"
    );
}

// Guards against live owners that are taken to be dead after an outage of the store.
#[test]
fn outage_of_the_store_does_not_count_as_silence() {
    let start = Instant::now();
    let mut detector = FailureDetector::new();
    let latency = Duration::from_millis(5);
    detector.record_poll(start, latency, vec![heartbeat(OWNER, 7)]);
    detector.clear();
    let recovery = start + Duration::from_mins(1);
    detector.record_poll(recovery, latency, vec![heartbeat(OWNER, 7)]);
    assert_eq!(detector.loss(OWNER, start), None);
    detector.record_poll(
        recovery + HEARTBEAT_TIMEOUT,
        latency,
        vec![heartbeat(OWNER, 7)],
    );
    assert_eq!(detector.loss(OWNER, start), None);
    detector.record_poll(
        recovery + HEARTBEAT_TIMEOUT * 2,
        latency,
        vec![heartbeat(OWNER, 7)],
    );
    assert_eq!(detector.loss(OWNER, start), Some(Loss::Silent));
}

// Guards against an owner that is taken to be gone by a poll from before it was known, or
// without any poll.
#[test]
fn owner_is_not_lost_before_a_poll() {
    let start = Instant::now();
    let mut detector = FailureDetector::new();
    let latency = Duration::from_millis(5);
    assert_eq!(detector.loss(OWNER, start), None);
    detector.record_poll(start, latency, vec![heartbeat("gateway-1/before", 1)]);
    let since = start + Duration::from_secs(9);
    assert_eq!(detector.loss(OWNER, since), None, "an earlier poll");
    detector.record_poll(since, latency, vec![heartbeat(OWNER, 2)]);
    assert_eq!(detector.loss(OWNER, since), None);
}

// Guards against an owner that is taken to be gone while a slow store carries out its first
// heartbeat.
#[test]
fn owner_without_a_row_is_given_time_by_the_latency_of_the_store() {
    let start = Instant::now();
    let latency = Duration::from_millis(800);
    let mut detector = FailureDetector::new();
    detector.record_poll(start + latency * 3, latency, Vec::new());
    assert_eq!(detector.loss(OWNER, start), None);
    detector.record_poll(start + latency * 6, latency, Vec::new());
    assert_eq!(detector.loss(OWNER, start), Some(Loss::NoRow));
}

// The processes of a part replace those that were read from it before, and no others.
#[test]
fn processes_that_left_are_forgotten() {
    let mut detector = FailureDetector::new();
    detector.record_members("0", (0..5).map(|n| member(n, 512)).collect());
    detector.record_members("1", (5..8).map(|n| member(n, 512)).collect());
    assert_eq!(detector.count(), 8);
    detector.record_members("0", vec![member(1, 512)]);
    assert_eq!(detector.count(), 4);
}

// An owner that removed its row or was restarted is detected without a timeout.
#[test]
fn owner_that_left_or_restarted_is_detected_at_once() {
    let start = Instant::now();
    let now = start + Duration::from_secs(9);
    let mut detector = FailureDetector::new();
    let latency = Duration::from_millis(5);
    detector.record_poll(now, latency, vec![heartbeat(OWNER, 1)]);
    assert_eq!(detector.loss(OWNER, start), None);
    detector.record_poll(now, latency, Vec::new());
    assert_eq!(detector.loss(OWNER, start), Some(Loss::NoRow));
    assert_eq!(
        detector.loss(OWNER, now),
        None,
        "its first row may not be written yet"
    );
    detector.record_poll(now, latency, vec![heartbeat("gateway-1/bb", 2)]);
    assert_eq!(detector.loss(OWNER, now), Some(Loss::LivesAnew));
}

// A stopping process chooses a successor that is alive and not itself; different
// processes choose different ones.
#[test]
fn successor_is_alive() {
    let start = Instant::now();
    let mut detector = FailureDetector::new();
    let latency = Duration::from_millis(5);
    let row = |n: u64, version: u64| Heartbeat {
        name: format!("gateway-{n}"),
        incarnation: format!("gateway-{n}/aa"),
        version,
        memory: 512,
        region: None,
        pause: HEARTBEAT_INTERVAL,
    };
    assert_eq!(detector.successor("gateway-1", |_| true), None);
    detector.record_poll(start, latency, (1..=4).map(|n| row(n, n)).collect());
    let later = start + HEARTBEAT_TIMEOUT * 2;
    let renewed = |n: u64| if n < 4 { n + 10 } else { n };
    detector.record_poll(
        later,
        latency,
        (1..=4).map(|n| row(n, renewed(n))).collect(),
    );
    let successor = detector.successor("gateway-1", |_| true).unwrap();
    assert!(
        ["gateway-2/aa", "gateway-3/aa"].contains(&successor),
        "{successor}"
    );
    let successors: HashSet<_> = (5..40)
        .filter_map(|n| detector.successor(&format!("gateway-{n}"), |_| true))
        .collect();
    let alive = ["gateway-1/aa", "gateway-2/aa", "gateway-3/aa"];
    assert_eq!(successors, alive.into());
}

// Processes that own nothing renew no rows, but one of the largest must still be chosen.
#[test]
fn successor_exists_where_no_other_process_owns_batches() {
    let mut detector = FailureDetector::new();
    let members = [(1, 512), (2, 160), (3, 512), (4, 512)];
    let members = members.map(|(n, memory)| member(n, memory));
    detector.record_members("0", members.to_vec());
    let own = heartbeat(OWNER, 1);
    detector.record_poll(Instant::now(), Duration::from_millis(5), vec![own]);
    let successor = detector.successor("gateway-1", |_| true).unwrap();
    assert!(
        ["gateway-3/aa", "gateway-4/aa"].contains(&successor),
        "{successor}"
    );
}

// Guards against a batch that is handed to a process in a region that must not have its data,
// or whose region isn't known.
#[test]
fn successor_is_in_a_region_that_may_hold_the_batch() {
    let mut detector = FailureDetector::new();
    let regions = [Some("zapad"), Some("vychod"), None, Some("vychod")];
    let members = (1..).zip(regions).map(|(n, region)| Member {
        region: region.map(str::to_owned),
        ..member(n, 512)
    });
    detector.record_members("0", members.collect());
    let other = Heartbeat {
        name: "gateway-3".to_owned(),
        ..heartbeat("gateway-3/aa", 1)
    };
    detector.record_poll(Instant::now(), Duration::from_millis(5), vec![other]);
    let only = |name: &'static str| move |region: Option<&str>| region == Some(name);
    assert_eq!(detector.successor("gateway-1", only("zapad")), None);
    let successor = detector.successor("gateway-1", only("vychod")).unwrap();
    assert!(["gateway-2/aa", "gateway-4/aa"].contains(&successor));
    assert_eq!(
        detector.successor("gateway-1", |_| true),
        Some("gateway-3/aa")
    );
}

// Guards against batches of a lost owner that are scattered, or go to small hosts.
#[test]
fn large_processes_take_over_first() {
    let mut detector = FailureDetector::new();
    let member = |n: usize| member(n, if n < 4 { 160 } else { 512 });
    assert!(detector.takeover_delay("gateway-1", 160) < Duration::from_millis(150));
    detector.record_members("0", (0..8).map(member).collect());
    let delay = |n: usize| detector.takeover_delay(&format!("gateway-{n}"), member(n).memory);
    let longest = (4..8).map(delay).max().unwrap();
    assert!((0..4).all(|n| delay(n) >= longest));
    assert!((0..8).all(|n| delay(n) <= Duration::from_millis(300)));
}

/// Builds the view of a process that knows `count` processes, and their names.
fn known_processes(count: usize) -> (FailureDetector, Vec<String>) {
    let mut detector = FailureDetector::new();
    detector.record_members("0", (0..count).map(|n| member(n, 512)).collect());
    let names = (0..count).map(|n| format!("gateway-{n}")).collect();
    (detector, names)
}

// Guards against polls that exhaust the store with many processes, and against owners
// without a process that polls at every renewal.
#[test]
fn each_owner_has_a_few_watchers_among_any_number_of_processes() {
    for count in [8, 34, 88, 360] {
        let (detector, names) = known_processes(count);
        let owners = ["gateway-1/aa", "gateway-2/aa"];
        let intervals = names
            .iter()
            .map(|name| detector.poll_interval(name, owners));
        let rate: f64 = intervals
            .clone()
            .map(|interval| 1.0 / interval.as_secs_f64())
            .sum();
        assert!(
            rate <= 100.0,
            "{rate} polls per second of {count} processes"
        );
        for owner in owners {
            let watchers = names
                .iter()
                .filter(|name| detector.poll_interval(name, [owner]) <= HEARTBEAT_INTERVAL);
            assert!(watchers.count() >= 6, "{count}");
        }
    }
}

// When a third of all hosts fail at once, nearly all owners keep a watcher, and the other
// owners are polled eventually.
#[test]
fn nearly_all_owners_keep_a_watcher_when_a_third_of_hosts_fail() {
    let (detector, names) = known_processes(360);
    let alive: HashSet<&String> = names.iter().skip(120).collect();
    let owners: Vec<String> = (0..1000).map(|n| format!("owner-{n}/aa")).collect();
    let unwatched = owners.iter().filter(|owner| {
        let mut watchers = alive
            .iter()
            .filter(|name| detector.poll_interval(name, [owner.as_str()]) <= HEARTBEAT_INTERVAL);
        watchers.next().is_none()
    });
    assert!(unwatched.count() <= 5);
    let longest = names
        .iter()
        .map(|name| detector.poll_interval(name, ["owner-1/aa"]))
        .max();
    assert!(longest.unwrap() <= Duration::from_secs(20));
}
