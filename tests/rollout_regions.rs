//! Regions of engines and batches.

use hibiscusroad::{
    contention::{Contention, Mode},
    rollout::{
        engines::{Engines, Requirements},
        row::{Head, OwnerRow},
        waits::WaitReason,
    },
    roster::{Endpoint, Weights},
    topology::{RegionSet, Topology},
};
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

const PLACES: [(&str, &str); 3] = [
    ("senec", "zapad"),
    ("trnava", "zapad"),
    ("kosice", "vychod"),
];
const REQUIREMENTS: Requirements<'static> = Requirements {
    service: "lm",
    model: Some("guide"),
    min_version: 1,
    exact_version: None,
    regions: RegionSet::ALL,
    group: "g",
    excluded: None,
    rest: None,
    due: None,
};

fn topology() -> Topology {
    let pairs = PLACES.iter();
    let regions: BTreeMap<String, String> = pairs
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    Topology::new("senec", "zapad", &regions)
}

fn engine(n: usize, place: &str, slots: u32) -> Endpoint {
    Endpoint {
        id: format!("e{n}"),
        started_ms: None,
        service: "lm".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: place.to_owned(),
        slots,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights: vec![Weights {
            model: "guide".to_owned(),
            version: 1,
        }],
    }
}

fn engines(mode: Mode, places: &[&str]) -> Engines {
    let contention = Contention::new(mode, false);
    let mut engines = Engines::new().contention(contention).topology(topology());
    for (n, place) in places.iter().enumerate() {
        engines.update(&engine(n, place, 2));
    }
    engines
}

fn allowed(names: &[&str]) -> RegionSet {
    let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    topology().allowed(&names)
}

proptest! {
    // Guards against an item outside the allowed regions, and against one that waits although
    // an allowed engine has a free slot.
    #[test]
    fn items_go_to_allowed_engines_while_these_have_slots(
        places in proptest::collection::vec(0..4usize, 1..12),
        sets in proptest::collection::vec(0..8u8, 1..40),
        is_contended in any::<bool>(),
    ) {
        let now = Instant::now();
        let place = |n: usize| PLACES.get(n).map_or("nitra", |(place, _)| *place);
        let places: Vec<&str> = places.into_iter().map(place).collect();
        let mode = if is_contended { Mode::On } else { Mode::Off };
        let mut engines = engines(mode, &places);
        let mut free: HashMap<String, u32> = (0..places.len())
            .map(|n| (format!("e{n}"), 2))
            .collect();
        for set in sets {
            let names = ["zapad", "vychod", "stred"];
            let names: Vec<&str> = (0..3).filter(|n| set & (1 << n) != 0).map(|n| names[n]).collect();
            let may_run = |id: &str| {
                let place = places[id[1..].parse::<usize>().unwrap()];
                let region = PLACES.iter().find(|(known, _)| *known == place);
                names.is_empty() || region.is_some_and(|(_, region)| names.contains(region))
            };
            let requirements = Requirements { regions: allowed(&names), ..REQUIREMENTS };
            let chosen = engines.choose(now, &requirements);
            let Some(key) = chosen else {
                let unused = free.iter().find(|(id, slots)| **slots > 0 && may_run(id));
                prop_assert_eq!(unused, None);
                continue;
            };
            let id = engines.id(key).unwrap().to_owned();
            prop_assert!(may_run(&id));
            *free.get_mut(&id).unwrap() -= 1;
            engines.add_item(key);
        }
    }
}

// Guards against texts that cross the link although near engines are as good, and against
// owners that all choose the same near engine.
#[test]
fn near_engines_come_first_among_equal_ones() {
    let now = Instant::now();
    for mode in [Mode::Off, Mode::On] {
        let engines = engines(mode, &["kosice", "senec", "trnava", "kosice", "trnava"]);
        let mut chosen = HashSet::new();
        for n in 0..60 {
            let group = format!("g{n}");
            let requirements = Requirements {
                group: &group,
                ..REQUIREMENTS
            };
            let key = engines.choose(now, &requirements).unwrap();
            chosen.insert(engines.id(key).unwrap().to_owned());
        }
        let near = ["e1", "e2", "e4"].map(str::to_owned);
        assert_eq!(chosen, HashSet::from(near));
    }
}

// Guards against items that wait for a slot near while a far engine has more of them free.
#[test]
fn far_engine_with_more_free_slots_is_chosen() {
    let now = Instant::now();
    let mut engines = engines(Mode::Off, &["senec", "kosice"]);
    engines.add_item(engines.key("e0").unwrap());
    assert_eq!(engines.choose(now, &REQUIREMENTS), engines.key("e1"));
}

// Guards against an item that waits for engines of other regions, or keeps a text that only
// they can continue.
#[test]
fn engines_of_other_regions_count_for_nothing() {
    let engines = engines(Mode::Off, &["kosice"]);
    let west = Requirements {
        regions: allowed(&["zapad"]),
        ..REQUIREMENTS
    };
    assert_eq!(engines.wait_reason(&west), WaitReason::Weights);
    assert!(!engines.has_version("lm", "guide", 1, west.regions));
    assert!(engines.has_version("lm", "guide", 1, allowed(&["vychod"])));
}

const HEAD: &str = r#"{"host":"h","path":"/lm/","accepted":5,"until":9,"owner":"a/1","total":1,
    "ended":false,"model":null,"lag":0,"work":1,"priority":0,"groups":[],"carried":0}"#;

// Guards against rows of earlier versions that can't be read, or rows that those can't read.
#[test]
fn rows_of_earlier_versions_stay_readable() {
    let head = Head::decode(HEAD.as_bytes()).unwrap();
    assert_eq!((&head.regions, &head.origin), (&None, &None));
    assert!(head.may_be_held_in(None));
    let encoded = String::from_utf8(head.encode()).unwrap();
    assert!(!encoded.contains("regions") && !encoded.contains("origin"));
    let row: OwnerRow = serde_json::from_str(r#"{"life":"a/1","renewed":5}"#).unwrap();
    assert_eq!(row.presence.region, None);
}

// Guards against texts of a limited batch that continue in one that may run elsewhere.
#[test]
fn texts_are_carried_over_only_within_the_same_regions() {
    let unlimited = Head::decode(HEAD.as_bytes()).unwrap();
    let limited = |region: &str| Head {
        regions: Some(vec![region.to_owned()]),
        ..unlimited.clone()
    };
    assert!(unlimited.shares_texts_with(&unlimited));
    assert!(limited("zapad").shares_texts_with(&limited("zapad")));
    assert!(!unlimited.shares_texts_with(&limited("zapad")));
    assert!(!limited("zapad").shares_texts_with(&limited("vychod")));
}

#[test]
fn head_keeps_its_regions() {
    let head = Head {
        regions: Some(vec!["zapad".to_owned()]),
        origin: Some("vychod".to_owned()),
        ..Head::decode(HEAD.as_bytes()).unwrap()
    };
    let read = Head::decode(&head.encode()).unwrap();
    assert_eq!(read, head);
    assert!(read.may_be_held_in(Some("zapad")) && read.may_be_held_in(Some("vychod")));
    assert!(!read.may_be_held_in(Some("juh")) && !read.may_be_held_in(None));
}
