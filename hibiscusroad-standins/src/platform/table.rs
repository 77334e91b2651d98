//! The table service: rows with revisions and conditional transactions.

use super::wire::{
    Bytes, Compare, DeleteResponse, Header, Int, KeyValue, PutRequest, PutResponse, RangeRequest,
    RangeResponse, Relation, RequestOp, ResponseOp, Target, TxnRequest, TxnResponse,
};
use std::collections::{BTreeMap, btree_map};

/// The `range_end` of a range without an upper bound.
const UNBOUNDED_END: &[u8] = &[0];

#[derive(Clone, Debug)]
struct Row {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
}

/// One change of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row's key.
    pub key: Vec<u8>,
    /// The new value, `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
}

/// The table's rows and its current revision.
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
    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the rows of a range.
    #[must_use]
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let limit = match request.limit.0 {
            0 => usize::MAX,
            limit => usize::try_from(limit).unwrap_or(usize::MAX),
        };
        let rows: Vec<_> = self.select(request).collect();
        let recent = rows
            .iter()
            .filter(|(_, row)| row.mod_revision >= request.min_mod_revision.0);
        let kvs = recent.take(limit).map(|(key, row)| key_value(key, row));
        RangeResponse {
            header: self.header(),
            kvs: kvs.collect(),
            count: int(rows.len()),
            more: rows.len() > limit,
        }
    }

    /// Runs a transaction and returns the response and the changed rows.
    pub fn txn(&mut self, request: &TxnRequest) -> (TxnResponse, Vec<Change>) {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
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

    fn select(&self, request: &RangeRequest) -> btree_map::Range<'_, Vec<u8>, Row> {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let start = request.key.0.clone();
        let end = request.range_end.0.clone();
        let bound = match end.as_slice() {
            [] => Included(start.clone()),
            UNBOUNDED_END => Unbounded,
            // `BTreeMap::range` panics if the end is before the start.
            _ if end <= start => Excluded(start.clone()),
            _ => Excluded(end),
        };
        match &bound {
            Excluded(end) if *end == start => self.rows.range(start.clone()..start),
            _ => self.rows.range((Included(start), bound)),
        }
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let row = self.rows.get(&compare.key.0);
        let ordering = match compare.target {
            Target::Version => row.map_or(0, |r| r.version).cmp(&compare.version.0),
            Target::Create => row
                .map_or(0, |r| r.create_revision)
                .cmp(&compare.create_revision.0),
            Target::Mod => row
                .map_or(0, |r| r.mod_revision)
                .cmp(&compare.mod_revision.0),
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
                self.write_row(put, revision);
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

    fn write_row(&mut self, put: &PutRequest, revision: i64) {
        let row = self.rows.entry(put.key.0.clone()).or_insert(Row {
            value: Vec::new(),
            create_revision: revision,
            mod_revision: revision,
            version: 0,
        });
        row.value.clone_from(&put.value.0);
        row.mod_revision = revision;
        row.version += 1;
    }
}

fn key_value(key: &[u8], row: &Row) -> KeyValue {
    KeyValue {
        key: Bytes(key.to_vec()),
        value: Bytes(row.value.clone()),
        create_revision: Int(row.create_revision),
        mod_revision: Int(row.mod_revision),
        version: Int(row.version),
    }
}

fn int(count: usize) -> Int {
    Int(i64::try_from(count).unwrap_or(i64::MAX))
}
