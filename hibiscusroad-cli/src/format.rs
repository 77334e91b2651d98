//! Output of tables as text, JSON and CSV.
//!
//! The text format is for people: it truncates long cells and formats
//! timestamps. JSON and CSV are for programs and contain the values unchanged.

use crate::rows::{Table, cell_text};
use serde_json::{Map, Value};
use std::{
    io::{self, Write},
    str::FromStr,
    time::{Duration, UNIX_EPOCH},
};

/// In characters, for the text format.
const MAX_CELL_WIDTH: usize = 60;

/// The column of timestamps, in milliseconds since the Unix epoch.
const TIMESTAMP_COLUMN: &str = "at_ms";

/// The output format of a table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// Aligned columns for people.
    #[default]
    Table,
    /// One JSON array of objects.
    Json,
    /// Comma-separated values (RFC 4180) with a header line.
    Csv,
}

/// The name of a format is unknown.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("unknown format {0:?}; expected one of table, json, csv")]
pub struct UnknownFormat(pub String);

impl FromStr for Format {
    type Err = UnknownFormat;

    fn from_str(name: &str) -> Result<Self, UnknownFormat> {
        match name {
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
/// Returns an error if writing to `out` fails.
pub fn write(out: &mut dyn Write, format: Format, table: &Table) -> io::Result<()> {
    match format {
        Format::Table => write_aligned(out, table),
        Format::Json => write_json(out, table),
        Format::Csv => write_csv(out, table),
    }
}

fn write_aligned(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let mut lines = vec![table.columns.clone()];
    for row in &table.rows {
        let cell = |column: &String| display_cell(column, row.get(column));
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

fn write_json(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let object = |row: &Map<String, Value>| {
        let cell = |column: &String| (column.clone(), row.get(column).cloned().unwrap_or_default());
        Value::Object(table.columns.iter().map(cell).collect())
    };
    let rows: Vec<Value> = table.rows.iter().map(object).collect();
    writeln!(out, "{}", Value::Array(rows))
}

fn write_csv(out: &mut dyn Write, table: &Table) -> io::Result<()> {
    let mut lines = vec![table.columns.clone()];
    lines.extend(text_rows(table));
    for line in lines {
        let line: Vec<String> = line.iter().map(|cell| quote_csv(cell)).collect();
        write!(out, "{}\r\n", line.join(","))?;
    }
    Ok(())
}

fn text_rows(table: &Table) -> impl Iterator<Item = Vec<String>> {
    let line = |row: &Map<String, Value>| {
        let cell = |column: &String| cell_text(row.get(column));
        table.columns.iter().map(cell).collect()
    };
    table.rows.iter().map(line)
}

/// Returns the cell as printed in the text format.
fn display_cell(column: &str, cell: Option<&Value>) -> String {
    if column == TIMESTAMP_COLUMN
        && let Some(ms) = cell.and_then(Value::as_u64)
    {
        let time = UNIX_EPOCH + Duration::from_millis(ms);
        return humantime::format_rfc3339_millis(time).to_string();
    }
    // Cells hold strings from other hosts, which could contain terminal control
    // sequences.
    let text = cell_text(cell).replace(char::is_control, "?");
    if text.chars().count() <= MAX_CELL_WIDTH {
        return text;
    }
    text.chars().take(MAX_CELL_WIDTH - 1).chain(['…']).collect()
}

fn quote_csv(cell: &str) -> String {
    if cell.contains([',', '"', '\r', '\n']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}
