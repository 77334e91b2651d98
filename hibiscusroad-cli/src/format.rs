//! Tables as text, JSON and CSV.
//!
//! The text form is for people: it shortens long cells and shows instants as
//! times. JSON and CSV are for programs and change nothing.

use crate::rows::{Table, text};
use serde_json::{Map, Value};
use std::{
    io::{self, Write},
    str::FromStr,
    time::{Duration, UNIX_EPOCH},
};

/// Characters of a cell that people are shown.
const WIDEST: usize = 60;

/// The column of instants, in milliseconds since 1970 UTC.
const INSTANT: &str = "at_ms";

/// How a table is printed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Aligned columns for people.
    #[default]
    Table,
    /// One JSON array of objects.
    Json,
    /// Comma-separated values (RFC 4180) with a line of names.
    Csv,
}

/// A word that is no format.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("no format {0:?}; there are table, json, csv")]
pub struct UnknownFormat(pub String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(word: &str) -> Result<Self, UnknownFormat> {
        match word {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            "csv" => Ok(Self::Csv),
            other => Err(UnknownFormat(other.to_owned())),
        }
    }
}

/// Writes a table.
///
/// # Errors
///
/// Returns the output's error.
pub fn write(out: &mut dyn Write, format: Format, table: &Table) -> io::Result<()> {
    match format {
        Format::Table => aligned(out, table),
        Format::Json => json(out, table),
        Format::Csv => csv(out, table),
    }
}

fn aligned(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let mut lines = vec![table.columns.clone()];
    for row in &table.rows {
        let cell = |column: &String| short(column, row.get(column));
        lines.push(table.columns.iter().map(cell).collect());
    }
    let width = |i: usize| lines.iter().map(|line| line[i].chars().count()).max();
    let widths: Vec<usize> = (0..table.columns.len()).filter_map(width).collect();
    for line in &lines {
        let padded = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let text = padded.collect::<Vec<String>>().join("  ");
        writeln!(out, "{}", text.trim_end())?;
    }
    Ok(())
}

fn json(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let object = |row: &Map<String, Value>| {
        let cell = |column: &String| (column.clone(), row.get(column).cloned().unwrap_or_default());
        Value::Object(table.columns.iter().map(cell).collect())
    };
    let rows: Vec<Value> = table.rows.iter().map(object).collect();
    writeln!(out, "{}", Value::Array(rows))
}

fn csv(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let mut lines = vec![table.columns.clone()];
    lines.extend(cells(table));
    for line in lines {
        let line: Vec<String> = line.iter().map(|cell| field(cell)).collect();
        write!(out, "{}\r\n", line.join(","))?;
    }
    Ok(())
}

fn cells(table: &Table) -> impl Iterator<Item = Vec<String>> {
    let line = |row: &Map<String, Value>| {
        let cell = |column: &String| text(row.get(column));
        table.columns.iter().map(cell).collect()
    };
    table.rows.iter().map(line)
}

/// Returns a cell for people.
fn short(column: &str, cell: Option<&Value>) -> String {
    if column == INSTANT
        && let Some(ms) = cell.and_then(Value::as_u64)
    {
        let at = UNIX_EPOCH + Duration::from_millis(ms);
        return humantime::format_rfc3339_millis(at).to_string();
    }
    // Names come from other hosts; a control character among them could make a
    // terminal show what is not there.
    let text = text(cell).replace(char::is_control, "?");
    if text.chars().count() <= WIDEST {
        return text;
    }
    text.chars().take(WIDEST - 1).chain(['…']).collect()
}

fn field(cell: &str) -> String {
    if cell.contains([',', '"', '\r', '\n']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
