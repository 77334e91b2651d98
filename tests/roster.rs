//! Registered endpoints during outages of the store, routes of the catalog, and row keys.

use hibiscusroad::{
    catalog::{Catalog, Kind, Limits, Route, Share},
    rollout::{
        row::{self, PieceKey},
        text::{Piece, Tenure},
    },
    roster::{Endpoint, EndpointChange, REREGISTRATION_GRACE, Roster},
};
use std::time::{Duration, Instant};

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        started_ms: None,
        service: "desk".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "senec".to_owned(),
        slots: 6,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights: Vec::new(),
    }
}

/// Returns an empty roster without evacuations.
fn roster() -> Roster {
    let mut roster = Roster::new();
    roster.replace_evacuations(1, []);
    roster
}

fn removed(id: &str) -> EndpointChange {
    EndpointChange::Removed(id.to_owned())
}

#[test]
fn removed_endpoint_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = roster();
    assert_eq!(roster.update(endpoint("a")).len(), 1);
    assert!(roster.update(endpoint("a")).is_empty(), "nothing changed");
    assert_eq!(roster.remove(now, "a"), Some(removed("a")));
    assert_eq!(roster.remove(now, "a"), None);
}

// Guards against dropping endpoints that serve but whose entries expired in an outage.
#[test]
fn entries_that_expired_in_an_outage_are_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut roster = roster();
    roster.replace(now, vec![endpoint("a"), endpoint("b")]);
    roster.record_recovery(now);
    assert!(roster.replace(now, Vec::new()).is_empty());
    assert_eq!(roster.iter().count(), 2);
    let later = now + Duration::from_secs(1);
    assert!(roster.update(endpoint("a")).is_empty());
    assert!(roster.expire(later).is_empty());
    assert_eq!(roster.next_due(), Some(now + REREGISTRATION_GRACE));
    assert_eq!(roster.expire(now + REREGISTRATION_GRACE), [removed("b")]);
    assert!(roster.get("a").is_some());
}

#[test]
fn endpoint_removed_after_the_grace_period_is_dropped_at_once() {
    let now = Instant::now();
    let mut roster = roster();
    roster.update(endpoint("a"));
    roster.record_recovery(now);
    assert_eq!(
        roster.remove(now + REREGISTRATION_GRACE, "a"),
        Some(removed("a"))
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
        target_latency: None,
        priority: 0,
        shares: Vec::new(),
        max_attempts: 1,
        due: None,
        item_ttl: None,
        single_version: false,
        public: false,
        allowed_regions: Vec::new(),
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
        target_latency: None,
        priority: 0,
        shares: vec![share("a", 90.0), share("b", 0.0), share("c", 10.0)],
        max_attempts: 1,
        due: None,
        item_ttl: None,
        single_version: false,
        public: false,
        allowed_regions: Vec::new(),
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
        base: None,
        after,
        last: 9,
        versions: Vec::new(),
        text: String::new(),
    };
    let key = |piece: Piece| row::piece("b", "item/1", Tenure::new(1, 1), &piece).key;
    let keys = [
        key(piece(0, None)),
        key(piece(0, Some(4))),
        key(piece(0, Some(40))),
        key(piece(1, None)),
    ];
    assert!(keys.is_sorted(), "{keys:?}");
    let is_piece = |key: &str| {
        let key = PieceKey::parse("b", key).unwrap();
        (key.item, key.is_draft) == ("item/1", false)
    };
    assert!(keys.iter().all(|key| is_piece(key)));
    assert!(row::buckets().any(|bucket| bucket == row::bucket("b")));
}

// Guards against attributing the state of a crashed engine to its next incarnation.
#[test]
fn restarted_endpoint_is_reported_as_removed_and_updated() {
    let mut roster = roster();
    let incarnation = |started_ms: u64| Endpoint {
        started_ms: Some(started_ms),
        ..endpoint("a")
    };
    assert_eq!(
        roster.update(incarnation(7)),
        [EndpointChange::Updated(incarnation(7))]
    );
    let removed = EndpointChange::Removed("a".to_owned());
    assert_eq!(
        roster.update(incarnation(9)),
        [removed, EndpointChange::Updated(incarnation(9))]
    );
    assert!(roster.update(incarnation(7)).is_empty());
    assert_eq!(roster.get("a"), Some(&incarnation(9)));
}
