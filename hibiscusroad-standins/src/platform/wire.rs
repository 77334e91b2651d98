//! The table service's JSON messages, in the format of etcd's gRPC gateway.
//!
//! 64-bit integers are sent as strings and accepted as strings or numbers.
//! Keys and values are encoded in base64.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A 64-bit integer, encoded as a string.
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
        enum Encoded {
            Number(i64),
            Text(String),
        }
        match Encoded::deserialize(deserializer)? {
            Encoded::Number(number) => Ok(Self(number)),
            Encoded::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

/// A key or value, encoded in base64.
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

/// The header of a response.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Header {
    /// The table's revision.
    pub revision: Int,
}

/// Requests one key, or the range from `key` up to `range_end`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The exclusive end; empty for the single key, a zero byte for no upper bound.
    #[serde(alias = "rangeEnd", default)]
    pub range_end: Bytes,
    /// The maximum number of returned rows; 0 for no limit.
    #[serde(default)]
    pub limit: Int,
    /// Rows whose last change is older than this revision are omitted.
    #[serde(alias = "minModRevision", default)]
    pub min_mod_revision: Int,
}

/// A row of a response.
#[derive(Clone, Debug, Serialize)]
pub struct KeyValue {
    /// Its key.
    pub key: Bytes,
    /// Its value.
    pub value: Bytes,
    /// The revision that created it.
    pub create_revision: Int,
    /// The revision that changed it last.
    pub mod_revision: Int,
    /// The number of writes since its creation.
    pub version: Int,
}

/// The response to a [`RangeRequest`].
#[derive(Clone, Debug, Serialize)]
pub struct RangeResponse {
    /// The response header.
    pub header: Header,
    /// The rows in the order of their keys.
    pub kvs: Vec<KeyValue>,
    /// The number of rows in the range, regardless of the limit.
    pub count: Int,
    /// Whether more rows exist than the limit allows.
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

/// The attribute of a row that a comparison checks.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of writes since creation; 0 if the row doesn't exist.
    #[default]
    Version,
    /// The revision that created the row; 0 if it doesn't exist.
    Create,
    /// The revision that changed the row last; 0 if it doesn't exist.
    Mod,
    /// The row's value; comparisons fail if the row doesn't exist.
    Value,
}

/// The relation that a comparison requires.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The row's attribute is equal to the given one.
    #[default]
    Equal,
    /// The row's attribute is greater.
    Greater,
    /// The row's attribute is less.
    Less,
    /// The row's attribute differs.
    NotEqual,
}

/// A condition on one row.
#[derive(Clone, Debug, Deserialize)]
pub struct Compare {
    /// The row's key.
    pub key: Bytes,
    /// The compared attribute.
    #[serde(default)]
    pub target: Target,
    /// The required relation.
    #[serde(default)]
    pub result: Relation,
    /// The operand for [`Target::Version`].
    #[serde(default)]
    pub version: Int,
    /// The operand for [`Target::Create`].
    #[serde(alias = "createRevision", default)]
    pub create_revision: Int,
    /// The operand for [`Target::Mod`].
    #[serde(alias = "modRevision", default)]
    pub mod_revision: Int,
    /// The operand for [`Target::Value`].
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

/// A transaction that runs `success` if all comparisons hold, else `failure`.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TxnRequest {
    /// The comparisons.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// The operations if all comparisons hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// The operations otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// The response to a put.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PutResponse {}

/// The response to a deletion.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DeleteResponse {
    /// The number of deleted rows.
    pub deleted: Int,
}

/// The response to one operation.
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    /// The response to [`RequestOp::Put`].
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// The response to [`RequestOp::Range`].
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// The response to [`RequestOp::DeleteRange`].
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteResponse),
}

/// The response to a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct TxnResponse {
    /// The response header, with the revision after the transaction.
    pub header: Header,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// One response for each operation that ran.
    pub responses: Vec<ResponseOp>,
}
