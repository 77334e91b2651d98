//! What holders of the duty hand on: how long loads take, and whom they ordered.

use super::{DUTIES, Weights, turns_row};
use crate::logs::WEIGHTS;
use hibiscusroad::{
    rollout::order_records::OrderRecords,
    table::{Change, Commit, Range, RowId},
};
use std::time::{Duration, Instant};

/// The part of that table that holds what holders learned.
const PACE_PART: &str = "learned";
/// The key of what they learned of loads.
const PACE: &str = "weights";
/// Time between two writes of it: a holder has learned most within some seconds.
const KEEP: Duration = Duration::from_secs(2);

impl Weights {
    /// Keeps what was learned of loads for the next holder, who would otherwise
    /// begin with few at once, when most is to be loaded: after an outage.
    pub(super) async fn keep_pace(&self) {
        let since = self.kept.get();
        if since.is_some_and(|since| since.elapsed() < KEEP) {
            return;
        }
        self.kept.set(Some(Instant::now()));
        let value = serde_json::to_vec(&*self.pace.borrow()).unwrap_or_default();
        let change = Change::new().put(RowId::new(DUTIES, PACE_PART, PACE), value);
        let done = self.store.transact(&change).await;
        if !matches!(done, Commit::Done { .. }) {
            log::debug!(target: WEIGHTS, done:? = done; "What was learned of loads is not kept.");
        }
    }

    /// Reads what the holder before has learned of loads.
    pub(super) async fn read_pace(&self) {
        match self.store.read(&Range::part(DUTIES, PACE_PART)).await {
            Ok(page) => {
                let row = page.rows.first();
                let known = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                if let Some(pace) = known {
                    self.pace.replace(pace);
                }
            }
            Err(failure) => log::info!(target: WEIGHTS, error = failure.to_string().as_str();
                "What was learned of loads is not known."),
        }
    }

    /// Reads which engines the holders before have ordered; `false` if nobody
    /// knows.
    pub(super) async fn read_turns(&self) -> bool {
        let row = match self.store.read_row(&turns_row()).await {
            Ok(Some(row)) => row,
            Ok(None) => return true,
            Err(failure) => {
                log::warn!(target: WEIGHTS, error = failure.to_string().as_str();
                    "The last orders are not known; all engines are left alone for a while.");
                return false;
            }
        };
        match serde_json::from_slice(&row.value) {
            Ok(turns) => {
                self.turns.replace(turns);
                true
            }
            Err(error) => {
                log::error!(target: WEIGHTS, row = row.version, error = error.to_string().as_str();
                    "The last orders are broken; all engines are left alone for a while.");
                self.turns.replace(OrderRecords::new());
                false
            }
        }
    }
}
