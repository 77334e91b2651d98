//! Which changes want `--force`.
//!
//! A drain that leaves a service without any endpoint refuses all its callers.
//! Entries can't refuse it, because a change is judged by the document alone,
//! so that all of them give the same verdict; which endpoints take work is
//! known to each from its links. So it is looked at here, before anything is
//! sent. Two operators who drain the last two endpoints at once both pass; the
//! check is against slips, not against races.

use crate::rows::Row;
use hibiscusroad::config::{Change, Target};
use std::collections::BTreeSet;

/// The state of an endpoint that takes new work.
const OPEN: &str = "open";

/// Returns the services that take work now and would not after the change, by
/// the rows of `show endpoints`.
#[must_use]
pub fn stopped(change: &Change, endpoints: &[Row]) -> Vec<String> {
    let Change::Drain { target, name } = change else {
        return Vec::new();
    };
    let column = match target {
        Target::Endpoint => "endpoint",
        Target::Host => "host",
        Target::Place => "place",
    };
    let text = |row: &Row, column: &str| row.get(column)?.as_str().map(str::to_owned);
    let open = || {
        let rows = endpoints.iter();
        rows.filter(|row| text(row, "state").as_deref() == Some(OPEN))
    };
    let stays = |row: &&Row| text(row, column).as_deref() != Some(name);
    let before: BTreeSet<_> = open().filter_map(|row| text(row, "service")).collect();
    let after: BTreeSet<_> = open()
        .filter(stays)
        .filter_map(|row| text(row, "service"))
        .collect();
    before.difference(&after).cloned().collect()
}
