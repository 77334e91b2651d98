//! Consistent hashing of prompt prefixes to endpoints.
//!
//! The ring gives the endpoints for a prefix in a fixed order, on which all
//! entries agree without exchanging messages or cache events. A prefix that is
//! too hot for one endpoint spills over to the next ones on the ring, which then
//! have it cached as well.
//!
//! New endpoints are inserted on the next lookup, all at once, because each
//! insertion sorts the whole ring and many processes never look up a prefix.

use crate::route::EndpointKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Points of each endpoint; more of them even out the endpoints' shares.
const POINTS_PER_ENDPOINT: u64 = 64;
/// Maximum endpoints that are tried for a prefix. Under a bound of 1.1 times the mean work the
/// next one with room is rarely further.
pub(super) const MAX_CANDIDATES: usize = 8;
/// The same where there are several regions, of which a call uses one at a time.
pub(super) const MAX_CANDIDATES_IN_REGIONS: usize = 2 * MAX_CANDIDATES;

#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    /// Points of the inserted endpoints, sorted.
    points: Vec<(u64, EndpointKey)>,
    /// Endpoints to be inserted on the next lookup, with their names.
    pending: Vec<(EndpointKey, String)>,
    /// Number of inserted endpoints.
    endpoint_count: usize,
}

impl Ring {
    pub(super) fn add(&mut self, key: EndpointKey, name: &str) {
        self.pending.push((key, name.to_owned()));
    }

    pub(super) fn remove(&mut self, key: EndpointKey) {
        let pending = self.pending.len();
        self.pending.retain(|(other, _)| *other != key);
        if self.pending.len() == pending {
            self.points.retain(|(_, other)| *other != key);
            self.endpoint_count -= 1;
        }
    }

    /// Appends the first `max` endpoints for a prefix to `found`, in order.
    pub(super) fn find(&mut self, prefix: u64, found: &mut Vec<EndpointKey>, max: usize) {
        self.insert_pending();
        let hash = xxh3_64(&prefix.to_le_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        // Stops early where the ring has fewer endpoints than the maximum.
        let max_found = max.min(self.endpoint_count);
        for (_, key) in after.iter().chain(before).take(max * 8) {
            if !found.contains(key) {
                found.push(*key);
            }
            if found.len() == max_found {
                return;
            }
        }
    }

    fn insert_pending(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        self.endpoint_count += self.pending.len();
        for (key, name) in self.pending.drain(..) {
            let points = (0..POINTS_PER_ENDPOINT)
                .map(|seed| (xxh3_64_with_seed(name.as_bytes(), seed), key));
            self.points.extend(points);
        }
        self.points.sort_unstable();
    }
}
