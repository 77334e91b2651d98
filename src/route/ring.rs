//! Which endpoints have a prompt's prefix cached.
//!
//! A consistent hash names the endpoints for a prefix, in order. It needs no
//! cache events, so that events that are late or missing cost nothing, and all
//! entries agree on it without a message. A prefix that is too hot for one
//! endpoint spills over to the next ones on the ring, always the same, which
//! then have it cached as well.

use crate::route::EndpointKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Points of each endpoint: shares of the ring differ by about 1/sqrt(64).
const POINTS: u64 = 64;
/// Endpoints that are tried for a prefix. Under a bound of 1.1 times the mean
/// load the next with room is rarely further.
pub(super) const REACH: usize = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    points: Vec<(u64, EndpointKey)>,
    endpoints: usize,
}

impl Ring {
    pub(super) fn add(&mut self, key: EndpointKey, name: &str) {
        let points = (0..POINTS).map(|seed| (xxh3_64_with_seed(name.as_bytes(), seed), key));
        self.points.extend(points);
        self.points.sort_unstable();
        self.endpoints += 1;
    }

    pub(super) fn remove(&mut self, key: EndpointKey) {
        self.points.retain(|(_, other)| *other != key);
        self.endpoints -= 1;
    }

    /// Returns the first endpoints for a prefix, in order.
    pub(super) fn walk(&self, prefix: u64, found: &mut Vec<EndpointKey>) {
        let hash = xxh3_64(&prefix.to_le_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        // A small service has fewer than that: there would be none to find in
        // the rest of the points.
        let most = REACH.min(self.endpoints);
        for (_, key) in after.iter().chain(before).take(REACH * 8) {
            if !found.contains(key) {
                found.push(*key);
            }
            if found.len() == most {
                return;
            }
        }
    }
}
