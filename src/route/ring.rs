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
const POINTS: u64 = 64;
/// Endpoints that are tried for a prefix. Under a bound of 1.1 times the mean
/// load the next with room is rarely further.
pub(super) const REACH: usize = 8;

#[derive(Clone, Debug, Default)]
pub(super) struct Ring {
    /// Points of the endpoints that are on the ring, in order.
    points: Vec<(u64, EndpointKey)>,
    /// Endpoints that came since it was asked last, and their names.
    waiting: Vec<(EndpointKey, String)>,
    /// Endpoints that are on the ring.
    placed: usize,
}

impl Ring {
    pub(super) fn add(&mut self, key: EndpointKey, name: &str) {
        self.waiting.push((key, name.to_owned()));
    }

    pub(super) fn remove(&mut self, key: EndpointKey) {
        let waiting = self.waiting.len();
        self.waiting.retain(|(other, _)| *other != key);
        if self.waiting.len() == waiting {
            self.points.retain(|(_, other)| *other != key);
            self.placed -= 1;
        }
    }

    /// Returns the first endpoints for a prefix, in order.
    pub(super) fn walk(&mut self, prefix: u64, found: &mut Vec<EndpointKey>) {
        self.place_waiting();
        let hash = xxh3_64(&prefix.to_le_bytes());
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        // A small service has fewer than that: there would be none to find in
        // the rest of the points.
        let most = REACH.min(self.placed);
        for (_, key) in after.iter().chain(before).take(REACH * 8) {
            if !found.contains(key) {
                found.push(*key);
            }
            if found.len() == most {
                return;
            }
        }
    }

    fn place_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        self.placed += self.waiting.len();
        for (key, name) in self.waiting.drain(..) {
            let points = (0..POINTS).map(|seed| (xxh3_64_with_seed(name.as_bytes(), seed), key));
            self.points.extend(points);
        }
        self.points.sort_unstable();
    }
}
