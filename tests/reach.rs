//! Which way a call to the store goes, in written-out schedules.

use hibiscusroad::reach::{Carried, Reach, Way};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn away(now: Instant, peers: u16) -> Reach {
    let mut reach = Reach::new();
    reach.set_peers((1..=peers).map(peer));
    reach.straight(now, false);
    reach
}

#[test]
fn calls_go_straight_while_the_store_answers() {
    let now = Instant::now();
    let mut reach = Reach::new();
    reach.set_peers([peer(1)]);
    assert_eq!(reach.way(now, 0), Way::Straight);
    assert!(!reach.straight(now, true));
    assert!(reach.straight(now, false), "the way has changed");
    assert!(!reach.straight(now, false), "it was known to fail");
    assert_eq!(reach.way(now, 0), Way::Peer(peer(1)));
    assert!(reach.straight(now, true));
    assert_eq!(reach.way(now, 0), Way::Straight);
}

// The store turns this process away. The peer that was asked first helps, and all
// further calls go through it, whatever is drawn: one connection and not one to
// every peer.
#[test]
fn a_peer_that_helps_is_kept() {
    let now = Instant::now();
    let mut reach = away(now, 5);
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

// The store is away for all. Without a bound each call would ask peers first, and
// each answer come later by that; so after three in vain calls go straight for a
// while, and find the store themselves when it is back.
#[test]
fn peers_are_left_alone_when_none_can_help() {
    let now = Instant::now();
    let mut reach = away(now, 8);
    for asked in 0..3 {
        let Way::Peer(peer) = reach.way(now, asked) else {
            panic!("peer {asked} isn't asked");
        };
        reach.carried(now, peer, Carried::Away);
    }
    assert_eq!(reach.way(now, 0), Way::Straight);
    let later = now + Duration::from_millis(1_600);
    assert!(matches!(reach.way(later, 0), Way::Peer(_)));
}

#[test]
fn a_peer_that_is_gone_is_asked_again_later() {
    let now = Instant::now();
    let mut reach = away(now, 1);
    reach.carried(now, peer(1), Carried::Silent);
    assert_eq!(reach.way(now, 0), Way::Straight);
    // What is known of a peer outlives a new list.
    reach.set_peers([peer(1), peer(2)]);
    assert_eq!(reach.way(now, 0), Way::Peer(peer(2)));
    let later = now + Duration::from_secs(6);
    assert_eq!(reach.way(later, 0), Way::Peer(peer(1)));
}

// Many processes are turned away together for long: their probes of the store
// become seldom, or they would be a load of their own when it is back.
#[test]
fn probes_become_seldom() {
    let now = Instant::now();
    let reach = away(now, 0);
    let pause = |ms| reach.probe_pause(now + Duration::from_millis(ms));
    assert_eq!(pause(0), Duration::from_millis(250));
    assert_eq!(pause(700), Duration::from_millis(700));
    assert_eq!(pause(60_000), Duration::from_millis(1_500));
}

// The store's rate is used up, and it refuses a call now and then. Calls that go to
// peers, and waits that begin anew, would use up the rate all the more. A process that
// gets no answer at all for longer is turned away after all.
#[test]
fn a_rate_that_is_used_up_turns_nobody_away() {
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
