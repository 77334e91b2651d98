//! The check that requires `--force` for a drain of a service's last endpoint.
//!
//! Once a service has no open endpoint, all its callers are refused. Entries
//! can't reject such a drain: they validate a change against the configuration
//! document only, so that all reach the same verdict, while the state of
//! endpoints differs from entry to entry. So the client checks it before it
//! submits the change. The check guards against mistakes, not against races:
//! two operators who drain the last two endpoints at the same time both pass.

use crate::rows::Row;
use hibiscusroad::config::{Change, Target};
use std::collections::BTreeSet;

/// The state of an endpoint that accepts new work.
const OPEN_STATE: &str = "open";

/// Returns the services whose last open endpoint the change would drain, given
/// the rows of `show endpoints`.
#[must_use]
pub fn services_without_endpoint(change: &Change, endpoints: &[Row]) -> Vec<String> {
    let Change::Drain { target, name } = change else {
        return Vec::new();
    };
    let column = match target {
        Target::Endpoint => "endpoint",
        Target::Host => "host",
        Target::Place => "place",
    };
    let cell = |row: &Row, column: &str| row.get(column)?.as_str().map(str::to_owned);
    let open_rows = || {
        let rows = endpoints.iter();
        rows.filter(|row| cell(row, "state").as_deref() == Some(OPEN_STATE))
    };
    let stays_open = |row: &&Row| cell(row, column).as_deref() != Some(name);
    let before: BTreeSet<_> = open_rows().filter_map(|row| cell(row, "service")).collect();
    let after: BTreeSet<_> = open_rows()
        .filter(stays_open)
        .filter_map(|row| cell(row, "service"))
        .collect();
    before.difference(&after).cloned().collect()
}
