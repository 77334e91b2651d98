//! Filtering, sorting and limiting the rows of a response.
//!
//! Entries return whole tables, and the client processes them, so that queries
//! take little of a loaded entry's time. Tables are small: the largest is
//! expected to have about a thousand rows.

use crate::language::{Filter, Literal, Op, Order, Show};
use hibiscusroad::config::Edit;
use serde_json::{Map, Value};
use std::{cmp::Ordering, collections::BTreeSet};

/// One row: values by column.
pub type Row = Map<String, Value>;

/// The columns that are printed first, in this order. All others follow sorted
/// by name.
const LEADING_COLUMNS: &[&str] = &[
    "name", "service", "endpoint", "entry", "kind", "host", "place", "region", "address", "state",
    "key", "value", "version",
];

/// The columns that are printed last.
const TRAILING_COLUMNS: &[&str] = &["age_ms", "source"];

/// A query names a column that no row has.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("no column {column}; there are {}", .available.join(", "))]
pub struct UnknownColumn {
    /// The column.
    pub column: String,
    /// The columns of the rows.
    pub available: Vec<String>,
}

/// A table to print.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The names of the columns, in order.
    pub columns: Vec<String>,
    /// The rows, in order.
    pub rows: Vec<Row>,
}

/// Applies the columns, filters, order and limit of a query to rows.
///
/// # Errors
///
/// Returns the first column of the query that no row has. If there are no rows,
/// any column is accepted.
pub fn select(show: &Show, mut rows: Vec<Row>) -> Result<Table, UnknownColumn> {
    let available = columns(&rows);
    let sort_columns = show.order.iter().map(|order| &order.column);
    let filter_columns = show.filters.iter().map(|filter| &filter.column);
    for column in show
        .columns
        .iter()
        .chain(filter_columns)
        .chain(sort_columns)
    {
        if !rows.is_empty() && !available.contains(column) {
            let column = column.clone();
            return Err(UnknownColumn { column, available });
        }
    }
    rows.retain(|row| show.filters.iter().all(|filter| matches(filter, row)));
    if let Some(order) = &show.order {
        rows.sort_by(|a, b| compare_rows(order, a, b));
    }
    rows.truncate(show.limit.unwrap_or(usize::MAX));
    let columns = if show.columns.is_empty() {
        available
    } else {
        show.columns.clone()
    };
    Ok(Table { columns, rows })
}

/// Returns a table of all rows and columns.
#[must_use]
pub fn to_table(rows: Vec<Row>) -> Table {
    Table {
        columns: columns(&rows),
        rows,
    }
}

/// Returns a table of the keys that a change edits, with old and new values.
#[must_use]
pub fn edits_table(edits: &[Edit]) -> Table {
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

/// Returns a cell as plain text, `-` for an empty one.
#[must_use]
pub fn cell_text(cell: Option<&Value>) -> String {
    match cell {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(list)) => {
            let parts: Vec<String> = list.iter().map(|part| cell_text(Some(part))).collect();
            parts.join(",")
        }
        Some(Value::Object(map)) => {
            let part =
                |(key, value): (&String, &Value)| format!("{key}={}", cell_text(Some(value)));
            let parts: Vec<String> = map.iter().map(part).collect();
            parts.join(" ")
        }
        Some(other) => other.to_string(),
    }
}

fn columns(rows: &[Row]) -> Vec<String> {
    let names: BTreeSet<&str> = rows
        .iter()
        .flat_map(Map::keys)
        .map(String::as_str)
        .collect();
    let present =
        |list: &'static [&'static str]| list.iter().copied().filter(|c| names.contains(c));
    let is_other =
        |column: &&str| !LEADING_COLUMNS.contains(column) && !TRAILING_COLUMNS.contains(column);
    present(LEADING_COLUMNS)
        .chain(names.iter().copied().filter(is_other))
        .chain(present(TRAILING_COLUMNS))
        .map(str::to_owned)
        .collect()
}

fn matches(filter: &Filter, row: &Row) -> bool {
    let Filter { column, op, value } = filter;
    let cell = row.get(column).unwrap_or(&Value::Null);
    match op {
        Op::Contains => cell_text(Some(cell)).contains(&value.text),
        Op::Equal => compare_to_literal(cell, value) == Some(Ordering::Equal),
        Op::Differs => compare_to_literal(cell, value) != Some(Ordering::Equal),
        Op::Less => compare_to_literal(cell, value) == Some(Ordering::Less),
        Op::AtMost => compare_to_literal(cell, value).is_some_and(Ordering::is_le),
        Op::Greater => compare_to_literal(cell, value) == Some(Ordering::Greater),
        Op::AtLeast => compare_to_literal(cell, value).is_some_and(Ordering::is_ge),
    }
}

/// Compares a cell with a literal, as numbers if both are. Returns `None` for an
/// empty cell.
fn compare_to_literal(cell: &Value, value: &Literal) -> Option<Ordering> {
    match (cell.as_f64(), value.number) {
        _ if cell.is_null() => None,
        (Some(cell), Some(literal)) => cell.partial_cmp(&literal),
        _ => Some(cell_text(Some(cell)).as_str().cmp(&value.text)),
    }
}

fn compare_rows(order: &Order, a: &Row, b: &Row) -> Ordering {
    let (a, b) = (a.get(&order.column), b.get(&order.column));
    let numbers = a.and_then(Value::as_f64).zip(b.and_then(Value::as_f64));
    let ascending = match numbers {
        Some((a, b)) => a.total_cmp(&b),
        None => cell_text(a).cmp(&cell_text(b)),
    };
    if order.descending {
        ascending.reverse()
    } else {
        ascending
    }
}
