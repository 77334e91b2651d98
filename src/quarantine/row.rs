//! The rows of crashes in the store.
//!
//! | table | part | key | value | condition of a write |
//! |---|---|---|---|---|
//! | `crashes` | empty | fingerprint/digest of the incarnation | [`Crash`] | none: the writers of a key differ only in the time |

use super::Fingerprint;
use crate::table::{Row, RowId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The name of the table of crashes.
pub const CRASHES: &str = "crashes";

/// One incarnation of an endpoint, from the start of its process to its end.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointIncarnation {
    /// The id of the endpoint.
    pub endpoint: String,
    /// The start in milliseconds, if a restarted endpoint may have the same id.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

impl EndpointIncarnation {
    /// Returns the digest of the incarnation for row keys, which have a bounded length.
    fn key(&self) -> String {
        let name = format!("{}/{}", self.endpoint, self.started_ms.unwrap_or(0));
        format!("{:016x}", xxh3_64(name.as_bytes()))
    }
}

/// The fact that a request was in flight at an endpoint that ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The request that was in flight.
    pub request: Fingerprint,
    /// The incarnation that ended.
    pub incarnation: EndpointIncarnation,
    /// The time by the store's steady clock when the end was detected.
    pub at: Duration,
    /// The path of the request, shown to operators.
    pub path: String,
}

/// An error for a row that holds no crash.
#[derive(Debug, thiserror::Error)]
pub enum DecodeCrashError {
    /// The key does not begin with a fingerprint.
    #[error("the key does not begin with a fingerprint")]
    Key,
    /// The value is not a valid crash.
    #[error("the value is not a valid crash: {0}")]
    Value(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct Value {
    #[serde(flatten)]
    incarnation: EndpointIncarnation,
    at_ms: u64,
    path: String,
}

impl Crash {
    /// Returns the id of the row.
    #[must_use]
    pub fn row(&self) -> RowId {
        let key = format!("{}/{}", self.request, self.incarnation.key());
        RowId::new(CRASHES, "", &key)
    }

    /// Encodes the value of the row.
    ///
    /// # Panics
    ///
    /// Never: the value always has a JSON form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let value = Value {
            incarnation: self.incarnation.clone(),
            at_ms: u64::try_from(self.at.as_millis()).unwrap_or(u64::MAX),
            path: self.path.clone(),
        };
        serde_json::to_vec(&value).expect("a crash has a JSON form")
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row was not written by [`Crash::encode`].
    pub fn decode(row: &Row) -> Result<Self, DecodeCrashError> {
        let (request, _) = row.id.key.split_once('/').ok_or(DecodeCrashError::Key)?;
        let request = request.parse().map_err(|_error| DecodeCrashError::Key)?;
        let value: Value = serde_json::from_slice(&row.value)?;
        Ok(Self {
            request,
            incarnation: value.incarnation,
            at: Duration::from_millis(value.at_ms),
            path: value.path,
        })
    }
}
