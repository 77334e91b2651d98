//! The path of calls to the store, in fixed schedules.

use hibiscusroad::reach::{Carried, Reach, Way};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn away_reach(now: Instant, peers: u16) -> Reach {
    let mut reach = Reach::new();
    reach.set_peers((1..=peers).map(peer));
    reach.straight(now, false);
    reach
}

#[test]
fn path_is_direct_while_the_store_answers() {
    let now = Instant::now();
    let mut reach = Reach::new();
    reach.set_peers([peer(1)]);
    assert_eq!(reach.way(now, 0), Way::Straight);
    assert!(!reach.straight(now, true));
    assert!(reach.straight(now, false), "the direct path has failed");
    assert!(!reach.straight(now, false), "it had failed before");
    assert_eq!(reach.way(now, 0), Way::Peer(peer(1)));
    assert!(reach.straight(now, true));
    assert_eq!(reach.way(now, 0), Way::Straight);
}

// Guards against opening connections to every peer.
#[test]
fn peer_that_answered_is_preferred() {
    let now = Instant::now();
    let mut reach = away_reach(now, 5);
    assert_eq!(reach.way(now, 3), Way::Peer(peer(4)));
    reach.carried(now, peer(4), Carried::Answered);
    for draw in 0..5 {
        assert_eq!(reach.way(now, draw), Way::Peer(peer(4)));
    }
    reach.carried(now, peer(4), Carried::Silent);
    for draw in 0..5 {
        assert_ne!(reach.way(now, draw), Way::Peer(peer(4)));
    }
}

// Guards against delaying each call by useless peers while the store is away for all.
#[test]
fn peers_are_suspended_after_consecutive_failures() {
    let now = Instant::now();
    let mut reach = away_reach(now, 8);
    for draw in 0..3 {
        let Way::Peer(peer) = reach.way(now, draw) else {
            panic!("call {draw} asked no peer");
        };
        reach.carried(now, peer, Carried::Away);
    }
    assert_eq!(reach.way(now, 0), Way::Straight);
    let later = now + Duration::from_millis(1_600);
    assert!(matches!(reach.way(later, 0), Way::Peer(_)));
}

#[test]
fn silent_peer_is_asked_again_after_a_delay() {
    let now = Instant::now();
    let mut reach = away_reach(now, 1);
    reach.carried(now, peer(1), Carried::Silent);
    assert_eq!(reach.way(now, 0), Way::Straight);
    // The delay of a known peer outlives a new list.
    reach.set_peers([peer(1), peer(2)]);
    assert_eq!(reach.way(now, 0), Way::Peer(peer(2)));
    let later = now + Duration::from_secs(6);
    assert_eq!(reach.way(later, 0), Way::Peer(peer(1)));
}

// Guards against overloading a store that recovers with the probes of many processes.
#[test]
fn delay_between_probes_grows_with_the_outage() {
    let now = Instant::now();
    let reach = away_reach(now, 0);
    let delay = |ms| reach.probe_pause(now + Duration::from_millis(ms));
    assert_eq!(delay(0), Duration::from_millis(250));
    assert_eq!(delay(700), Duration::from_millis(700));
    assert_eq!(delay(60_000), Duration::from_millis(1_500));
}

// Guards against relaying the calls that a store at its rate limit refuses, which adds load.
#[test]
fn path_stays_direct_at_the_rate_limit_while_some_calls_are_answered() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut reach = Reach::new();
    reach.set_peers([peer(1)]);
    for n in 0..20 {
        assert!(!reach.busy(at(n * 400)));
        assert!(!reach.straight(at(n * 400 + 200), true));
        assert_eq!(reach.way(at(n * 400 + 200), 0), Way::Straight);
    }
    assert!(!reach.busy(at(9_000)));
    assert!(!reach.busy(at(9_900)));
    assert!(reach.busy(at(10_100)), "no answer for over a second");
    assert_eq!(reach.way(at(10_100), 0), Way::Peer(peer(1)));
}
