//! The row that holds a claim.

use crate::{claim::CLAIM_TTL, id::RequestId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::Xxh3;

/// Which attempt runs the request of an idempotency key, and where.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The attempt. Its id is unique, so it also identifies the row's writer.
    pub attempt: RequestId,
    /// The name of the endpoint that it goes to.
    #[serde(rename = "side")]
    pub endpoint: String,
    /// The incarnation of the sidecar beside that endpoint.
    pub incarnation: u64,
    /// The address where that sidecar accepts links.
    pub address: SocketAddr,
    /// The [`fingerprint`] of the request.
    #[serde(rename = "body")]
    pub fingerprint: u64,
    /// When it was claimed, in milliseconds since 1970.
    #[serde(rename = "created")]
    pub created_ms: u64,
}

impl Claim {
    /// Encodes the row's value.
    ///
    /// # Panics
    ///
    /// Never: all fields of a claim have a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has a JSON form")
    }

    /// Returns whether its key may be used for a new request at `now`, in
    /// milliseconds since 1970.
    #[must_use]
    pub fn is_expired(&self, now: u64) -> bool {
        let age = Duration::from_millis(now.saturating_sub(self.created_ms));
        age > CLAIM_TTL
    }
}

/// A claim as it was read from the table.
///
/// Keeps the bytes, because a row is replaced on the condition that it still has
/// them, and another release may encode the same claim differently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredClaim {
    /// The decoded claim; none if this release can't decode it.
    pub claim: Option<Claim>,
    /// The row's value.
    pub bytes: Vec<u8>,
}

impl StoredClaim {
    /// Decodes a row's value.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self {
            claim: serde_json::from_slice(&bytes).ok(),
            bytes,
        }
    }

    /// Returns whether this is the claim of `attempt`.
    #[must_use]
    pub fn is_for(&self, attempt: RequestId) -> bool {
        self.claim.as_ref().is_some_and(|c| c.attempt == attempt)
    }
}

/// Returns the row's key for an idempotency key of a service.
#[must_use]
pub fn row_key(service: &str, key: &str) -> String {
    format!("claims/{service}/{key}")
}

/// Returns a hash by which two requests are compared.
///
/// It detects an idempotency key that a caller reuses by mistake. It need not
/// resist deliberate collisions, by which a caller would only get the answer to
/// its own other request.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
