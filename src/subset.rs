//! The choice of the sidecars of a service to which an entry keeps streams.
//!
//! Streams between all entries and all sidecars would cost too many heartbeats. Each entry
//! therefore ranks the sidecars by a hash of both names (rendezvous hashing) and keeps the
//! first few. The processes need no agreement, every sidecar gets about the same number of
//! streams, and a sidecar that is added or removed changes at most one stream of an entry.
//!
//! Sidecars in the data centre of the entry come first, because a hop between data centres
//! adds latency. The trade-off: a data centre with many entries and few sidecars loads these
//! first; placement by load evens this out if the subset extends to other data centres.

use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A sidecar to choose from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// The name, unique within the service.
    pub name: &'a str,
    /// The data centre.
    pub data_centre: &'a str,
}

/// Returns the positions of the `n` candidates that `entry` keeps streams to, best first.
///
/// # Example
///
/// ```
/// use hibiscusroad::subset::{Candidate, choose};
///
/// let sidecars = [
///     Candidate { name: "hut-desk-1", data_centre: "trnava" },
///     Candidate { name: "hut-desk-2", data_centre: "senec" },
/// ];
/// assert_eq!(choose("entry-1", "senec", &sidecars, 1), [1]);
/// ```
#[must_use]
pub fn choose(entry: &str, data_centre: &str, sidecars: &[Candidate<'_>], n: usize) -> Vec<usize> {
    let seed = xxh3_64_with_seed(entry.as_bytes(), 0);
    let rank = |i: &usize| {
        let sidecar = &sidecars[*i];
        let hash = xxh3_64_with_seed(sidecar.name.as_bytes(), seed);
        (sidecar.data_centre != data_centre, Reverse(hash))
    };
    let mut order: Vec<usize> = (0..sidecars.len()).collect();
    order.sort_by_key(rank);
    order.truncate(n);
    order
}
