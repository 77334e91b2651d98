//! Whether an owner lives, seen through a store that is slow or away.

use hibiscusroad::rollout::presence::{Loss, Presences, RENEWAL, SILENCE, Sign};
use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

const OWNER: &str = "gateway-1/aa";

fn sign(life: &str, version: u64) -> Sign {
    Sign {
        name: "gateway-1".to_owned(),
        life: life.to_owned(),
        version,
        memory: 512,
    }
}

/// Plays renewals until `stop` and looks for `total`, both over a store whose
/// reads take `latency` and whose writes take twice as long, or four times if
/// they queue. Returns when the owner was first taken to be gone.
fn play(latency: Duration, stop: Duration, total: Duration, offset: Duration) -> Option<Duration> {
    let start = Instant::now();
    let mut writes = Vec::new();
    let mut at = Duration::ZERO;
    while at < stop {
        let queued = writes.len() % 3 == 2;
        at += latency * if queued { 4 } else { 2 };
        writes.push(at);
        at += RENEWAL;
    }
    let mut seen = Presences::new();
    let mut at = offset;
    while at < total {
        // The store answers as of the middle of the call.
        let as_of = at + latency / 2;
        at += latency;
        let version = writes.iter().filter(|write| **write <= as_of).count() as u64;
        if version > 0 {
            seen.seen(start + at, latency, vec![sign(OWNER, version)]);
        }
        if seen.lost(OWNER, start).is_some() {
            return Some(at);
        }
        at += RENEWAL;
    }
    None
}

// The store takes up to eighty times as long as usual. The owner lives and
// renews as fast as the store lets it: nobody may take its batch, or it would
// change hands again and again and its step be lost.
#[test]
fn slow_store_is_no_silent_owner() {
    for latency in [4, 50, 200, 320, 450] {
        let latency = Duration::from_millis(latency);
        for offset in (0..40).map(|n| Duration::from_millis(n * 25)) {
            let long = Duration::from_secs(30);
            let lost = play(latency, long, long, offset);
            assert_eq!(lost, None, "{latency:?} {offset:?}");
        }
    }
}

// The owner is killed: another knows within a second and a half, of the seven
// and a half that a step has.
#[test]
fn dead_owner_is_missed_soon() {
    let latency = Duration::from_millis(5);
    let stop = Duration::from_secs(5);
    let found = play(latency, stop, Duration::from_secs(10), Duration::ZERO).unwrap();
    assert!(found > stop, "{found:?}");
    assert!(found < stop + SILENCE + 2 * RENEWAL, "{found:?}");
}

// Nobody reached the store for a minute, so no row has changed for as long. The
// owners live; only time that was seen counts.
#[test]
fn outage_of_the_store_is_nobodys_silence() {
    let start = Instant::now();
    let mut seen = Presences::new();
    let brief = Duration::from_millis(5);
    seen.seen(start, brief, vec![sign(OWNER, 7)]);
    seen.blind();
    let back = start + Duration::from_mins(1);
    seen.seen(back, brief, vec![sign(OWNER, 7)]);
    assert_eq!(seen.lost(OWNER, start), None);
    seen.seen(back + SILENCE, brief, vec![sign(OWNER, 7)]);
    assert_eq!(seen.lost(OWNER, start), None);
    seen.seen(back + SILENCE * 2, brief, vec![sign(OWNER, 7)]);
    assert_eq!(seen.lost(OWNER, start), Some(Loss::Silent));
}

// A process hears of an owner that it has not looked at since, because nobody's
// batches made it look: neither a look from before nor none at all tells that the
// owner is gone, however much time goes by.
#[test]
fn owner_that_nobody_looked_at_is_not_missed() {
    let start = Instant::now();
    let mut seen = Presences::new();
    let brief = Duration::from_millis(5);
    assert_eq!(seen.lost(OWNER, start), None);
    seen.seen(start, brief, vec![sign("gateway-1/before", 1)]);
    let since = start + Duration::from_secs(9);
    assert_eq!(seen.lost(OWNER, since), None, "a look from before");
    seen.seen(since, brief, vec![sign(OWNER, 2)]);
    assert_eq!(seen.lost(OWNER, since), None);
}

// An owner that gave its batches back has no row, one that was restarted has
// another life: both are known at once, without waiting.
#[test]
fn owner_that_left_or_lives_anew_is_known_at_once() {
    let start = Instant::now();
    let now = start + Duration::from_secs(9);
    let mut seen = Presences::new();
    let brief = Duration::from_millis(5);
    seen.seen(now, brief, vec![sign(OWNER, 1)]);
    assert_eq!(seen.lost(OWNER, start), None);
    seen.seen(now, brief, Vec::new());
    assert_eq!(seen.lost(OWNER, start), Some(Loss::NoRow));
    assert_eq!(seen.lost(OWNER, now), None, "its row may be on its way");
    seen.seen(now, brief, vec![sign("gateway-1/bb", 2)]);
    assert_eq!(seen.lost(OWNER, now), Some(Loss::LivesAnew));
}

// A process that stops hands its batches on. It names another that was seen to live
// lately: not itself, not one whose row stands still, and not the same for every process
// that stops.
#[test]
fn batches_are_handed_on_to_the_living() {
    let start = Instant::now();
    let mut seen = Presences::new();
    let brief = Duration::from_millis(5);
    let row = |n: u64, version: u64| Sign {
        name: format!("gateway-{n}"),
        life: format!("gateway-{n}/aa"),
        version,
        memory: 512,
    };
    assert_eq!(seen.heir("gateway-1"), None);
    seen.seen(start, brief, (1..=4).map(|n| row(n, n)).collect());
    let later = start + SILENCE * 2;
    let fresh = |n: u64| if n < 4 { n + 10 } else { n };
    seen.seen(later, brief, (1..=4).map(|n| row(n, fresh(n))).collect());
    let heir = seen.heir("gateway-1").unwrap();
    assert!(["gateway-2/aa", "gateway-3/aa"].contains(&heir), "{heir}");
    let heirs: HashSet<_> = (5..40)
        .filter_map(|n| seen.heir(&format!("gateway-{n}")))
        .collect();
    let living = ["gateway-1/aa", "gateway-2/aa", "gateway-3/aa"];
    assert_eq!(heirs, living.into());
}

// One process owns all batches and is told to stop. Nobody else was seen to renew a
// row, since nobody had to. The batches go to others all the same, the largest of them,
// rather than lie there until they are missed.
#[test]
fn batches_are_handed_on_where_nobody_else_owns_any() {
    let start = Instant::now();
    let mut seen = Presences::new();
    let row = |n: u64, memory: u32| Sign {
        name: format!("gateway-{n}"),
        life: format!("gateway-{n}/aa"),
        version: n,
        memory,
    };
    let rows = || vec![row(1, 512), row(2, 160), row(3, 512), row(4, 512)];
    let brief = Duration::from_millis(5);
    seen.seen(start, brief, rows());
    seen.seen(start + SILENCE * 3, brief, rows());
    let heir = seen.heir("gateway-1").unwrap();
    assert!(["gateway-3/aa", "gateway-4/aa"].contains(&heir), "{heir}");
}

// All processes see that an owner of four batches is gone. They take their turns in the
// same order for each batch, so one gets all of them; small hosts come behind the large
// ones, and nobody waits for long.
#[test]
fn large_processes_take_over_first() {
    let mut seen = Presences::new();
    let sign = |n: u32| Sign {
        name: format!("gateway-{n}"),
        life: format!("gateway-{n}/aa"),
        version: 1,
        memory: if n < 4 { 160 } else { 512 },
    };
    assert!(seen.takeover_delay("gateway-1", 160) < Duration::from_millis(150));
    seen.seen(
        Instant::now(),
        Duration::from_millis(5),
        (0..8).map(sign).collect(),
    );
    let turn = |n: u32| seen.takeover_delay(&format!("gateway-{n}"), sign(n).memory);
    let slowest = (4..8).map(turn).max().unwrap();
    assert!((0..4).all(|n| turn(n) >= slowest));
    assert!((0..8).all(|n| turn(n) <= Duration::from_millis(300)));
}

/// What a process knows that has looked at the rows of so many.
fn crowd(count: usize) -> (Presences, Vec<String>) {
    let names: Vec<String> = (0..count).map(|n| format!("gateway-{n}")).collect();
    let sign = |name: &String| Sign {
        name: name.clone(),
        life: format!("{name}/aa"),
        version: 1,
        memory: 512,
    };
    let mut seen = Presences::new();
    seen.seen(
        Instant::now(),
        Duration::from_millis(4),
        names.iter().map(sign).collect(),
    );
    (seen, names)
}

// An owner is lost, and its trainer has 7.5 s for the whole step. Some process has to
// look within a renewal, whether 8 or 360 of them share the store, and all together
// must not use up its reads: 360 that look four times a second are 1,440 of them.
#[test]
fn few_processes_watch_an_owner_closely_however_many_there_are() {
    for count in [8, 34, 88, 360] {
        let (seen, names) = crowd(count);
        let owners = ["gateway-1/aa", "gateway-2/aa"];
        let pauses = names.iter().map(|name| seen.pause(name, owners));
        let rate: f64 = pauses.clone().map(|pause| 1.0 / pause.as_secs_f64()).sum();
        assert!(rate <= 100.0, "{rate} looks a second of {count}");
        for owner in owners {
            let close = names
                .iter()
                .filter(|name| seen.pause(name, [owner]) <= RENEWAL);
            assert!(close.count() >= 6, "{count}");
        }
    }
}

// A third of 360 hosts lose power at once, with owners among them. Who watches an owner
// closely is drawn for each anew, so nearly all of a thousand owners have somebody left
// who sees the loss at once, and the others are seen in the end.
#[test]
fn a_lost_third_leaves_watchers_to_nearly_all_owners() {
    let (seen, names) = crowd(360);
    let living: HashSet<&String> = names.iter().skip(120).collect();
    let owners: Vec<String> = (0..1000).map(|n| format!("owner-{n}/aa")).collect();
    let unwatched = owners.iter().filter(|owner| {
        let mut near = living
            .iter()
            .filter(|name| seen.pause(name, [owner.as_str()]) <= RENEWAL);
        near.next().is_none()
    });
    assert!(unwatched.count() <= 5);
    let slowest = names
        .iter()
        .map(|name| seen.pause(name, ["owner-1/aa"]))
        .max();
    assert!(slowest.unwrap() <= Duration::from_secs(20));
}
