//! Choosing, ordering and cutting the rows of an answer.
//!
//! Entries answer with whole tables, and this is done here, in the operator's
//! process: an entry under load should not sort tables for an operator. At the
//! size to come the largest table has about a thousand rows.

use crate::language::{Filter, Literal, Op, Order, Show};
use hibiscusroad::config::Edit;
use serde_json::{Map, Value};
use std::{cmp::Ordering, collections::BTreeSet};

/// One row, by column.
pub type Row = Map<String, Value>;

/// Columns that come first if they are there; the others follow by name.
const FIRST: &[&str] = &[
    "name", "service", "endpoint", "entry", "kind", "host", "place", "region", "address", "state",
    "key", "value", "version",
];

/// Columns that come last: how old a row is and where it comes from.
const LAST: &[&str] = &["age_ms", "source"];

/// A column that no row has.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("no column {column}; there are {}", .known.join(", "))]
pub struct Unknown {
    /// The column.
    pub column: String,
    /// The columns that rows have.
    pub known: Vec<String>,
}

/// What is printed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The columns in their order.
    pub columns: Vec<String>,
    /// The rows in their order.
    pub rows: Vec<Row>,
}

/// Does with an answer's rows what the question says.
///
/// # Errors
///
/// Returns the first column that the question names and no row has. Without
/// rows nothing is known of columns, and any is taken.
pub fn select(show: &Show, mut rows: Vec<Row>) -> Result<Table, Unknown> {
    let known = columns(&rows);
    let ordered = show.order.iter().map(|order| &order.column);
    let filtered = show.filters.iter().map(|filter| &filter.column);
    for column in show.columns.iter().chain(filtered).chain(ordered) {
        if !rows.is_empty() && !known.contains(column) {
            let column = column.clone();
            return Err(Unknown { column, known });
        }
    }
    rows.retain(|row| show.filters.iter().all(|filter| holds(filter, row)));
    if let Some(order) = &show.order {
        rows.sort_by(|a, b| compare(order, a, b));
    }
    rows.truncate(show.limit.unwrap_or(usize::MAX));
    let columns = if show.columns.is_empty() {
        known
    } else {
        show.columns.clone()
    };
    Ok(Table { columns, rows })
}

/// Returns all rows with all their columns.
#[must_use]
pub fn all(rows: Vec<Row>) -> Table {
    Table {
        columns: columns(&rows),
        rows,
    }
}

/// Returns what a change replaces, as a table.
#[must_use]
pub fn edits(edits: &[Edit]) -> Table {
    let row = |edit: &Edit| {
        let cells = [
            ("key", Value::from(edit.key.as_str())),
            ("old", edit.old.clone().into()),
            ("new", edit.new.clone().into()),
        ];
        cells
            .map(|(column, cell)| (column.to_owned(), cell))
            .into_iter()
            .collect()
    };
    Table {
        columns: ["key", "old", "new"].map(str::to_owned).to_vec(),
        rows: edits.iter().map(row).collect(),
    }
}

/// Returns a cell as plain text.
#[must_use]
pub fn text(cell: Option<&Value>) -> String {
    match cell {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let parts: Vec<String> = list.iter().map(|part| text(Some(part))).collect();
            parts.join(",")
        }
        Some(Value::Object(map)) => {
            let part = |(key, value): (&String, &Value)| format!("{key}={}", text(Some(value)));
            let parts: Vec<String> = map.iter().map(part).collect();
            parts.join(" ")
        }
        Some(other) => other.to_string(),
    }
}

fn columns(rows: &[Row]) -> Vec<String> {
    let all: BTreeSet<&str> = rows
        .iter()
        .flat_map(Map::keys)
        .map(String::as_str)
        .collect();
    let listed = |list: &'static [&'static str]| list.iter().copied().filter(|c| all.contains(c));
    let between = |column: &&str| !FIRST.contains(column) && !LAST.contains(column);
    listed(FIRST)
        .chain(all.iter().copied().filter(between))
        .chain(listed(LAST))
        .map(str::to_owned)
        .collect()
}

fn holds(filter: &Filter, row: &Row) -> bool {
    let Filter { column, op, value } = filter;
    let cell = row.get(column).unwrap_or(&Value::Null);
    match op {
        Op::Contains => text(Some(cell)).contains(&value.text),
        Op::Equal => against(cell, value) == Some(Ordering::Equal),
        Op::Differs => against(cell, value) != Some(Ordering::Equal),
        Op::Less => against(cell, value) == Some(Ordering::Less),
        Op::AtMost => against(cell, value).is_some_and(Ordering::is_le),
        Op::Greater => against(cell, value) == Some(Ordering::Greater),
        Op::AtLeast => against(cell, value).is_some_and(Ordering::is_ge),
    }
}

/// Compares a cell with a written value; an empty cell is neither less nor
/// greater than anything.
fn against(cell: &Value, value: &Literal) -> Option<Ordering> {
    match (cell.as_f64(), value.number) {
        _ if cell.is_null() => None,
        (Some(cell), Some(number)) => cell.partial_cmp(&number),
        _ => Some(text(Some(cell)).as_str().cmp(&value.text)),
    }
}

fn compare(order: &Order, a: &Row, b: &Row) -> Ordering {
    let (a, b) = (a.get(&order.column), b.get(&order.column));
    let numbers = a.and_then(Value::as_f64).zip(b.and_then(Value::as_f64));
    let rising = match numbers {
        Some((a, b)) => a.total_cmp(&b),
        None => text(a).cmp(&text(b)),
    };
    if order.descending {
        rising.reverse()
    } else {
        rising
    }
}
