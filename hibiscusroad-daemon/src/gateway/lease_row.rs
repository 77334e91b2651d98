//! The rows of leases in the store.

use crate::logs::DUTY as TARGET;
use hibiscusroad::{lease::LeaseRow, table::Row};

/// The table that holds the leases.
pub(super) const DUTIES_TABLE: &str = "duties";

/// Decodes the lease's row.
///
/// A broken row counts as another holder's lease and expires like one. The row's
/// version serves as its fencing token: it is above all earlier tokens, since each
/// of them took a write.
pub(super) fn decode_lease(row: &Row) -> LeaseRow {
    serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        log::error!(target: TARGET, row = row.version, error = error.to_string().as_str();
            "The lease's row is broken; it counts as another holder's.");
        LeaseRow {
            holder: "unknown".to_owned(),
            fencing_token: row.version,
            renewals: 0,
        }
    })
}
