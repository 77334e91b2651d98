//! Identifiers of requests and processes.
//!
//! Hosts have no persistent storage, so a counter alone would repeat after a restart.
//! Each process therefore draws a random [`Incarnation`] when it starts, and a request is
//! identified by the incarnation of its entry and a sequence number.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one run of a process, from its start to its end.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a random incarnation for a starting process.
    #[must_use]
    pub fn draw() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one attempt to run a request at an endpoint.
///
/// A retry has an id of its own, so a late answer to the first attempt can't be taken
/// for an answer to the second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId {
    /// The incarnation of the entry that accepted the request.
    pub origin: Incarnation,
    /// The sequence number within the incarnation.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.origin, self.seq)
    }
}
