//! What the store keeps of crashes.
//!
//! | table | part | key | holds | written under the condition |
//! |---|---|---|---|---|
//! | `crashes` | | fingerprint/life | [`Crash`] | none: all writers of a key write the same |

use super::Fingerprint;
use crate::table::{Row, RowId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The table of crashes.
pub const CRASHES: &str = "crashes";

/// One life of an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Life {
    /// The endpoint's id.
    pub endpoint: String,
    /// When this life began, where the endpoint may start again under its id.
    pub born: Option<u64>,
}

impl Life {
    /// Names a life in keys, whatever the length of the endpoint's id.
    fn key(&self) -> String {
        let name = format!("{}/{}", self.endpoint, self.born.unwrap_or(0));
        format!("{:016x}", xxh3_64(name.as_bytes()))
    }
}

/// A request was in flight at an endpoint when that ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// The life that ended.
    pub life: Life,
    /// The store's steady clock when that was seen.
    pub at: Duration,
    /// The request's path, for operators.
    pub path: String,
}

/// The row is no crash.
#[derive(Debug, thiserror::Error)]
pub enum NotCrash {
    /// Its key names no request.
    #[error("its key names no request")]
    Key,
    /// Its value can't be read.
    #[error("its value can't be read: {0}")]
    Value(#[from] serde_json::Error),
}

#[derive(Deserialize, Serialize)]
struct Value {
    #[serde(flatten)]
    life: Life,
    at_ms: u64,
    path: String,
}

impl Crash {
    /// Names its row.
    #[must_use]
    pub fn row(&self) -> RowId {
        let key = format!("{}/{}", self.request, self.life.key());
        RowId::new(CRASHES, "", &key)
    }

    /// Encodes its row's value.
    ///
    /// # Panics
    ///
    /// Never: texts and numbers always become JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let value = Value {
            life: self.life.clone(),
            at_ms: u64::try_from(self.at.as_millis()).unwrap_or(u64::MAX),
            path: self.path.clone(),
        };
        serde_json::to_vec(&value).expect("texts and numbers become JSON")
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row was not written by [`Crash::encode`].
    pub fn decode(row: &Row) -> Result<Self, NotCrash> {
        let (request, _) = row.id.key.split_once('/').ok_or(NotCrash::Key)?;
        let request = request.parse().map_err(|_odd| NotCrash::Key)?;
        let value: Value = serde_json::from_slice(&row.value)?;
        Ok(Self {
            request,
            life: value.life,
            at: Duration::from_millis(value.at_ms),
            path: value.path,
        })
    }
}
