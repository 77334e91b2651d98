//! Which endpoints have a prompt's prefix cached.
//!
//! A consistent hash names the endpoints for a prefix, in order. It needs no
//! cache events, so that events that are late or missing cost nothing, and all
//! entries agree on it without a message. A prefix that is too hot for one
//! endpoint spills over to the next ones on the ring, always the same, which
//! then have it cached as well.
//!
//! Endpoints wait beside the ring until somebody asks it. A process that hears of a
//! thousand of them one after the other would else sort 64,000 points a thousand times,
//! and many processes never ask.

use crate::route::EndpointKey;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Points of each endpoint: shares of the ring differ by about 1/sqrt(64).
const POINTS_PER_ENDPOINT: u64 = 64;
/// Endpoints that are tried for a prefix. Under a bound of 1.1 times the mean
/// load the next with room is rarely further.
pub(super) const MAX_CANDIDATES: usize = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    /// Points of the endpoints that are on the ring, in order.
    points: Vec<(u64, EndpointKey)>,
    /// Endpoints that came since it was asked last, and their names.
    pending: Vec<(EndpointKey, String)>,
    /// Endpoints that are on the ring.
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

    /// Returns the first endpoints for a prefix, in order.
    pub(super) fn find(&mut self, prefix: u64, found: &mut Vec<EndpointKey>) {
        self.insert_pending();
        let hash = xxh3_64(&prefix.to_le_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        // A small service has fewer than that: there would be none to find in
        // the rest of the points.
        let max_found = MAX_CANDIDATES.min(self.endpoint_count);
        for (_, key) in after.iter().chain(before).take(MAX_CANDIDATES * 8) {
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
