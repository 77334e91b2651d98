//! Messages of etcd's JSON gateway.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, de::Error as _};

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<String>,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) limit: u64,
    #[serde(rename = "min_mod_revision", skip_serializing_if = "is_zero")]
    pub(super) min_revision: u64,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    pub(super) key: String,
    pub(super) value: String,
}

#[derive(Debug, Serialize)]
pub(super) struct DeleteRequest {
    pub(super) key: String,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    pub(super) key: String,
    pub(super) target: &'static str,
    pub(super) result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) version: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) value: Option<String>,
}

#[derive(Debug, Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(DeleteRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct Header {
    #[serde(default, deserialize_with = "number")]
    pub(super) revision: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct KeyValue {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) version: u64,
    #[serde(default, deserialize_with = "number")]
    pub(super) mod_revision: u64,
}

#[derive(Debug, Default, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Deserialize)]
pub(super) struct ResponseOp {
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Debug, Deserialize)]
pub(super) struct TxnResponse {
    #[serde(default)]
    pub(super) header: Header,
    // The gateway omits fields with default values.
    #[serde(default)]
    pub(super) succeeded: bool,
    #[serde(default)]
    pub(super) responses: Vec<ResponseOp>,
}

pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the first key after all keys that start with `prefix`.
pub(super) fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Deserialises a 64-bit number, which the gateway encodes as a string.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    // Errors contain this name, and operators' answers contain the errors.
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Number(u64),
        Text(String),
    }
    match Form::deserialize(deserializer)? {
        Form::Number(n) => Ok(n),
        Form::Text(text) => text.parse().map_err(D::Error::custom),
    }
}

/// Deserialises bytes, which the gateway encodes in base64.
fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}
