//! The table service's JSON, as etcd's gateway speaks it.
//!
//! The gateway sends 64-bit numbers as strings and takes strings or numbers;
//! keys and values are base64.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A 64-bit number.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(i64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// Bytes of a key or a value.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}

/// The state of the table that an answer was made from.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Header {
    /// Number of the last write.
    pub revision: Int,
}

/// Asks for one key, or for all from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The key after the last; empty for one key, a zero byte for no end.
    #[serde(alias = "rangeEnd", default)]
    pub range_end: Bytes,
    /// Rows that the answer may have; 0 for all.
    #[serde(default)]
    pub limit: Int,
    /// Rows changed by an older write than this are left out.
    #[serde(alias = "minModRevision", default, rename = "min_mod_revision")]
    pub since: Int,
}

/// One row.
#[derive(Clone, Debug, Serialize)]
pub struct KeyValue {
    /// Its key.
    pub key: Bytes,
    /// Its value.
    pub value: Bytes,
    /// The write that made it.
    pub create_revision: Int,
    /// The write that changed it last.
    pub mod_revision: Int,
    /// How often it was written since it was made.
    pub version: Int,
}

/// Answers a [`RangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct RangeResponse {
    /// The state it was made from.
    pub header: Header,
    /// The rows, by key.
    pub kvs: Vec<KeyValue>,
    /// Rows in the range, whatever the limit.
    pub count: Int,
    /// Whether the limit left some out.
    pub more: bool,
}

/// Writes one row.
#[derive(Clone, Debug, Deserialize)]
pub struct PutRequest {
    /// Its key.
    pub key: Bytes,
    /// Its value.
    #[serde(default)]
    pub value: Bytes,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// How often the row was written; 0 if there is none.
    #[default]
    Version,
    /// The write that made it; 0 if there is none.
    Create,
    /// The write that changed it last; 0 if there is none.
    Mod,
    /// Its value; no comparison holds if there is none.
    Value,
}

/// How a comparison compares.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The row's is the same.
    #[default]
    Equal,
    /// The row's is greater.
    Greater,
    /// The row's is less.
    Less,
    /// The row's is another.
    NotEqual,
}

/// A condition on one row.
#[derive(Clone, Debug, Deserialize)]
pub struct Compare {
    /// The row's key.
    pub key: Bytes,
    /// What is compared.
    #[serde(default)]
    pub target: Target,
    /// How it is compared.
    #[serde(default)]
    pub result: Relation,
    /// For [`Target::Version`].
    #[serde(default)]
    pub version: Int,
    /// For [`Target::Create`].
    #[serde(alias = "createRevision", default)]
    pub create_revision: Int,
    /// For [`Target::Mod`].
    #[serde(alias = "modRevision", default)]
    pub mod_revision: Int,
    /// For [`Target::Value`].
    #[serde(default)]
    pub value: Bytes,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub enum RequestOp {
    /// Writes a row.
    #[serde(alias = "requestPut", rename = "request_put")]
    Put(PutRequest),
    /// Reads rows.
    #[serde(alias = "requestRange", rename = "request_range")]
    Range(RangeRequest),
    /// Deletes rows.
    #[serde(alias = "requestDeleteRange", rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

/// A transaction: `success` if all comparisons hold, else `failure`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TxnRequest {
    /// The comparisons.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Done if all hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Done otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Answers a put.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PutResponse {}

/// Answers a deletion.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DeleteResponse {
    /// Rows that were deleted.
    pub deleted: Int,
}

/// Answers one operation.
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    /// A put.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// A read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// A deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteResponse),
}

/// Answers a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct TxnResponse {
    /// The state after it.
    pub header: Header,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// One answer for each operation done.
    pub responses: Vec<ResponseOp>,
}
