//! The rows of leased duties.

use crate::platform::{Fault, Table};
use hibiscusroad::lease::LeaseRow;

const PREFIX: &str = "lease/";

/// Returns the key of a duty's row.
#[must_use]
pub fn key(duty: &str) -> String {
    format!("{PREFIX}{duty}")
}

/// Reads the rows of all duties.
///
/// # Errors
///
/// Returns a [`Fault`] if the table gave no usable answer.
pub fn all(table: &Table) -> Result<Vec<(String, LeaseRow)>, Fault> {
    let found = table.list(PREFIX, 0)?;
    let rows = found.iter().map(|found| {
        let duty = found.key.strip_prefix(PREFIX).unwrap_or(&found.key);
        Ok((duty.to_owned(), parse(&found.value)?))
    });
    rows.collect()
}

/// Reads the highest fencing number given out for a duty; 0 if there was none.
///
/// A side that has just started knows no number and would take any order, also
/// one of a holder that was replaced long ago. It reads this first.
///
/// # Errors
///
/// Returns a [`Fault`] if the table gave no usable answer.
pub fn fence(table: &Table, duty: &str) -> Result<u64, Fault> {
    let Some(found) = table.get(&key(duty))? else {
        return Ok(0);
    };
    Ok(parse(&found.value)?.fencing_token)
}

fn parse(value: &[u8]) -> Result<LeaseRow, Fault> {
    serde_json::from_slice(value).map_err(|e| Fault::Odd(e.to_string()))
}
