//! Which sides of a service an entry keeps links to.
//!
//! At 360 entries and 600 sides, links from all to all would cost more for
//! heartbeats than a process may spend on control. Each entry therefore ranks
//! the sides by a hash of both names (rendezvous hashing) and keeps the first
//! few. No two processes have to agree, every side gets about the same number
//! of links, and a side that comes or goes changes one link of an entry, not
//! all.
//!
//! Sides of the own place come first, because each hop between data centres
//! costs a caller more than a millisecond. The trade-off: a place with few
//! sides and many entries loads these first; placement by load evens it out as
//! long as the subset reaches beyond the place.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One side to choose from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Its name, unique in the service.
    pub name: &'a str,
    /// Where it stands.
    pub place: &'a str,
}

/// Returns the positions of the `n` candidates that `entry` links to, best
/// first.
///
/// # Example
///
/// ```
/// use hibiscusroad::subset::{Candidate, choose};
///
/// let sides = [
///     Candidate { name: "hut-desk-1", place: "trnava" },
///     Candidate { name: "hut-desk-2", place: "senec" },
/// ];
/// assert_eq!(choose("entry-1", "senec", &sides, 1), [1]);
/// ```
#[must_use]
pub fn choose(entry: &str, place: &str, sides: &[Candidate<'_>], n: usize) -> Vec<usize> {
    let seed = xxh3_64_with_seed(entry.as_bytes(), 0);
    let rank = |i: &usize| {
        let side = &sides[*i];
        let hash = xxh3_64_with_seed(side.name.as_bytes(), seed);
        (side.place != place, Reverse(hash))
    };
    let mut order: Vec<usize> = (0..sides.len()).collect();
    order.sort_by_key(rank);
    order.truncate(n);
    order
}
