//! The row that holds a claim.

use crate::{claim::CLAIM_TTL, id::RequestId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::Xxh3;

/// What a row says: who runs the request of a key, and where.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The attempt. No two are named alike, so it also proves who wrote the
    /// row.
    pub attempt: RequestId,
    /// The name of the endpoint that it goes to.
    pub side: String,
    /// The life of the side beside that endpoint.
    pub incarnation: u64,
    /// Where that side takes links.
    pub address: SocketAddr,
    /// The [`fingerprint`] of the request.
    pub body: u64,
    /// When it was claimed, in milliseconds since 1970.
    pub created: u64,
}

impl Claim {
    /// Writes the row's value.
    ///
    /// # Panics
    ///
    /// Never: a claim has no part that JSON can't hold.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has a JSON form")
    }

    /// Says whether its key may be used for a new request at `now`, in
    /// milliseconds since 1970.
    #[must_use]
    pub fn is_over(&self, now: u64) -> bool {
        let age = Duration::from_millis(now.saturating_sub(self.created));
        age > CLAIM_TTL
    }
}

/// A row as it was found.
///
/// The bytes are kept, because a row is replaced on the condition that it still
/// holds these, and another build may write the same claim in another form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seen {
    /// What it says; none if this build can't read it.
    pub claim: Option<Claim>,
    /// The row's value.
    pub bytes: Vec<u8>,
}

impl Seen {
    /// Reads a row's value.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self {
            claim: serde_json::from_slice(&bytes).ok(),
            bytes,
        }
    }

    /// Says whether this is the claim of `attempt`.
    #[must_use]
    pub fn is_of(&self, attempt: RequestId) -> bool {
        self.claim.as_ref().is_some_and(|c| c.attempt == attempt)
    }
}

/// Returns the key of the row for a service's idempotency key.
#[must_use]
pub fn row_key(service: &str, key: &str) -> String {
    format!("claims/{service}/{key}")
}

/// Returns a hash of what makes two requests the same.
///
/// It finds a key that a caller uses twice by mistake. It is no defence against
/// a caller who looks for two requests with one hash: that caller would only
/// get its own answer.
#[must_use]
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
