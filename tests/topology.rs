//! Data centres, regions and sets of them.

use hibiscusroad::topology::{Distance, MAX_REGIONS, Region, RegionSet, Topology, common_names};
use std::collections::BTreeMap;

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

fn topology(regions: &[(&str, &str)]) -> Topology {
    let pairs = regions.iter();
    let regions: BTreeMap<String, String> = pairs
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    Topology::new("senec", "zapad", &regions)
}

const TWO: &[(&str, &str)] = &[
    ("senec", "zapad"),
    ("trnava", "zapad"),
    ("kosice", "vychod"),
];

#[test]
fn distances_follow_the_regions() {
    let two = topology(TWO);
    assert_eq!(two.distance("senec"), Distance::OwnDataCentre);
    assert_eq!(two.distance("trnava"), Distance::OwnRegion);
    assert_eq!(two.distance("kosice"), Distance::OtherRegion);
    assert_eq!(two.region_name("kosice"), Some("vychod"));
    assert_eq!(two.own_region_name(), "zapad");
    let positions: Vec<usize> = two.all_regions().map(|it| two.position(it)).collect();
    assert_eq!(positions, [0, 1, 2]);
}

// Guards against a data centre that is treated as far although no region is.
#[test]
fn without_several_regions_nothing_is_far() {
    for one in [topology(&TWO[..2]), topology(&[])] {
        assert!(!one.is_divided());
        assert_eq!(one.distance("kosice"), Distance::OwnRegion);
    }
}

// Guards against data that is sent to a data centre of which nobody knows where it is.
#[test]
fn data_centre_without_a_region_is_allowed_only_where_all_are() {
    let two = topology(TWO);
    assert_eq!(two.region("nitra"), Region::UNKNOWN);
    assert_eq!(two.region_name("nitra"), None);
    assert_eq!(two.distance("nitra"), Distance::OtherRegion);
    assert!(two.allowed(&[]).contains(two.region("nitra")));
    let named = two.allowed(&names(&["zapad", "vychod"]));
    assert!(named.contains(two.region("kosice")) && !named.contains(two.region("nitra")));
}

// Guards against a list of regions without data centres that counts as no list.
#[test]
fn names_without_data_centres_allow_nothing() {
    let two = topology(TWO);
    let allowed = two.allowed(&names(&["stred"]));
    assert!(allowed.is_empty() && !allowed.is_all());
    assert!(two.named(&[]).is_empty());
}

#[test]
fn sets_of_route_and_account_both_bind() {
    let two = topology(TWO);
    let (west, both) = (names(&["zapad"]), names(&["vychod", "zapad"]));
    let common = two.allowed(&both).intersection(two.allowed(&west));
    assert_eq!(common, RegionSet::of(Region::OWN));
    assert!(common.is_subset(two.allowed(&both)));
    assert_eq!(common_names(&both, &west), Some(west.clone()));
    assert_eq!(common_names(&[], &west), Some(west.clone()));
    assert_eq!(common_names(&[], &[]), None);
    // Lists without a common name allow nothing, which is not the same as no list.
    assert_eq!(common_names(&names(&["vychod"]), &west), Some(Vec::new()));
}

// Guards against a region number that is taken for another one's.
#[test]
fn regions_beyond_the_limit_are_unknown() {
    let many: BTreeMap<String, String> = (0..2 * MAX_REGIONS)
        .map(|n| (format!("place-{n:03}"), format!("region-{n:03}")))
        .collect();
    let many = Topology::new("place-000", "region-000", &many);
    assert_eq!(many.all_regions().count(), MAX_REGIONS + 1);
    assert_eq!(many.region("place-100"), Region::UNKNOWN);
    assert!(many.allowed(&names(&["region-100"])).is_empty());
}
