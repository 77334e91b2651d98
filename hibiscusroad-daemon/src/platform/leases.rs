//! The rows of leased duties.

use crate::platform::{Fault, Table};
use hibiscusroad::lease::Row;

/// Returns the key of a duty's row.
#[must_use]
pub fn key(duty: &str) -> String {
    format!("lease/{duty}")
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
    let row: Row = serde_json::from_slice(&found.value).map_err(|e| Fault::Odd(e.to_string()))?;
    Ok(row.fence)
}
