//! Registered endpoints during outages of the store, routes of the catalog, and row keys.

use hibiscusroad::{
    catalog::{Catalog, Kind, Limits, Route, Share},
    rollout::{row, text::Piece},
    roster::{Endpoint, News, REREGISTRATION_GRACE, Roster},
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
fn removed_endpoint_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = Roster::new();
    assert_eq!(roster.set(endpoint("a")).len(), 1);
    assert!(roster.set(endpoint("a")).is_empty(), "nothing changed");
    assert_eq!(roster.remove(now, "a"), Some(gone("a")));
    assert_eq!(roster.remove(now, "a"), None);
}

// Guards against dropping endpoints that serve but whose entries expired in an outage.
#[test]
fn entries_that_expired_in_an_outage_are_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::new();
    roster.replace(now, vec![endpoint("a"), endpoint("b")]);
    roster.store_back(now);
    assert!(roster.replace(now, Vec::new()).is_empty());
    assert_eq!(roster.iter().count(), 2);
    let later = now + Duration::from_secs(1);
    assert!(roster.set(endpoint("a")).is_empty());
    assert!(roster.tick(later).is_empty());
    assert_eq!(roster.next_due(), Some(now + REREGISTRATION_GRACE));
    assert_eq!(roster.tick(now + REREGISTRATION_GRACE), [gone("b")]);
    assert!(roster.get("a").is_some());
}

#[test]
fn endpoint_removed_after_the_grace_period_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = Roster::new();
    roster.set(endpoint("a"));
    roster.store_back(now);
    assert_eq!(
        roster.remove(now + REREGISTRATION_GRACE, "a"),
        Some(gone("a"))
    );
}

#[test]
fn route_with_the_longest_prefix_of_the_host_is_found() {
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
    let name = |host: &str, path: &str| catalog.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a", "/x/y/z"), Some("long"));
    assert_eq!(name("a", "/x/yz"), Some("short"));
    assert_eq!(name("a", "/x"), None);
    assert_eq!(name("b", "/x/y/z"), Some("other"));
    assert_eq!(name("c", "/"), None);
}

#[test]
fn services_are_chosen_by_weight() {
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

// Guards against reading results out of order: rows are read by ranges of keys.
#[test]
fn row_keys_sort_in_reading_order() {
    assert!(row::result_key("b", 9) < row::result_key("b", 10));
    assert!(row::result_key("b", 99_999).as_str() < "b0");
    let piece = |round, after| Piece {
        round,
        after,
        last: 9,
        versions: Vec::new(),
        text: String::new(),
    };
    let key = |piece: Piece| row::piece("b", "item/1", &piece).key;
    let keys = [
        key(piece(0, None)),
        key(piece(0, Some(4))),
        key(piece(0, Some(40))),
        key(piece(1, None)),
    ];
    assert!(keys.is_sorted(), "{keys:?}");
    assert!(
        keys.iter()
            .all(|key| row::parse_piece_key("b", key) == Some(("item/1", "")))
    );
    assert!(row::buckets().any(|bucket| bucket == row::bucket("b")));
}

// Guards against attributing the state of a crashed engine to its next incarnation.
#[test]
fn restarted_endpoint_is_reported_as_gone_and_new() {
    let mut roster = Roster::new();
    let incarnation = |born: u64| Endpoint {
        born: Some(born),
        ..endpoint("a")
    };
    assert_eq!(roster.set(incarnation(7)), [News::Seen(incarnation(7))]);
    let gone = News::Gone("a".to_owned());
    assert_eq!(
        roster.set(incarnation(9)),
        [gone, News::Seen(incarnation(9))]
    );
    assert!(roster.set(incarnation(7)).is_empty());
    assert_eq!(roster.get("a"), Some(&incarnation(9)));
}
