//! Endpoints to which the entry has idle connections.

use crate::route::EndpointKey;
use std::time::Instant;

/// Maximum endpoints that are kept. An entry that uses more of them at a time reuses
/// connections anyway.
const MAX_ENDPOINTS: usize = 8;

/// The endpoints of a service with idle connections, the last used one first.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmEndpoints {
    /// Endpoints, and when their connections end.
    entries: Vec<(EndpointKey, Instant)>,
}

impl WarmEndpoints {
    /// Records an idle connection that is kept until `end`.
    pub(super) fn record(&mut self, endpoint: EndpointKey, end: Instant) {
        self.remove(endpoint);
        self.entries.insert(0, (endpoint, end));
        self.entries.truncate(MAX_ENDPOINTS);
    }

    pub(super) fn remove(&mut self, endpoint: EndpointKey) {
        self.entries.retain(|(other, _)| *other != endpoint);
    }

    /// Returns the endpoints whose connections are still open at `now`.
    pub(super) fn iter(&self, now: Instant) -> impl Iterator<Item = EndpointKey> {
        let open = self.entries.iter().filter(move |(_, end)| now < *end);
        open.map(|(endpoint, _)| *endpoint)
    }
}
