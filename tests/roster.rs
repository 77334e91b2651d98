//! Which endpoints there are, over outages of the store.

use hibiscusroad::{
    catalog::{Catalog, Kind, Limits, Route, Share},
    rollout::{row, text::Piece},
    roster::{Endpoint, GRACE, News, Roster},
};
use std::time::{Duration, Instant};

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        born: None,
        service: "desk".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        place: "senec".to_owned(),
        slots: 6,
        leaving: false,
        cold: false,
        weights: Vec::new(),
    }
}

fn gone(id: &str) -> News {
    News::Gone(id.to_owned())
}

#[test]
fn endpoint_that_leaves_is_gone_at_once() {
    let now = Instant::now();
    let mut roster = Roster::new();
    assert_eq!(roster.set(endpoint("a")).len(), 1);
    assert!(roster.set(endpoint("a")).is_empty(), "nothing changed");
    assert_eq!(roster.remove(now, "a"), Some(gone("a")));
    assert_eq!(roster.remove(now, "a"), None);
}

// The store was away and all entries lapsed, though the endpoints serve. Those
// that come back were never gone; the one that doesn't is gone after the time
// in which it would have.
#[test]
fn entries_that_lapsed_in_an_outage_have_time_to_come_back() {
    let now = Instant::now();
    let mut roster = Roster::new();
    roster.replace(now, vec![endpoint("a"), endpoint("b")]);
    roster.store_back(now);
    assert!(roster.replace(now, Vec::new()).is_empty());
    assert_eq!(roster.iter().count(), 2);
    let later = now + Duration::from_secs(1);
    assert!(roster.set(endpoint("a")).is_empty());
    assert!(roster.tick(later).is_empty());
    assert_eq!(roster.next_due(), Some(now + GRACE));
    assert_eq!(roster.tick(now + GRACE), [gone("b")]);
    assert!(roster.get("a").is_some());
}

#[test]
fn endpoint_that_leaves_long_after_an_outage_is_gone_at_once() {
    let now = Instant::now();
    let mut roster = Roster::new();
    roster.set(endpoint("a"));
    roster.store_back(now);
    assert_eq!(roster.remove(now + GRACE, "a"), Some(gone("a")));
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: None,
        target: None,
        priority: 0,
        shares: Vec::new(),
        attempts: 1,
        due: None,
        ttl: None,
        single: false,
        public: false,
    };
    let routes = vec![
        route("short", "a", "/x/"),
        route("long", "a", "/x/y/"),
        route("other", "b", "/"),
    ];
    let catalog = Catalog::new(1, routes, Vec::new(), Limits::default());
    let name = |host: &str, path: &str| catalog.find(host, path).map(|r| r.name.as_str());
    assert_eq!(name("a", "/x/y/z"), Some("long"));
    assert_eq!(name("a", "/x/yz"), Some("short"));
    assert_eq!(name("a", "/x"), None);
    assert_eq!(name("b", "/x/y/z"), Some("other"));
    assert_eq!(name("c", "/"), None);
}

#[test]
fn services_share_a_route_by_weight() {
    let share = |service: &str, weight: f64| Share {
        service: service.to_owned(),
        weight,
    };
    let route = Route {
        name: String::new(),
        host: String::new(),
        prefix: String::new(),
        kind: Kind::Once,
        timeout: None,
        target: None,
        priority: 0,
        shares: vec![share("a", 90.0), share("b", 0.0), share("c", 10.0)],
        attempts: 1,
        due: None,
        ttl: None,
        single: false,
        public: false,
    };
    let count = |name: &str| {
        let draws = (0..1000).map(|n| f64::from(n) / 1000.0);
        draws
            .filter(|draw| route.service(*draw) == Some(name))
            .count()
    };
    assert_eq!([count("a"), count("b"), count("c")], [900, 0, 100]);
}

// Readers and owners find rows by ranges of keys: the order of keys has to be
// the order of positions and of growth.
#[test]
fn keys_sort_as_they_are_read() {
    assert!(row::result_key("b", 9) < row::result_key("b", 10));
    assert!(row::result_key("b", 99_999).as_str() < "b0");
    let piece = |round, after| Piece {
        round,
        after,
        last: 9,
        versions: Vec::new(),
        text: String::new(),
    };
    let key = |p: Piece| row::piece("b", "item/1", &p).key;
    let keys = [
        key(piece(0, None)),
        key(piece(0, Some(4))),
        key(piece(0, Some(40))),
        key(piece(1, None)),
    ];
    assert!(keys.is_sorted(), "{keys:?}");
    assert!(
        keys.iter()
            .all(|key| row::piece_item("b", key) == Some(("item/1", "")))
    );
    assert!(row::buckets().any(|bucket| bucket == row::bucket("b")));
}

// An engine crashes and starts again under its id, before its entry lapses. Those
// who hear of it are told that one is gone and another is there, so that nothing
// counted for the first is believed of the second. A late entry of the first life
// changes nothing.
#[test]
fn endpoint_that_starts_again_is_another() {
    let mut roster = Roster::new();
    let life = |born: u64| Endpoint {
        born: Some(born),
        ..endpoint("a")
    };
    assert_eq!(roster.set(life(7)), [News::Seen(life(7))]);
    let gone = News::Gone("a".to_owned());
    assert_eq!(roster.set(life(9)), [gone, News::Seen(life(9))]);
    assert!(roster.set(life(7)).is_empty());
    assert_eq!(roster.get("a"), Some(&life(9)));
}
