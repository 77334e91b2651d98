//! Data centres, their regions, and the regions in which a request may be served.
//!
//! Settings tell the region of each data centre. A message to another region takes several times
//! as long as one to another data centre of the same region, and its link is priced. So
//! decisions go from near to far, and the data of some callers must not leave their regions.
//!
//! Regions are numbered by a [`Topology`], so that a set of them is a word ([`RegionSet`]) that
//! each call and item carries. A name that the topology doesn't know may be that of a region
//! without data centres: it is in no set, and a list of such names alone allows nothing. A data
//! centre without a known region is allowed only where all regions are.

use std::collections::{BTreeMap, BTreeSet};

/// Most regions that a topology numbers; the last bit of a set stands for unknown regions. The
/// data centres of further ones count as having no known region.
pub const MAX_REGIONS: usize = UNKNOWN_BIT as usize;
/// The bit that stands for unknown regions.
const UNKNOWN_BIT: u8 = 63;

/// The number of a region in a [`Topology`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Region(u8);

impl Region {
    /// The own region.
    pub const OWN: Self = Self(0);
    /// The region of data centres that the settings don't name.
    pub const UNKNOWN: Self = Self(UNKNOWN_BIT);

    /// Returns the number.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A set of regions of one [`Topology`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// All regions, known or not.
    pub const ALL: Self = Self(u64::MAX);

    /// Returns the set of one region.
    #[must_use]
    pub const fn of(region: Region) -> Self {
        Self(1 << region.0)
    }

    /// Returns whether it contains a region.
    #[must_use]
    pub const fn contains(self, region: Region) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Returns the regions that both sets contain.
    #[must_use]
    pub const fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// Returns whether all its regions are in `other`.
    #[must_use]
    pub const fn is_subset(self, other: Self) -> bool {
        self.0 & !other.0 == 0
    }

    /// Returns whether it contains no region.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether it contains all regions.
    #[must_use]
    pub const fn is_all(self) -> bool {
        self.0 == u64::MAX
    }
}

impl Default for RegionSet {
    fn default() -> Self {
        Self::ALL
    }
}

/// How far a data centre is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The own data centre.
    OwnDataCentre,
    /// Another data centre of the own region.
    OwnRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Returns the name for metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::OwnDataCentre => "own-data-centre",
            Self::OwnRegion => "own-region",
            Self::OtherRegion => "other-region",
        }
    }
}

/// The data centres and regions, as one process sees them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Topology {
    data_centre: String,
    /// The own region first.
    regions: Vec<String>,
    /// The regions of the data centres that the settings name.
    by_data_centre: BTreeMap<String, Region>,
}

impl Topology {
    /// Creates the topology of a process from its settings; `regions` may be empty.
    #[must_use]
    pub fn new(data_centre: &str, region: &str, regions: &BTreeMap<String, String>) -> Self {
        let others: BTreeSet<&str> = regions.values().map(String::as_str).collect();
        let others = others.into_iter().filter(|name| *name != region);
        let names = std::iter::once(region).chain(others).take(MAX_REGIONS);
        let mut topology = Self {
            data_centre: data_centre.to_owned(),
            regions: names.map(str::to_owned).collect(),
            by_data_centre: BTreeMap::new(),
        };
        let known = regions.iter().filter_map(|(data_centre, name)| {
            let region = topology.find(name)?;
            Some((data_centre.clone(), region))
        });
        topology.by_data_centre = known.collect();
        topology
    }

    /// Creates the topology of a process that knows no regions.
    #[must_use]
    pub fn without_regions(data_centre: &str) -> Self {
        Self::new(data_centre, "", &BTreeMap::new())
    }

    /// Returns the own data centre.
    #[must_use]
    pub fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Returns the names of the regions in a set.
    pub fn names(&self, regions: RegionSet) -> impl Iterator<Item = &str> {
        let numbered = self.all_regions().zip(&self.regions);
        let contained = numbered.filter(move |(region, _)| regions.contains(*region));
        contained.map(|(_, name)| name.as_str())
    }

    /// Returns the name of the own region.
    #[must_use]
    pub fn own_region_name(&self) -> &str {
        &self.regions[0]
    }

    /// Returns all regions: the own one first, and the one of unknown regions last.
    pub fn all_regions(&self) -> impl Iterator<Item = Region> {
        let known = (0..UNKNOWN_BIT).take(self.regions.len()).map(Region);
        known.chain([Region::UNKNOWN])
    }

    /// Returns the position of a region in [`Topology::all_regions`].
    #[must_use]
    pub fn position(&self, region: Region) -> usize {
        region.index().min(self.regions.len())
    }

    /// Returns whether there are several regions. Without that, no data centre is far.
    #[must_use]
    pub const fn is_divided(&self) -> bool {
        self.regions.len() > 1
    }

    /// Returns whether a data centre is the own one.
    #[must_use]
    pub fn is_own(&self, data_centre: &str) -> bool {
        data_centre == self.data_centre
    }

    /// Returns the region of a data centre.
    #[must_use]
    pub fn region(&self, data_centre: &str) -> Region {
        if self.is_own(data_centre) {
            return Region::OWN;
        }
        let known = self.by_data_centre.get(data_centre);
        known.copied().unwrap_or(Region::UNKNOWN)
    }

    /// Returns the name of the region of a data centre, if it is known.
    #[must_use]
    pub fn region_name(&self, data_centre: &str) -> Option<&str> {
        let region = self.region(data_centre);
        self.regions.get(region.index()).map(String::as_str)
    }

    /// Returns whether data centres of a region are far. Those without a known region count as
    /// far where there are several regions.
    #[must_use]
    pub fn is_far(&self, region: Region) -> bool {
        self.is_divided() && region != Region::OWN
    }

    /// Returns how far a data centre is.
    #[must_use]
    pub fn distance(&self, data_centre: &str) -> Distance {
        if self.is_own(data_centre) {
            Distance::OwnDataCentre
        } else if self.is_far(self.region(data_centre)) {
            Distance::OtherRegion
        } else {
            Distance::OwnRegion
        }
    }

    /// Returns the set of the regions in a list of names; an empty list stands for all regions.
    #[must_use]
    pub fn allowed(&self, names: &[String]) -> RegionSet {
        if names.is_empty() {
            RegionSet::ALL
        } else {
            self.named(names)
        }
    }

    /// Returns the set of the regions with these names; without names it is empty.
    #[must_use]
    pub fn named(&self, names: &[String]) -> RegionSet {
        let known = names.iter().filter_map(|name| self.find(name));
        RegionSet(known.fold(0, |bits, region| bits | RegionSet::of(region).0))
    }

    fn find(&self, name: &str) -> Option<Region> {
        let index = self.regions.iter().position(|known| known == name)?;
        u8::try_from(index).ok().map(Region)
    }
}

/// Returns the names that two lists of allowed regions have in common, where an empty list
/// stands for all regions; `None` for all.
///
/// A result without names allows no region.
#[must_use]
pub fn common_names(route: &[String], account: &[String]) -> Option<Vec<String>> {
    match (route, account) {
        ([], []) => None,
        (names, []) | ([], names) => Some(names.to_vec()),
        (route, account) => {
            let common = route.iter().filter(|name| account.contains(name));
            Some(common.cloned().collect())
        }
    }
}
