//! The small keys that name requests and processes.
//!
//! Hosts keep nothing, so a counter alone would repeat after a restart. Each
//! process therefore draws an [`Incarnation`] at random when it starts, and a
//! request is named by the incarnation of the entry that took it and a number
//! that this entry counts up. 64 random bits collide among 230 restarts a day
//! less than once in a hundred million years.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One life of one process, from its start to its end.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws an incarnation for a process that starts.
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

/// One attempt to run one request at one endpoint.
///
/// A retry is another attempt and has another id, so that what arrives late
/// for the first can't be taken for the second.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId {
    /// The life of the entry that took the request.
    pub origin: Incarnation,
    /// The number that this entry gave it.
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.origin, self.seq)
    }
}
