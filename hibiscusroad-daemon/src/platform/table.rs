//! The client of the table service.

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

/// The longest wait for a turn in the budget before a call counts as not sent.
const PATIENCE: Duration = Duration::from_secs(1);

/// One row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// How often it was written since it was created; from 1.
    pub version: u64,
    /// The table's revision that wrote it.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cond {
    /// The row was written this often; 0 is "it is absent".
    Version(String, u64),
    /// The row has this value.
    Value(String, Vec<u8>),
}

/// One operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes a row.
    Put(String, Vec<u8>),
    /// Removes a row.
    Delete(String),
}

/// Writes that take effect together, or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    conds: Vec<Cond>,
    ops: Vec<Op>,
    reads: Vec<String>,
}

impl Transaction {
    /// Creates an empty one.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, cond: Cond) -> Self {
        self.conds.push(cond);
        self
    }

    /// Adds an operation.
    #[must_use]
    pub fn then(mut self, op: Op) -> Self {
        self.ops.push(op);
        self
    }

    /// Adds a row to be read, in the same step, if the conditions don't hold.
    #[must_use]
    pub fn or_read(mut self, key: &str) -> Self {
        self.reads.push(key.to_owned());
        self
    }
}

/// Why a call gave nothing.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Fault {
    /// The process has used up its share of the service.
    #[error("the share of the table service is used up")]
    Budget,
    /// The service could not be reached.
    #[error("the table service can't be reached: {0}")]
    Unreachable(String),
    /// The connection broke or the time limit passed after sending.
    #[error("the table service gave no answer: {0}")]
    Silent(String),
    /// The service answered, but with an error or what can't be understood.
    #[error("the table service answered oddly: {0}")]
    Odd(String),
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[must_use]
pub enum Outcome {
    /// It took effect, at this revision of the table.
    Committed(u64),
    /// A condition didn't hold; these are the rows that were to be read.
    Conflict(Vec<Row>),
    /// It may have taken effect, or may still do so: read back before saying
    /// anything to anybody.
    Unknown(Fault),
    /// It surely took no effect.
    NotSent(Fault),
}

/// A client of the table service; cheap to clone.
#[derive(Clone, Debug)]
pub struct Table {
    agent: ureq::Agent,
    url: String,
    budget: Arc<Budget>,
    metrics: Metrics,
}

impl Table {
    /// Creates a client of the service at `url`, such as `http://10.0.0.1:2379`.
    #[must_use]
    pub fn new(url: &str, budget: Arc<Budget>) -> Self {
        Self {
            agent: agent(),
            url: url.trim_end_matches('/').to_owned(),
            budget,
            metrics: Metrics::off(),
        }
    }

    /// Counts the calls that fail.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Returns the budget that the calls draw on.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service gave no usable answer.
    pub fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        Ok(self.range(&one(key))?.pop())
    }

    /// Reads one row if it was written at `revision` or later.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service gave no usable answer.
    pub fn get_since(&self, key: &str, revision: u64) -> Result<Option<Row>, Fault> {
        let mut request = one(key);
        request.since = revision;
        let rows = self.range(&request)?;
        Ok(rows.into_iter().find(|row| row.revision >= revision))
    }

    /// Reads the rows whose keys begin with `prefix`, at most `limit`; 0 is all.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service gave no usable answer.
    pub fn list(&self, prefix: &str, limit: u64) -> Result<Vec<Row>, Fault> {
        let mut request = one(prefix);
        request.range_end = Some(encode(&prefix_end(prefix.as_bytes())));
        request.limit = limit;
        self.range(&request)
    }

    /// Reads several rows in one step; absent ones are left out.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the service gave no usable answer.
    pub fn read(&self, keys: &[&str]) -> Result<Vec<Row>, Fault> {
        wait(|now| self.budget.read(now))?;
        let request = TxnRequest {
            compare: Vec::new(),
            success: keys.iter().map(|key| read_op(key)).collect(),
            failure: Vec::new(),
        };
        let response: TxnResponse = self.post("/v3/kv/txn", &request)?;
        read_rows(response)
    }

    /// Writes what the transaction says, if its conditions hold.
    pub fn transact(&self, transaction: &Transaction) -> Outcome {
        if let Err(fault) = wait(|now| self.budget.write(now)) {
            return Outcome::NotSent(fault);
        }
        let request = TxnRequest {
            compare: transaction.conds.iter().map(compare).collect(),
            success: transaction.ops.iter().map(write_op).collect(),
            failure: transaction.reads.iter().map(|key| read_op(key)).collect(),
        };
        let response: TxnResponse = match self.post("/v3/kv/txn", &request) {
            Ok(response) => response,
            Err(fault @ Fault::Unreachable(_)) => return Outcome::NotSent(fault),
            Err(fault) => return Outcome::Unknown(fault),
        };
        if response.succeeded {
            return Outcome::Committed(response.header.revision);
        }
        match read_rows(response) {
            Ok(rows) => Outcome::Conflict(rows),
            Err(fault) => Outcome::Unknown(fault),
        }
    }

    fn range(&self, request: &RangeRequest) -> Result<Vec<Row>, Fault> {
        wait(|now| self.budget.read(now))?;
        let response: RangeResponse = self.post("/v3/kv/range", request)?;
        response.kvs.into_iter().map(row).collect()
    }

    fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Fault> {
        let answer = self.send(path, body);
        if answer.is_err() {
            let part = [("part", "table")];
            self.metrics.count(metrics::PLATFORM_FAILED, &part);
        }
        answer
    }

    fn send<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Fault> {
        let body = serde_json::to_vec(body).map_err(|e| Fault::Odd(e.to_string()))?;
        let url = format!("{}{path}", self.url);
        let request = self.agent.post(&url).content_type("application/json");
        let response = request.send(&body).map_err(|e| fault(&e))?;
        parse(response)
    }
}

/// Waits for a turn in the budget, but not for long: a caller behind it has
/// a deadline, and a prompt refusal is worth more than a late write.
fn wait(take: impl Fn(Instant) -> Result<(), Duration>) -> Result<(), Fault> {
    let start = Instant::now();
    while let Err(wait) = take(Instant::now()) {
        if start.elapsed() + wait > PATIENCE {
            return Err(Fault::Budget);
        }
        thread::sleep(wait);
    }
    Ok(())
}

/// Sorts an error by whether the request can have been sent.
///
/// Only what fails before a connection stands surely took no effect. A reset
/// may also come after the write, so it counts as silence.
fn fault(error: &ureq::Error) -> Fault {
    let text = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            Fault::Unreachable(text)
        }
        ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            Fault::Unreachable(text)
        }
        _ => Fault::Silent(text),
    }
}

fn one(key: &str) -> RangeRequest {
    RangeRequest {
        key: encode(key.as_bytes()),
        range_end: None,
        limit: 0,
        since: 0,
    }
}

fn read_op(key: &str) -> RequestOp {
    RequestOp::Range(one(key))
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

fn compare(cond: &Cond) -> Compare {
    let (key, target, version, value) = match cond {
        Cond::Version(key, version) => (key, "VERSION", Some(version.to_string()), None),
        Cond::Value(key, value) => (key, "VALUE", None, Some(encode(value))),
    };
    Compare {
        key: encode(key.as_bytes()),
        target,
        result: "EQUAL",
        version,
        value,
    }
}

fn read_rows(response: TxnResponse) -> Result<Vec<Row>, Fault> {
    let ranges = response
        .responses
        .into_iter()
        .filter_map(|op| op.response_range);
    ranges.flat_map(|range| range.kvs).map(row).collect()
}

fn row(from: KeyValue) -> Result<Row, Fault> {
    let key = String::from_utf8(from.key).map_err(|e| Fault::Odd(e.to_string()))?;
    Ok(Row {
        key,
        value: from.value,
        version: from.version,
        revision: from.mod_revision,
    })
}
