//! Leases of duties in the table service.

use crate::platform::{PlatformError, Table};
use hibiscusroad::lease::LeaseRow;

const PREFIX: &str = "lease/";

/// Returns the key of the row with the lease of `duty`.
#[must_use]
pub fn key(duty: &str) -> String {
    format!("{PREFIX}{duty}")
}

/// Reads the leases of all duties.
///
/// # Errors
///
/// Returns an error if the table service can't be reached or a row is invalid.
pub fn read_all(table: &Table) -> Result<Vec<(String, LeaseRow)>, PlatformError> {
    let rows = table.list(PREFIX, 0)?;
    let leases = rows.iter().map(|row| {
        let duty = row.key.strip_prefix(PREFIX).unwrap_or(&row.key);
        Ok((duty.to_owned(), parse(&row.value)?))
    });
    leases.collect()
}

/// Reads the latest fencing token of a duty; 0 if its lease was never held.
///
/// A sidecar reads it at startup, because without a token it would accept orders of an
/// earlier lease holder.
///
/// # Errors
///
/// Returns an error if the table service can't be reached or the row is invalid.
pub fn fencing_token(table: &Table, duty: &str) -> Result<u64, PlatformError> {
    let Some(row) = table.get(&key(duty))? else {
        return Ok(0);
    };
    Ok(parse(&row.value)?.fencing_token)
}

fn parse(value: &[u8]) -> Result<LeaseRow, PlatformError> {
    serde_json::from_slice(value).map_err(|e| PlatformError::InvalidResponse(e.to_string()))
}
