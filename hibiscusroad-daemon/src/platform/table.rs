//! Client of the table service.

use crate::{
    metrics::{self, Metrics},
    platform::{
        Budget, agent, parse,
        wire::{
            Compare, DeleteRequest, KeyValue, PutRequest, RangeRequest, RangeResponse, RequestOp,
            TxnRequest, TxnResponse, encode, prefix_end,
        },
    },
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Maximum time to wait for a token of the budget.
const MAX_BUDGET_WAIT: Duration = Duration::from_secs(1);

/// A row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Number of writes since the row was created, starting at 1.
    pub version: u64,
    /// Revision of the table at which the row was last written.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The row has this version; 0 if it must not exist.
    Version(String, u64),
    /// The row has this value.
    Value(String, Vec<u8>),
}

/// One operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes a row.
    Put(String, Vec<u8>),
    /// Deletes a row.
    Delete(String),
}

/// A transaction: operations that take effect atomically if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    conditions: Vec<Condition>,
    ops: Vec<Op>,
    reads: Vec<String>,
}

impl Transaction {
    /// Creates an empty transaction.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, condition: Condition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds an operation.
    #[must_use]
    pub fn then(mut self, op: Op) -> Self {
        self.ops.push(op);
        self
    }

    /// Adds a row to be read atomically if a condition doesn't hold.
    #[must_use]
    pub fn or_read(mut self, key: &str) -> Self {
        self.reads.push(key.to_owned());
        self
    }
}

/// Why a call to a service of the platform failed.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum PlatformError {
    /// The process exceeded its rate limit.
    #[error("the share of the table service is used up")]
    RateLimited,
    /// No connection could be opened; the request wasn't sent.
    #[error("the table service can't be reached: {0}")]
    Unreachable(String),
    /// The connection failed or the call timed out after the request may have been sent.
    #[error("the table service gave no answer: {0}")]
    NoResponse(String),
    /// The response has an unexpected status or an invalid body.
    #[error("the table service answered oddly: {0}")]
    InvalidResponse(String),
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome {
    /// The transaction took effect, at this revision of the table.
    Committed(u64),
    /// A condition didn't hold. Contains the rows added by [`Transaction::or_read`].
    Conflict(Vec<Row>),
    /// The transaction may have taken effect, or may still do so. The caller must read the
    /// rows before it reports a result.
    Unknown(PlatformError),
    /// The transaction had no effect.
    NotSent(PlatformError),
}

/// Client of the table service; cheap to clone.
#[derive(Clone, Debug)]
pub struct Table {
    agent: ureq::Agent,
    url: String,
    budget: Arc<Budget>,
    metrics: Metrics,
}

impl Table {
    /// Creates a client of the service at `url`, for example `http://10.0.0.1:2379`.
    #[must_use]
    pub fn new(url: &str, budget: Arc<Budget>) -> Self {
        Self {
            agent: agent(),
            url: url.trim_end_matches('/').to_owned(),
            budget,
            metrics: Metrics::off(),
        }
    }

    /// Sets the client for metrics, which counts failed requests.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Returns the budget for calls.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or the response is invalid.
    pub fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        Ok(self.range(&point_request(key))?.pop())
    }

    /// Reads one row if it was last written at `revision` or later.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or the response is invalid.
    pub fn get_since(&self, key: &str, revision: u64) -> Result<Option<Row>, PlatformError> {
        let mut request = point_request(key);
        request.min_revision = revision;
        let rows = self.range(&request)?;
        Ok(rows.into_iter().find(|row| row.revision >= revision))
    }

    /// Reads the rows whose keys start with `prefix`, at most `limit`; 0 for no limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or the response is invalid.
    pub fn list(&self, prefix: &str, limit: u64) -> Result<Vec<Row>, PlatformError> {
        let mut request = point_request(prefix);
        request.range_end = Some(encode(&prefix_end(prefix.as_bytes())));
        request.limit = limit;
        self.range(&request)
    }

    /// Reads several rows atomically; rows that don't exist are omitted.
    ///
    /// # Errors
    ///
    /// Returns an error if the service can't be reached or the response is invalid.
    pub fn read(&self, keys: &[&str]) -> Result<Vec<Row>, PlatformError> {
        acquire(|now| self.budget.take_read(now))?;
        let request = TxnRequest {
            compare: Vec::new(),
            success: keys.iter().map(|key| read_op(key)).collect(),
            failure: Vec::new(),
        };
        let response: TxnResponse = self.post("/v3/kv/txn", &request)?;
        read_rows(response)
    }

    /// Executes a transaction.
    pub fn transact(&self, transaction: &Transaction) -> Outcome {
        if let Err(error) = acquire(|now| self.budget.take_write(now)) {
            return Outcome::NotSent(error);
        }
        let request = TxnRequest {
            compare: transaction.conditions.iter().map(compare).collect(),
            success: transaction.ops.iter().map(write_op).collect(),
            failure: transaction.reads.iter().map(|key| read_op(key)).collect(),
        };
        let response: TxnResponse = match self.post("/v3/kv/txn", &request) {
            Ok(response) => response,
            Err(error @ PlatformError::Unreachable(_)) => return Outcome::NotSent(error),
            Err(error) => return Outcome::Unknown(error),
        };
        if response.succeeded {
            return Outcome::Committed(response.header.revision);
        }
        match read_rows(response) {
            Ok(rows) => Outcome::Conflict(rows),
            Err(error) => Outcome::Unknown(error),
        }
    }

    fn range(&self, request: &RangeRequest) -> Result<Vec<Row>, PlatformError> {
        acquire(|now| self.budget.take_read(now))?;
        let response: RangeResponse = self.post("/v3/kv/range", request)?;
        response.kvs.into_iter().map(decode_row).collect()
    }

    fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let response = self.send(path, body);
        if response.is_err() {
            let part = [("part", "table")];
            self.metrics.count(metrics::PLATFORM_FAILED, &part);
        }
        response
    }

    fn send<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let body =
            serde_json::to_vec(body).map_err(|e| PlatformError::InvalidResponse(e.to_string()))?;
        let url = format!("{}{path}", self.url);
        let request = self.agent.post(&url).content_type("application/json");
        let response = request.send(&body).map_err(|e| classify(&e))?;
        parse(response)
    }
}

/// Waits for a token of the budget, for at most [`MAX_BUDGET_WAIT`] because callers have
/// deadlines.
fn acquire(take_token: impl Fn(Instant) -> Result<(), Duration>) -> Result<(), PlatformError> {
    let start = Instant::now();
    while let Err(wait) = take_token(Instant::now()) {
        if start.elapsed() + wait > MAX_BUDGET_WAIT {
            return Err(PlatformError::RateLimited);
        }
        thread::sleep(wait);
    }
    Ok(())
}

/// Classifies an error by whether the request may have taken effect.
///
/// Only errors before the connection is established guarantee that it had no effect. A
/// connection may also be reset after the write.
fn classify(error: &ureq::Error) -> PlatformError {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            PlatformError::Unreachable(text)
        }
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable(text)
        }
        _ => PlatformError::NoResponse(text),
    }
}

/// Creates a request that reads the row with this key.
fn point_request(key: &str) -> RangeRequest {
    RangeRequest {
        key: encode(key.as_bytes()),
        range_end: None,
        limit: 0,
        min_revision: 0,
    }
}

fn read_op(key: &str) -> RequestOp {
    RequestOp::Range(point_request(key))
}

fn write_op(op: &Op) -> RequestOp {
    match op {
        Op::Put(key, value) => RequestOp::Put(PutRequest {
            key: encode(key.as_bytes()),
            value: encode(value),
        }),
        Op::Delete(key) => RequestOp::DeleteRange(DeleteRequest {
            key: encode(key.as_bytes()),
        }),
    }
}

fn compare(condition: &Condition) -> Compare {
    let (key, target, version, value) = match condition {
        Condition::Version(key, version) => (key, "VERSION", Some(version.to_string()), None),
        Condition::Value(key, value) => (key, "VALUE", None, Some(encode(value))),
    };
    Compare {
        key: encode(key.as_bytes()),
        target,
        result: "EQUAL",
        version,
        value,
    }
}

fn read_rows(response: TxnResponse) -> Result<Vec<Row>, PlatformError> {
    let ranges = response
        .responses
        .into_iter()
        .filter_map(|op| op.response_range);
    ranges.flat_map(|range| range.kvs).map(decode_row).collect()
}

fn decode_row(kv: KeyValue) -> Result<Row, PlatformError> {
    let key =
        String::from_utf8(kv.key).map_err(|e| PlatformError::InvalidResponse(e.to_string()))?;
    Ok(Row {
        key,
        value: kv.value,
        version: kv.version,
        revision: kv.mod_revision,
    })
}
