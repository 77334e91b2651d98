//! State that one holder of the lease passes to the next: the pace of loads and the orders.

use super::{DUTIES_TABLE, Weights, orders_row};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    rollout::order_records::OrderRecords,
    table::{Change, Commit, Range, RowId},
};
use std::time::{Duration, Instant};

/// The part of the table of duties in which the pace is stored.
const PACE_PART: &str = "learned";
/// The key of the pace.
const PACE_KEY: &str = "weights";
/// Minimum interval between two writes of the pace.
const PACE_WRITE_INTERVAL: Duration = Duration::from_secs(2);

impl Weights {
    /// Stores the pace of loads for the next holder of the lease.
    ///
    /// Without it that holder would start with few concurrent loads, although most engines may
    /// have to load after an outage.
    pub(super) async fn write_pace(&self) {
        let written_at = self.pace_written.get();
        if written_at.is_some_and(|at| at.elapsed() < PACE_WRITE_INTERVAL) {
            return;
        }
        self.pace_written.set(Some(Instant::now()));
        let value = serde_json::to_vec(&*self.pace.borrow()).unwrap_or_default();
        let change = Change::new().put(RowId::new(DUTIES_TABLE, PACE_PART, PACE_KEY), value);
        let commit = self.store.transact(&change).await;
        if !matches!(commit, Commit::Done { .. }) {
            log::debug!(target: WEIGHTS, done:? = commit;
                "The pace of loads could not be written.");
        }
    }

    /// Reads the pace of loads that the previous holder stored.
    pub(super) async fn read_pace(&self) {
        match self.store.read(&Range::part(DUTIES_TABLE, PACE_PART)).await {
            Ok(page) => {
                let row = page.rows.first();
                let stored = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                if let Some(pace) = stored {
                    self.pace.replace(pace);
                }
            }
            Err(failure) => log::info!(target: WEIGHTS, error = failure.to_string().as_str();
                "The pace of loads could not be read."),
        }
    }

    /// Reads which engines previous holders have ordered; `false` if that can't be known.
    pub(super) async fn read_orders(&self) -> bool {
        let row = match self.duty.read_row(&orders_row()).await {
            Ok(Some(row)) => row,
            Ok(None) => return true,
            Err(failure) => {
                log::warn!(target: WEIGHTS, error = failure.to_string().as_str();
                    "The last orders could not be read; no engine is ordered for a while.");
                return false;
            }
        };
        match serde_json::from_slice(&row.value) {
            Ok(records) => {
                self.order_records.replace(records);
                true
            }
            Err(error) => {
                log::error!(target: WEIGHTS, row = row.version, error = error.to_string().as_str();
                    "The last orders can't be decoded; no engine is ordered for a while.");
                self.order_records.replace(OrderRecords::new());
                false
            }
        }
    }
}
