//! The path of calls to the store, in fixed schedules.

use hibiscusroad::store_path::{RelayOutcome, StorePath, StorePaths};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn failing_paths(now: Instant, peers: u16) -> StorePaths {
    let mut paths = StorePaths::new();
    paths.set_peers((1..=peers).map(peer));
    paths.record_direct(now, false);
    paths
}

#[test]
fn path_is_direct_while_the_store_answers() {
    let now = Instant::now();
    let mut paths = StorePaths::new();
    paths.set_peers([peer(1)]);
    assert_eq!(paths.choose(now, 0), StorePath::Direct);
    assert!(!paths.record_direct(now, true));
    assert!(
        paths.record_direct(now, false),
        "the direct path has failed"
    );
    assert!(!paths.record_direct(now, false), "it had failed before");
    assert_eq!(paths.choose(now, 0), StorePath::Peer(peer(1)));
    assert!(paths.record_direct(now, true));
    assert_eq!(paths.choose(now, 0), StorePath::Direct);
}

// Guards against opening connections to every peer.
#[test]
fn peer_that_answered_is_preferred() {
    let now = Instant::now();
    let mut paths = failing_paths(now, 5);
    assert_eq!(paths.choose(now, 3), StorePath::Peer(peer(4)));
    paths.record_relayed(now, peer(4), RelayOutcome::Answered);
    for draw in 0..5 {
        assert_eq!(paths.choose(now, draw), StorePath::Peer(peer(4)));
    }
    paths.record_relayed(now, peer(4), RelayOutcome::NoAnswer);
    for draw in 0..5 {
        assert_ne!(paths.choose(now, draw), StorePath::Peer(peer(4)));
    }
}

// Guards against delaying each call by useless peers while the store is away for all.
#[test]
fn peers_are_suspended_after_consecutive_failures() {
    let now = Instant::now();
    let mut paths = failing_paths(now, 8);
    for draw in 0..3 {
        let StorePath::Peer(peer) = paths.choose(now, draw) else {
            panic!("call {draw} asked no peer");
        };
        paths.record_relayed(now, peer, RelayOutcome::Unreachable);
    }
    assert_eq!(paths.choose(now, 0), StorePath::Direct);
    let later = now + Duration::from_millis(1_600);
    assert!(matches!(paths.choose(later, 0), StorePath::Peer(_)));
}

#[test]
fn silent_peer_is_asked_again_after_a_delay() {
    let now = Instant::now();
    let mut paths = failing_paths(now, 1);
    paths.record_relayed(now, peer(1), RelayOutcome::NoAnswer);
    assert_eq!(paths.choose(now, 0), StorePath::Direct);
    // The delay of a known peer outlives a new list.
    paths.set_peers([peer(1), peer(2)]);
    assert_eq!(paths.choose(now, 0), StorePath::Peer(peer(2)));
    let later = now + Duration::from_secs(6);
    assert_eq!(paths.choose(later, 0), StorePath::Peer(peer(1)));
}

// Guards against overloading a store that recovers with the probes of many processes.
#[test]
fn delay_between_probes_grows_with_the_outage() {
    let now = Instant::now();
    let paths = failing_paths(now, 0);
    let delay = |ms| paths.probe_delay(now + Duration::from_millis(ms));
    assert_eq!(delay(0), Duration::from_millis(250));
    assert_eq!(delay(700), Duration::from_millis(700));
    assert_eq!(delay(60_000), Duration::from_millis(1_500));
}

// Guards against relaying the calls that a store at its rate limit refuses, which adds load.
#[test]
fn path_stays_direct_at_the_rate_limit_while_some_calls_are_answered() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut paths = StorePaths::new();
    paths.set_peers([peer(1)]);
    for n in 0..20 {
        assert!(!paths.record_rate_limit(at(n * 400)));
        assert!(!paths.record_direct(at(n * 400 + 200), true));
        assert_eq!(paths.choose(at(n * 400 + 200), 0), StorePath::Direct);
    }
    assert!(!paths.record_rate_limit(at(9_000)));
    assert!(!paths.record_rate_limit(at(9_900)));
    assert!(
        paths.record_rate_limit(at(10_100)),
        "no answer for over a second"
    );
    assert_eq!(paths.choose(at(10_100), 0), StorePath::Peer(peer(1)));
}
