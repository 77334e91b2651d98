//! The table service: rows, revisions and conditional transactions.

use super::wire::{
    Bytes, Compare, DeleteResponse, Header, Int, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, Relation, RequestOp, ResponseOp, Target, TxnRequest, TxnResponse,
};
use std::collections::{BTreeMap, btree_map};

const NO_END: &[u8] = &[0];

#[derive(Clone, Debug)]
struct Row {
    value: Vec<u8>,
    created: i64,
    changed: i64,
    version: i64,
}

/// One change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row's key.
    pub key: Vec<u8>,
    /// Its new value; none if it was deleted.
    pub value: Option<Vec<u8>>,
}

/// The rows.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<Vec<u8>, Row>,
    revision: i64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            revision: 1,
        }
    }
}

impl Table {
    /// Returns the number of the last write.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Reads rows.
    #[must_use]
    pub fn range(&self, ask: &RangeRequest) -> RangeResponse {
        let limit = match ask.limit.0 {
            0 => usize::MAX,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let all: Vec<_> = self.select(ask).collect();
        let recent = all.iter().filter(|(_, row)| row.changed >= ask.since.0);
        let kvs = recent.take(limit).map(|(key, row)| key_value(key, row));
        RangeResponse {
            header: self.header(),
            kvs: kvs.collect(),
            count: int(all.len()),
            more: all.len() > limit,
        }
    }

    /// Runs a transaction, and returns what it changed besides the answer.
    pub fn txn(&mut self, ask: &TxnRequest) -> (TxnResponse, Vec<Change>) {
        let succeeded = ask.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &ask.success
        } else {
            &ask.failure
        };
        let next = self.revision + 1;
        let mut changes = Vec::new();
        let mut responses = Vec::new();
        for op in ops {
            responses.push(self.apply(op, next, &mut changes));
        }
        if !changes.is_empty() {
            self.revision = next;
        }
        let response = TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        };
        (response, changes)
    }

    fn header(&self) -> Header {
        Header {
            revision: Int(self.revision),
        }
    }

    fn select(&self, ask: &RangeRequest) -> btree_map::Range<'_, Vec<u8>, Row> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let first = ask.key.0.clone();
        let end = ask.range_end.0.clone();
        let last = match end.as_slice() {
            [] => Included(first.clone()),
            NO_END => Unbounded,
            // The library panics on a range that ends before it starts.
            _ if end <= first => Excluded(first.clone()),
            _ => Excluded(end),
        };
        match &last {
            Excluded(end) if *end == first => self.rows.range(first.clone()..first),
            _ => self.rows.range((Included(first), last)),
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let row = self.rows.get(&compare.key.0);
        let ordering = match compare.target {
            Target::Version => row.map_or(0, |r| r.version).cmp(&compare.version.0),
            Target::Create => row.map_or(0, |r| r.created).cmp(&compare.create_revision.0),
            Target::Mod => row.map_or(0, |r| r.changed).cmp(&compare.mod_revision.0),
            Target::Value => match row {
                Some(row) => row.value.cmp(&compare.value.0),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => ordering.is_eq(),
            Relation::Greater => ordering.is_gt(),
            Relation::Less => ordering.is_lt(),
            Relation::NotEqual => ordering.is_ne(),
        }
    }

    fn apply(&mut self, op: &RequestOp, revision: i64, changes: &mut Vec<Change>) -> ResponseOp {
        match op {
            RequestOp::Put(put) => {
                self.put(put, revision);
                changes.push(Change {
                    key: put.key.0.clone(),
                    value: Some(put.value.0.clone()),
                });
                ResponseOp::Put(PutResponse {})
            }
            RequestOp::Range(range) => ResponseOp::Range(self.range(range)),
            RequestOp::DeleteRange(range) => {
                let keys: Vec<_> = self.select(range).map(|(key, _)| key.clone()).collect();
                let deleted = int(keys.len());
                for key in keys {
                    self.rows.remove(&key);
                    changes.push(Change { key, value: None });
                }
                ResponseOp::DeleteRange(DeleteResponse { deleted })
            }
        }
    }

    fn put(&mut self, put: &PutRequest, revision: i64) {
        let row = self.rows.entry(put.key.0.clone()).or_insert(Row {
            value: Vec::new(),
            created: revision,
            changed: revision,
            version: 0,
        });
        row.value.clone_from(&put.value.0);
        row.changed = revision;
        row.version += 1;
    }
}

fn key_value(key: &[u8], row: &Row) -> KeyValue {
    KeyValue {
        key: Bytes(key.to_vec()),
        value: Bytes(row.value.clone()),
        create_revision: Int(row.created),
        mod_revision: Int(row.changed),
        version: Int(row.version),
    }
}

fn int(count: usize) -> Int {
    Int(i64::try_from(count).unwrap_or(i64::MAX))
}
